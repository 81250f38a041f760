// The records that the routing policy keeps of each replica and of each request in progress, and functions
// that derive facts from requests, outcomes and settings. This file makes no decision.
#pragma once

#include <algorithm>
#include <vector>

#include "gossip/gossip.hpp"
#include "thornwick/repeat_rule.hpp"
#include "thornwick/routing_policy.hpp"

namespace thornwick {

// An entry of the endpoint list, and what this router has learned of its replica.
struct Replica {
  Endpoint listing;
  int in_flight = 0;       // outstanding attempts of this router
  int failure_points = 0;  // points for consecutive failures
  Time ejected_until = 0;
  bool excluded_from_cut = false;  // the latest cut gave the replica no share
  double speed_factor = 1;  // 0..1; learned factor on the listed weight; decreases while answers are slow
  Time last_answer_at = 0;  // when the replica last answered anything
  DecayedValue reported_failures;  // failure points reported by other routers

  // Resets what was learned. To be called when the replica has restarted.
  void clear_learned() {
    failure_points = 0;
    ejected_until = 0;
    speed_factor = 1;
  }
};

// A request in progress: from its arrival until the client has its final answer.
struct PendingRequest {
  Request request;
  Time arrived_at = 0;
  Time useful_until = 0;  // the earlier one of latency objective and deadline, as a time point
  double work = 0;        // in the unit of Request::work_hint, or tokens if there is no hint
  AttemptHistory attempts;
  bool moved_to_adjacent = false;  // a replica rejected it as full, and an adjacent one was chosen
  bool started = false;            // the first token has reached the client
};

// Returns the target time to the first token, in microseconds, as the request's class defines it.
Time latency_objective_of(const ClassSettings& request_class, const Request& request);

// Whether the outcome is a failure that the replica may have caused.
bool is_failure(Outcome outcome);

}  // namespace thornwick
