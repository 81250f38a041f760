// Discovery: applies updates of the endpoint list. Where the deployment requires polling, it also calls the
// discovery server to subscribe to the list.
#pragma once

#include <span>

#include "policy/policy_state.hpp"

namespace thornwick {

// Keeps the endpoint list entries in PolicyState::replicas up to date.
class Discovery {
 public:
  // Sets the timer of the first call to a random time, because routers that start together must not all call
  // discovery at the same moment.
  Discovery(PolicyState& state, Time now);

  // Applies an update of the endpoint list. After a failed call the list stays in effect, and the call is
  // repeated later.
  void on_endpoints(Time now, EndpointUpdate scope, std::span<const Endpoint> entries);
  // Calls discovery if the token is that of the discovery timer and there is no subscription.
  void on_timer(std::uint32_t token);

 private:
  // Stores an entry of the list. Clears what was learned of the replica if it has restarted.
  void apply(const Endpoint& entry);
  // Sets the timer of the next call after a failed one.
  void retry(Time now);

  // Returns the pause before a call of discovery, in microseconds. The pause doubles with each consecutive
  // failed call and grows with the number of routers, so that their calls do not queue up, time out and are
  // repeated. It is at most kMaxPauseRatio times Settings::max_poll_interval, the time that is allowed after
  // a failure.
  Time poll_pause() const;

  PolicyState& state_;
  bool subscribed_ = false;
  int failed_calls_ = 0;  // consecutive failed calls, at most kMaxPauseDoublings
};

}  // namespace thornwick
