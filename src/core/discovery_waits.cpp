#include "core/discovery_waits.hpp"

#include <algorithm>

namespace thornwick::core {
namespace {

// The grace that is assumed if the settings state none.
constexpr Time kDefaultDrainGrace = milliseconds(500);

// For calls to an agent: the shares of the deadline, and bounds of the waits derived from them.
constexpr Time kAgentShares = 8;
constexpr Time kMinAgentCallPeriod = milliseconds(25);  // bounds the load of this machine
constexpr Time kMaxAgentWatch = seconds(1);
constexpr Time kMaxAgentSilence = milliseconds(300);
constexpr Time kMaxAgentRejected = milliseconds(100);

// For calls to a shared server: time that stays free before the deadline for messages that are on their way.
constexpr Time kDeadlineMargin = milliseconds(100);
// An answer usually takes at most this long.
constexpr Time kAnswerDuration = milliseconds(1'200);
// The shortest time between two tries. Discovery can answer a small group that calls this often.
constexpr Time kMinCallPeriod = seconds(1);
// Bounds of the time for which a call waits for a change of the list.
constexpr Time kMinWatch = milliseconds(2'500);
constexpr Time kMaxWatch = seconds(5);
// An answer may arrive this long after the end of the wait before the subscription counts as silent.
constexpr Time kSilence = milliseconds(400);
// Discovery keeps a watch for 200 ms after its answer.
constexpr Time kPauseAfterAnswer = milliseconds(50);

// The longest pauses between the calls of a router in a large group, as multiples of max_poll_interval. The
// protocol allows a multiple of four after a failed call. The congested pause applies while calls fail
// because they waited too long.
constexpr double kMaxRoundFactor = 2.4;
constexpr double kCongestedFactor = 3.6;
// While discovery is congested, the pause grows until all routers together begin no more than this many calls
// a second, because a late list is better than none.
constexpr double kCongestedCallsPerSecond = 3;

// The next call begins after a random fraction of the period. Groups that can meet the deadline call a little
// early. Large groups call a little late, so that they never exceed the maximum rate of calls.
constexpr double kEarlyFraction = 0.8;
constexpr double kLateFraction = 1.5;
constexpr double kCongestedFraction = 0.5;

Time fraction_of(double fraction, Time time) {
  return static_cast<Time>(fraction * static_cast<double>(time));
}

// Returns how long this many routers need for one call each at this rate, in microseconds.
double round_duration(std::uint32_t routers, double calls_per_s) {
  return routers / calls_per_s * static_cast<double>(seconds(1));
}

// What the grace leaves for the router to learn of a drain; negative if it leaves less than nothing.
Time grace_for_learning(const DiscoveryTerms& terms) {
  return (terms.drain_grace > 0 ? terms.drain_grace : kDefaultDrainGrace) - kMaxSendDelay;
}

DiscoveryWaits agent_waits(const DiscoveryTerms& terms) {
  DiscoveryWaits waits{.deadline = grace_for_learning(terms)};
  const Time share = std::max(kMinAgentCallPeriod / 2, waits.deadline / kAgentShares);
  waits.watch = std::min(kMaxAgentWatch, 3 * share);
  const Time silence = std::min(kMaxAgentSilence, share);
  waits.silence = {silence, silence};
  const Time repeat = std::min(kMaxAgentWatch, 2 * share);
  waits.unanswered = {repeat, repeat};
  const Time rejected = std::min(kMaxAgentRejected, repeat);
  waits.rejected = {rejected, rejected};
  waits.answer = share;
  waits.min_call_spacing = silence;
  waits.older_list_delay = share;
  waits.outage_repeat = repeat;
  waits.lost_calls = 1;
  return waits;
}

// The pauses of a small group: two tries fit before the deadline if calls are rejected at once, and one if
// they get no answer.
void set_small_group_waits(DiscoveryWaits& waits, Time period, Time max_period) {
  const Time unanswered = std::clamp(2 * period, max_period / 2, max_period);
  waits.unanswered = {fraction_of(kEarlyFraction, unanswered), unanswered};
  waits.rejected = {fraction_of(kEarlyFraction, period), period};
  waits.outage_repeat = unanswered;
}

// The pauses while discovery does not answer in time, in a group that is not small.
void set_congested_wait(DiscoveryWaits& waits, const DiscoveryTerms& terms, Time period) {
  const double congested = std::max(kCongestedFactor * static_cast<double>(terms.max_poll_interval),
                                    round_duration(terms.routers, kCongestedCallsPerSecond));
  const Time longest = std::max(period, static_cast<Time>(congested));
  waits.unanswered = {fraction_of(kCongestedFraction, longest), longest};
}

// The waits of a medium group: one try fits before the deadline after a rejected call and after a silent
// watch.
void set_medium_group_waits(DiscoveryWaits& waits, Time round, Time period, Time max_period) {
  waits.rejected.max = std::min(fraction_of(kLateFraction, period), max_period);
  waits.rejected.min = std::min(period, fraction_of(kEarlyFraction, max_period));
  waits.watch = kMinWatch;
  waits.silence = {kSilence, std::min(kSilence + round, max_period - kMinWatch)};
  waits.outage_repeat = waits.rejected.max;
}

void set_large_group_waits(DiscoveryWaits& waits, Time round, Time period) {
  waits.rejected = {period, fraction_of(kLateFraction, period)};
  waits.silence = {kSilence, kSilence + round};
  waits.outage_repeat = waits.rejected.max;
}

DiscoveryWaits server_waits(const DiscoveryTerms& terms) {
  const Time round =
      static_cast<Time>(std::min(kMaxRoundFactor * static_cast<double>(terms.max_poll_interval),
                                 round_duration(terms.routers, kMaxCallsPerSecond)));
  const Time period = std::max(kMinCallPeriod, round);
  DiscoveryWaits waits{.deadline = terms.informed_within + std::min<Time>(0, grace_for_learning(terms))};
  waits.first_call = {0, round};
  waits.watch = std::clamp(round, kMinWatch, kMaxWatch);
  waits.silence = {kSilence, kSilence};
  waits.broken_watch = {0, round};
  waits.answer = kAnswerDuration;
  waits.pause_after_answer = kPauseAfterAnswer;
  const Time usable = waits.deadline - kDeadlineMargin;
  const Time max_period = usable - kAnswerDuration;
  const double mean_period = (kEarlyFraction + 1) / 2 * static_cast<double>(max_period);
  if (2 * period + kAnswerDuration <= usable) {
    set_small_group_waits(waits, period, max_period);
  } else {
    set_congested_wait(waits, terms, period);
    if (static_cast<double>(period) <= mean_period) {
      set_medium_group_waits(waits, round, period, max_period);
    } else {
      set_large_group_waits(waits, round, period);
    }
  }
  return waits;
}

}  // namespace

Time DiscoveryWaits::latest_effect() const {
  const Time after_silence = min_call_spacing + watch + silence.max + lost_calls * unanswered.max + answer;
  const Time after_break = broken_watch.max + answer;
  const Time after_outage = outage_repeat + answer;
  return std::max({after_silence, after_break, after_outage});
}

DiscoveryWaits derive_discovery_waits(const DiscoveryTerms& terms) {
  return terms.uses_local_agent ? agent_waits(terms) : server_waits(terms);
}

}  // namespace thornwick::core
