#include "lifecycle/lifecycle.hpp"

namespace thornwick::lifecycle {
namespace {

// A router without an endpoint list reports itself ready this long after its start, so that clients get
// answers and do not wait for the load balancer.
constexpr Time kReadyWithoutEndpoints = seconds(5);

// Idle connections are closed this long after a drain, a termination or a handover began. Until then, clients
// still open connections: for 0.2 s after a drain makes readiness fail, and for 0.4 s after SIGTERM. Clients
// also use the connections that they have, each of which is closed with its next answer.
constexpr Time kIdleCloseDelay = milliseconds(500);

// Requests are admitted until this long after SIGTERM. Later requests are rejected, because a request that
// arrives more than 0.7 s after SIGTERM can be cut off by SIGKILL, however short its answer is. Connections
// that have not carried a request are closed at the same time.
constexpr Time kAdmissionAfterTermination = milliseconds(650);

// Requests are admitted until this long after a drain began. 4 s after the beginning of a drain, no request
// that arrived in the last 2 s may be in flight; requests admitted later than this limit could be.
constexpr Time kAdmissionAfterDrain = milliseconds(1'500);

// Returns whether a state has held for `duration`. `began_at` is empty if the state does not hold.
bool held_for(const std::optional<Time>& began_at, Time now, Time duration) {
  return began_at && now - *began_at >= duration;
}

}  // namespace

bool Lifecycle::begin_drain(Time now) {
  if (terminated_at_ || handed_over_at_) return false;
  if (!drained_at_) drained_at_ = now;
  return true;
}

bool Lifecycle::end_drain() {
  if (terminated_at_ || handed_over_at_) return false;
  drained_at_.reset();
  return true;
}

void Lifecycle::terminate(Time now) {
  if (!terminated_at_) terminated_at_ = now;
}

void Lifecycle::hand_over(Time now) {
  if (!handed_over_at_) handed_over_at_ = now;
}

void Lifecycle::cancel_handover() { handed_over_at_.reset(); }

Phase Lifecycle::phase() const {
  if (handed_over_at_) return Phase::handed_over;
  if (terminated_at_) return Phase::shutting_down;
  if (drained_at_) return Phase::drained;
  return endpoints_known_ ? Phase::serving : Phase::starting;
}

bool Lifecycle::can_serve(Time now) const {
  return !terminated_at_ && !handed_over_at_ &&
         (endpoints_known_ || now - started_at_ > kReadyWithoutEndpoints);
}

// After a handover the router is as ready as its successor. A load balancer whose health check still reaches
// this process must not take the router out of rotation.
bool Lifecycle::ready(Time now) const {
  if (drained_at_) return false;
  return handed_over_at_ || can_serve(now);
}

bool Lifecycle::admits_requests(Time now) const {
  if (held_for(terminated_at_, now, kAdmissionAfterTermination)) return false;
  return !held_for(drained_at_, now, kAdmissionAfterDrain) || handed_over_at_ || terminated_at_;
}

bool Lifecycle::closes_idle_connections(Time now) const {
  return held_for(drained_at_, now, kIdleCloseDelay) || held_for(terminated_at_, now, kIdleCloseDelay) ||
         held_for(handed_over_at_, now, kIdleCloseDelay);
}

// During a shutdown a connection that was just opened may still carry a request, as long as requests are
// admitted.
bool Lifecycle::closes_unused_connections(Time now) const {
  return held_for(drained_at_, now, kIdleCloseDelay) ||
         held_for(terminated_at_, now, kAdmissionAfterTermination) ||
         held_for(handed_over_at_, now, kIdleCloseDelay);
}

const char* name_of(Phase phase) {
  static constexpr const char* names[] = {"starting", "serving", "drained", "winding-down", "handed-over"};
  return names[static_cast<int>(phase)];
}

}  // namespace thornwick::lifecycle
