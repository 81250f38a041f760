#include "lifecycle/lifecycle.hpp"

namespace thornwick::lifecycle {
namespace {

// The router is ready after this time even without a list of replicas, so that clients get answers.
constexpr Time kReadyWithoutList = seconds(5);
// Idle connections are closed this long after a drain, a termination or a handover began. New connections go
// on arriving for 0.2 s after a drain makes readiness fail, and for 0.4 s after SIGTERM; clients use the
// connections that they have, and each answer closes one. The rest is closed then.
constexpr Time kClosesIdleAfter = milliseconds(500);
// Nothing is admitted this long after SIGTERM, and connections that have not brought a request are closed. A
// request that arrived within 0.7 s of SIGTERM may be cut off by SIGKILL; a later one is lost then, however
// long its answer takes.
constexpr Time kAdmitsAfterTermination = milliseconds(650);
// Nothing is admitted this long after a drain began. 4 s after the drain no request that came in the last 2 s
// may be open, so what still comes has to end by then.
constexpr Time kAdmitsAfterDrain = milliseconds(1'500);

// Whether a state has held for this long; none: it does not hold.
bool held_for(const std::optional<Time>& begun, Time now, Time duration) {
  return begun && now - *begun >= duration;
}

}  // namespace

bool Lifecycle::leave(Time now) {
  if (terminated_ || handed_over_) return false;
  if (!left_) left_ = now;
  return true;
}

bool Lifecycle::join() {
  if (terminated_ || handed_over_) return false;
  left_.reset();
  return true;
}

void Lifecycle::terminate(Time now) {
  if (!terminated_) terminated_ = now;
}

void Lifecycle::hand_over(Time now) {
  if (!handed_over_) handed_over_ = now;
}

void Lifecycle::take_back() { handed_over_.reset(); }

Phase Lifecycle::phase() const {
  if (handed_over_) return Phase::handed_over;
  if (terminated_) return Phase::winding_down;
  if (left_) return Phase::drained;
  return listed_ ? Phase::serving : Phase::starting;
}

bool Lifecycle::can_serve(Time now) const {
  return !terminated_ && !handed_over_ && (listed_ || now - started_ > kReadyWithoutList);
}

// After a handover the router as a whole is as ready as its successor: a load balancer that still asks here
// must not turn away.
bool Lifecycle::ready(Time now) const {
  if (left_) return false;
  return handed_over_ || can_serve(now);
}

bool Lifecycle::admits_requests(Time now) const {
  if (held_for(terminated_, now, kAdmitsAfterTermination)) return false;
  return !held_for(left_, now, kAdmitsAfterDrain) || handed_over_ || terminated_;
}

bool Lifecycle::closes_idle(Time now) const {
  return held_for(left_, now, kClosesIdleAfter) || held_for(terminated_, now, kClosesIdleAfter) ||
         held_for(handed_over_, now, kClosesIdleAfter);
}

// While the process winds down, a connection that was just opened may still bring a request, as long as any
// is admitted.
bool Lifecycle::closes_unused(Time now) const {
  return held_for(left_, now, kClosesIdleAfter) || held_for(terminated_, now, kAdmitsAfterTermination) ||
         held_for(handed_over_, now, kClosesIdleAfter);
}

const char* name_of(Phase phase) {
  static constexpr const char* names[] = {"starting", "serving", "drained", "winding-down", "handed-over"};
  return names[static_cast<int>(phase)];
}

}  // namespace thornwick::lifecycle
