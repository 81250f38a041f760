// The records that the routing policy keeps: one for each replica, one for each request in work; and what
// requests, outcomes and settings mean. Facts only, no decision.
#pragma once

#include <algorithm>
#include <vector>

#include "gossip/gossip.hpp"
#include "thornwick/routing_policy.hpp"

namespace thornwick {

// A replica of the endpoint list and what this router has learned of it.
struct Replica {
  Endpoint listing;
  int in_flight = 0;       // attempts of this router that are outstanding
  int failure_points = 0;  // of the failures in a row
  Time ejected_until = 0;
  bool excluded_from_cut = false;  // the latest cut gave it no share
  double pace = 1;                 // 0..1; learned factor on its listed weight; falls while answers are slow
  Time last_alive = 0;             // when it last answered anything
  DecayedValue reported_failures;  // failure points reported by other routers

  // Resets what was learned, because the replica has restarted.
  void reset_record() {
    failure_points = 0;
    ejected_until = 0;
    pace = 1;
  }
};

// One sending of a request to a replica.
struct Attempt {
  ReplicaId replica = 0;
  Time sent = 0;
  bool outstanding = true;
  bool may_have_run = true;  // until an outcome proves that it never ran
};

// A request from its arrival until the client has its final answer.
struct PendingRequest {
  Request request;
  Time arrived = 0;
  Time useful_until = 0;  // the first token is wanted by then
  double work = 0;        // in the unit of Request::work_hint; without one, tokens
  std::vector<Attempt> attempts;
  bool moved_to_adjacent = false;  // was rejected as full once and went to the adjacent replica
  bool started = false;            // the first token has reached the client

  // Whether an attempt has no outcome yet.
  bool has_outstanding_attempt() const {
    return std::any_of(attempts.begin(), attempts.end(),
                       [](const Attempt& attempt) { return attempt.outstanding; });
  }
  // Whether a replica may have begun to work on it.
  bool may_have_run() const {
    return std::any_of(attempts.begin(), attempts.end(),
                       [](const Attempt& attempt) { return attempt.may_have_run; });
  }
  bool was_sent_to(ReplicaId replica) const {
    return std::any_of(attempts.begin(), attempts.end(),
                       [replica](const Attempt& attempt) { return attempt.replica == replica; });
  }
};

// The wanted time to the first token, in microseconds, as the request's class defines it.
Time latency_objective_of(const ClassSettings& request_class, const Request& request);

// Whether an attempt with this outcome failed for a reason that may lie in the replica.
bool is_failure(Outcome outcome);

}  // namespace thornwick
