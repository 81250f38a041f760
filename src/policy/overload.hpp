// Overload: load shedding by priority weight, cross-zone overflow, and the Retry-After of rejections.
//
// While answers come late, the arrivals with the lowest priority weights are rejected at once. This guards
// against congestion collapse, in which all requests wait, time out and are sent again, and none is answered
// in time.
#pragma once

#include <cstddef>
#include <vector>

#include "policy/policy_state.hpp"
#include "policy/replica_health.hpp"

namespace thornwick {

// Learns how late answers are, and decides what is rejected or sent to another zone for it.
class Overload {
 public:
  explicit Overload(PolicyState& state) : state_(state) {}

  // Returns whether an arrival is to be rejected at once, and counts it in either case. A request that
  // resumes a broken stream is never rejected.
  bool must_shed(const Request& request);

  // Adjusts load shedding to the time in microseconds that a request waited for its first token, or has
  // waited without one, and classifies that time. `latency_objective` is in microseconds.
  AnswerTime on_answer(Time waited, Time latency_objective);
  // Adjusts the cross-zone overflow: a slow answer from the home zone raises it; an answer in time from there
  // and a slow one from another zone lower it.
  void on_answer_from(const Replica& replica, AnswerTime time);
  // Adjusts load shedding to a late answer that another router reports.
  void on_reported_late_answer();

  // The Retry-After of a rejection, in microseconds: it grows with load shedding and is jittered, so that
  // rejected clients do not return together. 0 if the deployment has no Retry-After.
  Time retry_after_advice();

  // Whether so much is shed that a replica that does not answer is more likely busy than failed.
  bool is_severe() const;

  // The upper bound of load shedding, as a part of the arrivals.
  static double max_load_shedding();

 private:
  // The priority weight of a request, lowered if its client sends it again (its answer is then mostly late)
  // and if its tenant is over its share. Counts the request for its tenant.
  double priority_weight_of(const Request& request);
  bool is_over_share(const Request& request);
  // The changes of load shedding with a late answer and with any other one. Rejected requests give no
  // answers, so the caller divides the decrease by the part of the arrivals that is not rejected. After
  // kCalmRun answers in time in a row the decrease is larger, so that shedding ends soon after an overload.
  double shedding_increase() const;
  double shedding_decrease() const;

  PolicyState& state_;
  std::vector<double> recent_weights_;  // a ring of the priority weights of recent arrivals
  std::size_t next_weight_ = 0;
  int in_time_run_ = 0;  // answers in time since the latest late one
};

}  // namespace thornwick
