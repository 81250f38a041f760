// Health of replicas: failures in a row and ejection for a time, learned pace, warm-up after a start. Gives
// the factors from which a replica's share is computed.
#pragma once

#include "policy/policy_state.hpp"

namespace thornwick {

// The time that a failure cost: next to none (quick), or up to a whole time-out (slow).
enum class FailureCost { quick, slow };

// How an answer's time to the first token compares with the latency objective.
enum class AnswerTime { in_time, slow, late };

// Judges replicas by their failures and the time of their answers. Keeps its records in PolicyState.
class ReplicaHealth {
 public:
  explicit ReplicaHealth(PolicyState& state) : state_(state) {}

  // The replica answered something. Ends a run of failures.
  void on_alive(Time now, ReplicaId id);

  // Counts a failure, and ejects the replica after enough failures in a row, for a time that doubles with
  // each further one. Guards against replicas that fail fast and so draw requests, and against a lost zone
  // that the endpoint list still has. One slow failure or two quick ones do not eject: a busy replica is
  // silent at times, any replica may drop a connection, and ejecting those that answer otherwise overloads
  // the rest.
  void on_failure(Time now, Replica& replica, FailureCost cost) {
    add_failure_points(now, replica, points_of(cost));
  }

  // Counts a failure that another router reports. Enough reports within a short time eject the replica here.
  void on_reported_failure(Time now, Replica& replica, FailureCost cost);

  // Adjusts the learned pace of a replica and of its kind to an answer. Guards against kinds that are slower
  // than listed or slow down together, and against single replicas that slow down: a degrading replica is
  // slow long before it fails.
  void on_answer(Replica& replica, AnswerTime time);

  // Lowers the pace of a single replica by one slow answer.
  void slow_down(Replica& replica) const;

  // Moves the paces of single replicas towards 1 after `elapsed` microseconds, in a large group only: its
  // routers see too few answers in time from each replica for on_answer() to do that.
  void recover_paces(Time elapsed);

  // The capacity of a replica before recovery and warm-up: its listed weight times its learned pace and that
  // of its kind. Above 0.
  double capacity_of(const Replica& replica) const;

  // The part of its warm-up that a replica has completed, 0..1; 1 without a warm-up. Its share rises with it
  // from 0, because a cold replica can do only a part of the work and all routers send to it.
  double warmth(Time now, const Replica& replica) const;

  // The factor on the share of a replica after an ejection, 0..1: 0 while it is ejected, then rising to 1
  // within one longest latency objective. Guards against full load on a replica that may fail again.
  double recovery(Time now, const Replica& replica) const;

  // The lower bound of learned paces.
  static double min_pace();

 private:
  static int points_of(FailureCost cost);
  void add_failure_points(Time now, Replica& replica, int points);

  PolicyState& state_;
};

}  // namespace thornwick
