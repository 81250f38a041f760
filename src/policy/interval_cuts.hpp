// Cuts the work into intervals of request sizes, one for each ready replica in the order of the ids. The
// expected work of an interval is proportional to the present capacity of its replica.
//
// The method is SITA-E (size interval task assignment with equal load): Harchol-Balter, Crovella and Murta,
// "On choosing a task assignment policy for a distributed server system", JPDC 59, 1999.
#pragma once

#include "policy/policy_state.hpp"
#include "policy/replica_health.hpp"
#include "policy/work_distribution.hpp"

namespace thornwick {

// Keeps PolicyState::home_cut and remote_cut up to date.
class IntervalCuts {
 public:
  IntervalCuts(PolicyState& state, ReplicaHealth& health, WorkDistribution& work)
      : state_(state), health_(health), work_(work) {}

  // Computes both cuts again if they are stale or at least refresh_period() old.
  void update(Time now);

  // Returns the age, in microseconds, at which cuts are computed again, so that they follow the warm-up and
  // health of replicas.
  static Time refresh_period();

 private:
  // The replicas that requests normally use, and all others. See is_home().
  enum class Side { home, remote };

  // Sums over the ready replicas of a side: of their capacities, unless stated otherwise.
  struct Totals {
    double all = 0;
    double ejected = 0;
    double warm = 0;
    double warm_count = 0;  // number of warm replicas that are not ejected
  };

  // Computes the cut of a side.
  IntervalCut cut_over(Time now, Side side);
  // Adds the side's ready replicas to the members of the cut. Returns their totals.
  Totals collect_members(Time now, Side side, IntervalCut& cut);
  // Returns the share of the side's work that a replica gets, in units of capacity; 0: none. The share
  // depends on the replica's capacity, its recovery after an ejection, and its warm-up. If more than
  // kMaxEjectedFraction of the side's capacity is ejected, the fault lies elsewhere, and ejections are
  // ignored: excluding all replicas would leave none to serve. A cold replica lists a high live weight
  // because it is idle, so its share is at most the mean capacity of the warm replicas of the home side; a
  // cold remote replica gets none while another remote replica is warm.
  double share_of(Time now, Side side, const Replica& replica, const Totals& totals) const;

  // Whether a replica is on the home side. For a router of a group, all replicas are; for a router without
  // peers, those of its zone are. The routers of a group must cut over the same replicas to place a request
  // alike. A zone with few replicas must not carry all requests that enter there while other replicas are
  // idle: crossing a zone costs less than waiting.
  bool is_home(const Replica& replica) const;

  // Returns the load that a warm replica can take, as a multiple of its share.
  double headroom() const;

  PolicyState& state_;
  ReplicaHealth& health_;
  WorkDistribution& work_;
  Time updated_at_ = 0;
};

}  // namespace thornwick
