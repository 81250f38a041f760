// Health of replicas: ejection after consecutive failures, learned speed factors, and the warm-up after a
// start. Provides the factors from which a replica's share of the work is computed.
#pragma once

#include "policy/policy_state.hpp"

namespace thornwick {

// The time that a failure took: next to none (quick), or up to a whole time-out (slow).
enum class FailureCost { quick, slow };

// How an answer's time to the first token compares with the latency objective.
enum class AnswerTime { in_time, slow, late };

// Judges replicas by their failures and the time of their answers. Keeps its records in PolicyState.
class ReplicaHealth {
 public:
  explicit ReplicaHealth(PolicyState& state) : state_(state) {}

  // The replica has answered something, which ends a run of failures.
  void on_alive(Time now, ReplicaId id);

  // Counts a failure. Ejects the replica after enough consecutive failures, for a time that doubles with each
  // further one. Guards against replicas that fail fast and so attract requests, and against a lost zone
  // whose replicas are still listed. One slow failure or two quick ones do not eject: a busy replica does not
  // answer at times, any replica may drop a connection, and ejecting replicas that otherwise answer overloads
  // the others.
  void on_failure(Time now, Replica& replica, FailureCost cost) {
    add_failure_points(now, replica, failure_points_of(cost));
  }

  // Counts a failure that another router reports. Enough reports within a short time eject the replica here.
  void on_reported_failure(Time now, Replica& replica, FailureCost cost);

  // Adjusts the learned speed factors of a replica and of its kind to an answer. Guards against kinds that
  // are slower than listed or slow down together, and against single replicas that slow down: a degrading
  // replica is slow long before it fails.
  void on_answer(Replica& replica, AnswerTime time);

  // Lowers the speed factor of a single replica by one slow answer.
  void lower_speed_factor(Replica& replica) const;

  // Moves the speed factors of single replicas towards 1 after `elapsed` microseconds, in a large group only:
  // its routers receive too few answers in time from each replica for on_answer() to raise the factors.
  void recover_speed_factors(Time elapsed);

  // Returns the capacity of a replica without regard to ejection and warm-up: its listed weight times its
  // speed factor and that of its kind. Above 0.
  double capacity_of(const Replica& replica) const;

  // Returns the fraction of its warm-up that a replica has completed, 0..1; 1 without a warm-up. The share of
  // a replica rises with this fraction from 0, because a cold replica can do only a fraction of the work and
  // all routers send to it.
  double warm_up_progress(Time now, const Replica& replica) const;

  // Returns the factor on the share of a replica after an ejection, 0..1: 0 while the replica is ejected,
  // then rising to 1 within one longest latency objective. Guards against full load on a replica that may
  // fail again.
  double recovery_factor(Time now, const Replica& replica) const;

  // Returns the lower bound of learned speed factors.
  static double min_speed_factor();

 private:
  // Returns the failure points of one failure.
  static int failure_points_of(FailureCost cost);
  // Adds consecutive failure points, and ejects the replica if they suffice. Ignored while it is ejected.
  void add_failure_points(Time now, Replica& replica, int points);

  PolicyState& state_;
};

}  // namespace thornwick
