#include "core/discovery_schedule.hpp"

#include <algorithm>
#include <utility>

namespace thornwick::core {
namespace {

// A call without an answer is given up after this time. It is far longer than the wait in any queue, because
// an open call costs only a connection.
constexpr Time kCallTimeout = seconds(30);
// A call that fails this long after its beginning, or later, has waited in a queue: discovery can be reached,
// but is slow.
constexpr Time kCongestedAfter = seconds(1);

}  // namespace

DiscoverySchedule::DiscoverySchedule(const Options& options, RandomSource random_source)
    : waits_(derive_discovery_waits(options)), random_source_(std::move(random_source)) {}

Time DiscoverySchedule::random_wait(const WaitRange& range) const {
  return range.min + static_cast<Time>(random_source_() * static_cast<double>(range.max - range.min));
}

// The subscriptions of all routers may fall silent at the same moment. In a small group the next call follows
// at once: each router notices the silence at another moment, because its wait began at another moment.
DiscoverySchedule::Call DiscoverySchedule::begin_call(Time now) {
  Call call{.started_at = now, .give_up_at = now + kCallTimeout};
  if (std::exchange(next_call_renews_, false)) {
    call.max_wait = waits_.watch;
    call.next_call_at = now + call.max_wait + random_wait(waits_.silence);
  } else {
    call.next_call_at = now + random_wait(waits_.unanswered);
  }
  return call;
}

Time DiscoverySchedule::next_call_after_unchanged(Time now, const Call& call) const {
  return std::max(now + waits_.pause_after_answer, call.started_at + waits_.min_call_spacing);
}

Time DiscoverySchedule::on_call_failed(Time now, const Call& call) {
  next_call_renews_ = false;
  // A subscription broke. The subscriptions of all routers may have broken at the same moment, so their next
  // calls are spread over time.
  if (call.max_wait > 0) {
    return std::max(now + random_wait(waits_.broken_watch), call.started_at + waits_.min_call_spacing);
  }
  // If calls wait in a queue until they fail and are then repeated, a longer pause lets the queue empty. A
  // call that is rejected at once needs no longer pause, because it costs discovery nothing.
  const bool congested = now - call.started_at >= kCongestedAfter;
  if (congested) return std::max(now, call.next_call_at);
  // The time counts from the beginning of the call, so that a call that fails late does not delay the next.
  return std::max(now, call.started_at + random_wait(waits_.rejected));
}

}  // namespace thornwick::core
