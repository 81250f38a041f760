// Discovery: applies updates of the endpoint list, and subscribes to it by polling where the endpoint
// directory has to be called.
#pragma once

#include <span>

#include "policy/policy_state.hpp"

namespace thornwick {

// Keeps the listings of PolicyState::replicas up to date.
class Discovery {
 public:
  // Sets the timer of the first call, at a random time: routers that start together must not all call the
  // directory at the same moment.
  Discovery(PolicyState& state, Time now);

  // An update of the endpoint list. A failed call keeps the list in effect and is repeated later.
  void on_endpoints(Time now, EndpointUpdate scope, std::span<const Endpoint> entries);
  // Calls the directory, unless the list is subscribed to.
  void on_timer(std::uint32_t token);

 private:
  void apply(const Endpoint& entry);
  void retry(Time now);

  // The pause before a call of the directory, in microseconds. It doubles with each failed call in a row and
  // grows with the number of routers, so that their calls do not queue up, time out and are repeated. It is
  // at most kLongestPause times Settings::max_poll_interval, the time that is allowed after a failure.
  Time poll_pause() const;

  PolicyState& state_;
  bool subscribed_ = false;
  int failed_calls_ = 0;  // in a row
};

}  // namespace thornwick
