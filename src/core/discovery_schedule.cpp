#include "core/discovery_schedule.hpp"

#include <algorithm>
#include <utility>

namespace thornwick::core {
namespace {

constexpr double kMicrosecondsPerSecond = 1e6;

// Kept free before the deadline, for messages that are on the way.
constexpr Time kMargin = milliseconds(100);
// How long an answer usually takes at the most: two such tries fit before the deadline.
constexpr Time kTry = milliseconds(1'200);
// After which a call is given up, though it costs nothing but a connection: far beyond any queue.
constexpr Time kLimit = seconds(30);
// Between two tries. Discovery bears the calls of a small group at this pace.
constexpr Time kMinPeriod = seconds(1);
// How long a call waits for news: kMinWait + kGrace + 2 kTry < told_within.
constexpr Time kMinWait = milliseconds(2'500);
constexpr Time kMaxWait = seconds(5);
// After the end of the wait the answer is late.
constexpr Time kGrace = milliseconds(400);

// Pauses of a large group, in max_poll_interval: four of them are allowed after a failed call. The second one
// holds while calls fail because they waited too long ...
constexpr double kMaxSpreadFactor = 2.4;
constexpr double kCongestedFactor = 3.6;
// ... or a longer one, until all routers together begin this many calls a second: late is better than never.
constexpr double kCongestedCallsPerS = 3;
// A call that fails after this time has waited in a queue: discovery is there, and is slow.
constexpr Time kCongestedAfter = seconds(1);

// Calls to an agent on this machine.
constexpr Time kAgentWait = seconds(1);
constexpr Time kAgentTry = milliseconds(300);
constexpr Time kAgentPeriod = milliseconds(100);

// A next call is due at a random part of the period. Small groups keep the deadline by being a little early;
// large ones never exceed the pace.
constexpr double kEarlyPart = 0.8;
constexpr double kLatePart = 1.5;
constexpr double kCongestedPart = 0.5;

}  // namespace

DiscoverySchedule::DiscoverySchedule(const Options& options, Chance chance)
    : options_(options), chance_(std::move(chance)) {
  if (options.pushed) {
    period_ = kAgentPeriod;
    congested_period_ = kAgentPeriod;
    return;
  }
  const auto max_poll_interval = static_cast<double>(options.max_poll_interval);
  spread_ = static_cast<Time>(
      std::min(kMaxSpreadFactor * max_poll_interval, options.routers / kCallsPerS * kMicrosecondsPerSecond));
  period_ = std::max(kMinPeriod, spread_);
  if (in_time()) {
    // A small group keeps room for one try before the deadline, whatever happens, and for two where it can.
    const Time room = options.told_within - kMargin - kTry;
    congested_period_ = std::clamp(2 * period_, room / 2, room);
  } else {
    const double congested = std::max(kCongestedFactor * max_poll_interval,
                                      options.routers / kCongestedCallsPerS * kMicrosecondsPerSecond);
    congested_period_ = std::max(period_, static_cast<Time>(congested));
  }
}

bool DiscoverySchedule::in_time() const { return 2 * period_ + kTry + kMargin <= options_.told_within; }

Time DiscoverySchedule::random_part_of(Time span) const {
  return static_cast<Time>(chance_() * static_cast<double>(span));
}

DiscoverySchedule::Call DiscoverySchedule::begin(Time now) {
  Call call{.begun = now, .limit = now + kLimit};
  if (options_.pushed) {
    call.wait = kAgentWait;
    call.next = now + kAgentWait + kAgentTry;
  } else if (renewing_) {
    call.wait = std::clamp(spread_, kMinWait, kMaxWait);
    call.next = after_silence(now, call.wait);
  } else {
    call.next = from_beginning(now, in_time() ? kEarlyPart : kCongestedPart, 1, congested_period_);
  }
  renewing_ = false;
  return call;
}

Time DiscoverySchedule::failed(Time now, const Call& call) {
  renewing_ = false;
  if (options_.pushed) return now + period_;
  // A subscription broke. Those of all routers may have, at the same moment.
  if (call.wait > 0) return now + random_part_of(spread_);
  // Prevents a queue in which every call fails because it waits, and is repeated. A call that is rejected at
  // once costs discovery nothing.
  const bool congested = now - call.begun >= kCongestedAfter;
  if (congested) return std::max(now, call.next);
  if (in_time()) return std::max(now, from_beginning(call.begun, kEarlyPart, 1, period_));
  return std::max(now, from_beginning(call.begun, 1, kLatePart, period_));
}

// A subscription that falls silent. Those of all routers may, at the same moment. Where the pace allows it,
// the next call follows at once: the silence shows at another moment at each router, as its wait began.
Time DiscoverySchedule::after_silence(Time begun, Time wait) const {
  const Time silent = begun + wait + kGrace;
  return in_time() ? silent : silent + random_part_of(spread_);
}

// Counts from the beginning of a call, so that one that fails late does not delay the next one. `least` and
// `most` are parts of the period.
Time DiscoverySchedule::from_beginning(Time begun, double least, double most, Time period) const {
  const double part = least + (most - least) * chance_();
  return begun + static_cast<Time>(part * static_cast<double>(period));
}

}  // namespace thornwick::core
