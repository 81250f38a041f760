// Overload: load shedding by priority weight, cross-zone overflow, and the Retry-After of rejections.
//
// While answers come late, the arrivals with the lowest priority weights are rejected at once. This guards
// against congestion collapse, in which all requests wait, time out and are repeated, and none is answered in
// time.
#pragma once

#include <cstddef>
#include <vector>

#include "policy/policy_state.hpp"
#include "policy/replica_health.hpp"

namespace thornwick {

// Learns how late answers are. Decides which arrivals are rejected, and how many sessions overflow to other
// zones.
class Overload {
 public:
  explicit Overload(PolicyState& state) : state_(state) {}

  // Returns whether an arriving request must be rejected at once. Counts the arrival in either case. A
  // request that resumes a broken stream is never rejected.
  bool must_shed(const Request& request);

  // Adjusts load shedding to the time that a request waited for its first token, or has waited so far without
  // one. Returns the class of that time. Both arguments are in microseconds.
  AnswerTime on_answer(Time wait, Time latency_objective);
  // Adjusts the cross-zone overflow. A slow answer from this router's zone raises it; an answer in time from
  // this zone, or a slow one from another zone, lowers it.
  void on_answer_from(const Replica& replica, AnswerTime time);
  // Adjusts load shedding to a late answer that another router reports.
  void on_reported_late_answer();

  // Returns the Retry-After of a rejection, in microseconds; 0 if the deployment has no Retry-After. The
  // value grows with load shedding, and is jittered so that rejected clients do not return at the same time.
  Time draw_retry_after();

  // Whether load shedding is so high that a replica that does not answer is more likely busy than failed.
  bool is_severe() const;

  // Returns the upper bound of load shedding, as a fraction of the arrivals.
  static double max_load_shedding();

 private:
  // Returns the priority weight of a request. The weight is lowered if the client repeats the request, whose
  // answer is then mostly late, and if its tenant is over its share. Counts the request for its tenant.
  double priority_weight_of(const Request& request);
  // Counts the request for its tenant. Returns whether the tenant is over its share.
  bool is_over_share(const Request& request);
  // Return the increase of load shedding with a late answer, and the decrease with any other answer. Rejected
  // requests yield no answers, so the caller divides the decrease by the fraction of the arrivals that are
  // not rejected. After more than kFastRecoveryRun answers in time in a row the decrease is larger, so that
  // shedding ends soon after an overload. In a large group, the decrease is multiplied by kLargeGroupWeight,
  // and the increase by kLargeGroupWeight divided by the number of routers.
  double shedding_increase() const;
  double shedding_decrease() const;

  PolicyState& state_;
  std::vector<double> recent_weights_;  // ring buffer of the priority weights of recent arrivals
  std::size_t next_weight_ = 0;
  int in_time_run_ = 0;  // answers in time since the last late answer
};

}  // namespace thornwick
