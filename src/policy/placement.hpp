// Placement: chooses the replica of a request from the interval cuts, by its size, its session or its prefix.
#pragma once

#include <cstddef>
#include <cstdint>

#include "policy/interval_cuts.hpp"
#include "policy/policy_state.hpp"
#include "policy/replica_health.hpp"
#include "policy/work_distribution.hpp"

namespace thornwick {

// Where a request goes.
struct PlacementChoice {
  enum class Kind { send, wait_for_endpoints, reject };
  Kind kind = Kind::reject;
  Replica* replica = nullptr;  // set if and only if `kind` is `send`
};

// Chooses replicas; sends nothing and changes no record of a request or replica.
class Placement {
 public:
  Placement(PolicyState& state, const ReplicaHealth& health, const WorkDistribution& work, IntervalCuts& cuts)
      : state_(state), health_(health), work_(work), cuts_(cuts) {}

  // The replica of an arrival. Draws random numbers for a request without a session.
  PlacementChoice choose(Time now, const PendingRequest& pending);

  // The replica for another attempt: of the warm replicas that are not ejected and that this request was not
  // sent to, the one that follows `last` in the order of ids, or else the last one before it. nullptr if
  // there is none. The record is owned by PolicyState.
  Replica* neighbour(Time now, const PendingRequest& pending, ReplicaId last);

 private:
  // A part of the work, [low, high).
  struct Band {
    double low = 0;
    double high = 1;
  };

  // The cut that a request is placed in: the one at home, unless the request is in the part of the load that
  // leaves the zone or that the replicas at home cannot take; then the remote one. nullptr if neither cut can
  // take it because their replicas are cold.
  const IntervalCut* choose_cut(const PendingRequest& pending);
  // Whether a request must not go to this replica because the replica is warming up: the request is heavy,
  // and a single one could overload it, or its client sends it again, and it may have failed there before.
  bool spares_cold(Time now, const PendingRequest& pending, const Replica& replica) const;
  // Whether the replica is warm, not ejected, and without an attempt of this request.
  bool may_try(Time now, const PendingRequest& pending, const Replica& replica) const;
  // Whether the owner has clearly more requests in flight than the other, relative to their capacities.
  bool clearly_busier(const Replica& owner, const Replica& other) const;

  // The index of the replica that a request belongs to: the owner of its size or, if it has a session or a
  // prefix, one of the owners in the band of its size.
  std::size_t owner_in(const IntervalCut& cut, const PendingRequest& pending);

  // The key of the requests that should share a replica: of a part of the sessions with the same prefix, if
  // most of the prompt is the prefix; else of the session. 0: the request has neither.
  std::uint64_t affinity_key(const Request& request, const IntervalCut& cut) const;

  // The band that a size is in. Each band is about the same part of the work.
  Band band_of(double size, const IntervalCut& cut) const;

  // The index of the replica that a key has in a band, by weighted rendezvous hashing: a session keeps its
  // replica, and with it its cached prompt, while other replicas join, leave or change their share.
  static std::size_t owner_in_band(const IntervalCut& cut, const Band& band, std::uint64_t key);

  // The index of the replica that is expected to have the prompt cached, if it is in the band and not clearly
  // busier than the given owner; else that of the owner. The condition keeps requests with one popular prompt
  // from crowding on one replica.
  std::size_t holder_in_band(const IntervalCut& cut, const Band& band, std::size_t owner,
                             const CacheHint& hint) const;

  PolicyState& state_;
  const ReplicaHealth& health_;
  const WorkDistribution& work_;
  IntervalCuts& cuts_;
};

}  // namespace thornwick
