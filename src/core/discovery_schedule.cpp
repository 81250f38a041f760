#include "core/discovery_schedule.hpp"

#include <algorithm>
#include <utility>

namespace thornwick::core {
namespace {

// Time that stays free before the deadline for messages that are on their way.
constexpr Time kDeadlineMargin = milliseconds(100);
// An answer usually takes at most this long: two tries of this duration fit before the deadline.
constexpr Time kTryDuration = milliseconds(1'200);
// A call without an answer is given up after this time. It is far longer than the wait in any queue, because
// an open call costs only a connection.
constexpr Time kCallTimeout = seconds(30);
// The shortest time between two tries. Discovery can answer a small group that calls this often.
constexpr Time kMinCallPeriod = seconds(1);
// Bounds of the time for which a call waits for a change of the list. kMinWait + kSilenceGrace + 2
// kTryDuration is less than informed_within.
constexpr Time kMinWait = milliseconds(2'500);
constexpr Time kMaxWait = seconds(5);
// An answer may arrive this long after the end of the wait before the subscription counts as silent.
constexpr Time kSilenceGrace = milliseconds(400);

// The longest pauses between the calls of a router in a large group, as multiples of max_poll_interval. The
// protocol allows a multiple of four after a failed call. The congested pause applies while calls fail
// because they waited too long.
constexpr double kMaxRoundFactor = 2.4;
constexpr double kCongestedFactor = 3.6;
// While discovery is congested, the pause grows until all routers together begin no more than this many calls
// a second, because a late list is better than none.
constexpr double kCongestedCallsPerSecond = 3;
// A call that fails this long after its beginning, or later, has waited in a queue: discovery can be reached,
// but is slow.
constexpr Time kCongestedAfter = seconds(1);

// For calls to an agent on this machine: how long the agent may wait for a change, how long after that its
// answer may arrive, and the pause after a failed call.
constexpr Time kAgentWait = seconds(1);
constexpr Time kAgentTryDuration = milliseconds(300);
constexpr Time kAgentPeriod = milliseconds(100);

// The next call begins after a random fraction of the period. Small groups call a little early to meet the
// deadline. Large groups call a little late, so that they never exceed the maximum rate of calls.
constexpr double kEarlyFraction = 0.8;
constexpr double kLateFraction = 1.5;
constexpr double kCongestedFraction = 0.5;

// Returns how long this many routers need for one call each at this rate, in microseconds.
double round_duration(std::uint32_t routers, double calls_per_s) {
  return routers / calls_per_s * static_cast<double>(seconds(1));
}

}  // namespace

DiscoverySchedule::DiscoverySchedule(const Options& options, RandomSource random_source)
    : options_(options), random_source_(std::move(random_source)) {
  if (options.uses_local_agent) {
    period_ = kAgentPeriod;
    congested_period_ = kAgentPeriod;
    return;
  }
  const auto max_poll_interval = static_cast<double>(options.max_poll_interval);
  round_duration_ = static_cast<Time>(
      std::min(kMaxRoundFactor * max_poll_interval, round_duration(options.routers, kMaxCallsPerSecond)));
  period_ = std::max(kMinCallPeriod, round_duration_);
  if (meets_deadline()) {
    // A small group always leaves time for one try before the deadline, and for two if possible.
    const Time max_period = options.informed_within - kDeadlineMargin - kTryDuration;
    congested_period_ = std::clamp(2 * period_, max_period / 2, max_period);
  } else {
    const double congested = std::max(kCongestedFactor * max_poll_interval,
                                      round_duration(options.routers, kCongestedCallsPerSecond));
    congested_period_ = std::max(period_, static_cast<Time>(congested));
  }
}

bool DiscoverySchedule::meets_deadline() const {
  return 2 * period_ + kTryDuration + kDeadlineMargin <= options_.informed_within;
}

Time DiscoverySchedule::random_fraction_of(Time span) const {
  return static_cast<Time>(random_source_() * static_cast<double>(span));
}

DiscoverySchedule::Call DiscoverySchedule::begin_call(Time now) {
  Call call{.started_at = now, .give_up_at = now + kCallTimeout};
  if (options_.uses_local_agent) {
    call.max_wait = kAgentWait;
    call.next_call_at = now + kAgentWait + kAgentTryDuration;
  } else if (next_call_renews_) {
    call.max_wait = std::clamp(round_duration_, kMinWait, kMaxWait);
    call.next_call_at = next_call_after_silence(now, call.max_wait);
  } else {
    call.next_call_at =
        random_time_after(now, meets_deadline() ? kEarlyFraction : kCongestedFraction, 1, congested_period_);
  }
  next_call_renews_ = false;
  return call;
}

Time DiscoverySchedule::on_call_failed(Time now, const Call& call) {
  next_call_renews_ = false;
  if (options_.uses_local_agent) return now + period_;
  // A subscription broke. The subscriptions of all routers may have broken at the same moment, so their next
  // calls are spread over time.
  if (call.max_wait > 0) return now + random_fraction_of(round_duration_);
  // If calls wait in a queue until they fail and are then repeated, a longer pause lets the queue empty. A
  // call that is rejected at once needs no longer pause, because it costs discovery nothing.
  const bool congested = now - call.started_at >= kCongestedAfter;
  if (congested) return std::max(now, call.next_call_at);
  if (meets_deadline()) return std::max(now, random_time_after(call.started_at, kEarlyFraction, 1, period_));
  return std::max(now, random_time_after(call.started_at, 1, kLateFraction, period_));
}

// Returns when the next call begins if a subscription falls silent. The subscriptions of all routers may fall
// silent at the same moment. In a small group the next call follows at once: each router notices the silence
// at another moment, because its wait began at another moment.
Time DiscoverySchedule::next_call_after_silence(Time started_at, Time max_wait) const {
  const Time silent_at = started_at + max_wait + kSilenceGrace;
  return meets_deadline() ? silent_at : silent_at + random_fraction_of(round_duration_);
}

// Returns a random time between `min_fraction` and `max_fraction` of the period after the beginning of a
// call. The time counts from the beginning of the call, so that a call that fails late does not delay the
// next one.
Time DiscoverySchedule::random_time_after(Time started_at, double min_fraction, double max_fraction,
                                          Time period) const {
  const double fraction = min_fraction + (max_fraction - min_fraction) * random_source_();
  return started_at + static_cast<Time>(fraction * static_cast<double>(period));
}

}  // namespace thornwick::core
