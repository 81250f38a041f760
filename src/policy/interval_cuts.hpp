// Cuts the work into intervals of equal expected work, one for each ready replica in sorted-id order, in
// proportion to the replicas' present totals.
//
// The method is SITA-E (size interval task assignment with equal load): Harchol-Balter, Crovella and Murta,
// "On choosing a task assignment policy for a distributed server system", JPDC 59, 1999.
#pragma once

#include "policy/policy_state.hpp"
#include "policy/replica_health.hpp"
#include "policy/work_distribution.hpp"

namespace thornwick {

// Keeps PolicyState::home_cut and remote_cut.
class IntervalCuts {
 public:
  IntervalCuts(PolicyState& state, ReplicaHealth& health, WorkDistribution& work)
      : state_(state), health_(health), work_(work) {}

  // Computes both cuts again if they are stale or refresh_period() old.
  void update(Time now);

  // The age, in microseconds, at which cuts are computed again so that they follow warm-up and health.
  static Time refresh_period();

 private:
  enum class Side { home, remote };

  // The sums of the capacities of a side's replicas.
  struct Totals {
    double all = 0;
    double ejected = 0;
    double warm = 0;
    double warm_count = 0;  // a number of replicas
  };

  IntervalCut cut_over(Time now, Side side);
  // Makes the side's ready replicas the members of the cut.
  Totals collect_members(Time now, Side side, IntervalCut& cut);
  // Returns the share of the side's work that a replica gets, in units of capacity; 0: none. The share
  // depends on the replica's capacity, its recovery after an ejection, and its warm-up. If most of the side's
  // capacity is ejected, the fault probably lies elsewhere, and ejections do not count: excluding all
  // replicas would leave none to serve. A cold replica lists a high live weight because it is idle, so its
  // share is at most the mean capacity of the warm replicas of the home side; a cold remote replica gets none
  // while another remote replica is warm.
  double share_of(Time now, Side side, const Replica& replica, const Totals& totals) const;

  // Whether a replica is on the home side: for a router of a group, every one; for a router without peers,
  // those of its own zone. The routers of a group must cut over the same replicas to place a request alike,
  // and a zone with few replicas must not carry all that enters there while others are idle: crossing a zone
  // costs less than waiting.
  bool is_home(const Replica& replica) const;

  // The load that a warm replica can take, as a multiple of its share.
  double headroom() const;

  PolicyState& state_;
  ReplicaHealth& health_;
  WorkDistribution& work_;
  Time updated_at_ = 0;
};

}  // namespace thornwick
