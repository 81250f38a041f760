#include "core/discovery_schedule.hpp"

#include <algorithm>
#include <utility>

namespace thornwick::core {
namespace {

// Kept free before the deadline, for messages that are on the way.
constexpr Time kMargin = milliseconds(100);
// How long an answer usually takes at the most: two such tries fit before the deadline.
constexpr Time kTry = milliseconds(1'200);
// A call is given up after this time. It is far longer than any queue, as a call costs only a connection.
constexpr Time kLimit = seconds(30);
// The least time between two tries. Discovery can answer a small group that calls at this pace.
constexpr Time kMinPeriod = seconds(1);
// How long a call waits for a change of the list: kMinWait + kGrace + 2 kTry < informed_within.
constexpr Time kMinWait = milliseconds(2'500);
constexpr Time kMaxWait = seconds(5);
// An answer may come this long after the end of the wait before the subscription counts as silent.
constexpr Time kGrace = milliseconds(400);

// The longest pauses of a large group, as multiples of max_poll_interval. The protocol allows a multiple of
// four after a failed call. The congested pause holds while calls fail because they waited too long.
constexpr double kMaxSpreadFactor = 2.4;
constexpr double kCongestedFactor = 3.6;
// While discovery is congested, the pause grows until all routers together begin no more than this many calls
// a second: a late list is better than none.
constexpr double kCongestedCallsPerSecond = 3;
// A call that fails after this time has waited in a queue: discovery can be reached, but is slow.
constexpr Time kCongestedAfter = seconds(1);

// Calls to an agent on this machine.
constexpr Time kAgentWait = seconds(1);
constexpr Time kAgentTry = milliseconds(300);
constexpr Time kAgentPeriod = milliseconds(100);

// The next call begins after a random part of the period. Small groups call a little early, so that they meet
// the deadline; large groups call a little late, so that they never exceed the pace.
constexpr double kEarlyPart = 0.8;
constexpr double kLatePart = 1.5;
constexpr double kCongestedPart = 0.5;

// How long all these routers need for one call each at this pace, in microseconds.
double time_for_one_call_each(std::uint32_t routers, double calls_per_s) {
  return routers / calls_per_s * static_cast<double>(seconds(1));
}

}  // namespace

DiscoverySchedule::DiscoverySchedule(const Options& options, Chance chance)
    : options_(options), chance_(std::move(chance)) {
  if (options.uses_local_agent) {
    period_ = kAgentPeriod;
    congested_period_ = kAgentPeriod;
    return;
  }
  const auto max_poll_interval = static_cast<double>(options.max_poll_interval);
  spread_ = static_cast<Time>(std::min(kMaxSpreadFactor * max_poll_interval,
                                       time_for_one_call_each(options.routers, kCallsPerSecond)));
  period_ = std::max(kMinPeriod, spread_);
  if (in_time()) {
    // A small group keeps room for one try before the deadline, whatever happens, and for two where it can.
    const Time room = options.informed_within - kMargin - kTry;
    congested_period_ = std::clamp(2 * period_, room / 2, room);
  } else {
    const double congested = std::max(kCongestedFactor * max_poll_interval,
                                      time_for_one_call_each(options.routers, kCongestedCallsPerSecond));
    congested_period_ = std::max(period_, static_cast<Time>(congested));
  }
}

bool DiscoverySchedule::in_time() const { return 2 * period_ + kTry + kMargin <= options_.informed_within; }

Time DiscoverySchedule::random_part_of(Time span) const {
  return static_cast<Time>(chance_() * static_cast<double>(span));
}

DiscoverySchedule::Call DiscoverySchedule::begin_call(Time now) {
  Call call{.started_at = now, .give_up_at = now + kLimit};
  if (options_.uses_local_agent) {
    call.max_wait = kAgentWait;
    call.next_call_at = now + kAgentWait + kAgentTry;
  } else if (renewing_) {
    call.max_wait = std::clamp(spread_, kMinWait, kMaxWait);
    call.next_call_at = after_silence(now, call.max_wait);
  } else {
    call.next_call_at = from_beginning(now, in_time() ? kEarlyPart : kCongestedPart, 1, congested_period_);
  }
  renewing_ = false;
  return call;
}

Time DiscoverySchedule::on_call_failed(Time now, const Call& call) {
  renewing_ = false;
  if (options_.uses_local_agent) return now + period_;
  // A subscription broke. The subscriptions of all routers may have broken at the same moment.
  if (call.max_wait > 0) return now + random_part_of(spread_);
  // A longer pause empties a queue in which every call fails because it waits and is then repeated. A call
  // that is rejected at once needs no longer pause, because it costs discovery nothing.
  const bool congested = now - call.started_at >= kCongestedAfter;
  if (congested) return std::max(now, call.next_call_at);
  if (in_time()) return std::max(now, from_beginning(call.started_at, kEarlyPart, 1, period_));
  return std::max(now, from_beginning(call.started_at, 1, kLatePart, period_));
}

// When the next call begins if a subscription falls silent. The subscriptions of all routers may do so at the
// same moment. In a small group the next call follows at once: each router notices the silence at another
// moment, because its wait began at another moment.
Time DiscoverySchedule::after_silence(Time begun, Time wait) const {
  const Time silent = begun + wait + kGrace;
  return in_time() ? silent : silent + random_part_of(spread_);
}

// A random time between `min_part` and `max_part` of the period after the beginning of a call. It counts from
// the beginning, so that a call that fails late does not delay the next one.
Time DiscoverySchedule::from_beginning(Time begun, double min_part, double max_part, Time period) const {
  const double part = min_part + (max_part - min_part) * chance_();
  return begun + static_cast<Time>(part * static_cast<double>(period));
}

}  // namespace thornwick::core
