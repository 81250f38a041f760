// Placement: chooses the replica of a request from the interval cuts, by its size, its session or its prefix.
#pragma once

#include <cstddef>
#include <cstdint>

#include "policy/interval_cuts.hpp"
#include "policy/policy_state.hpp"
#include "policy/replica_health.hpp"
#include "policy/work_distribution.hpp"

namespace thornwick {

// The decision where to send a request.
struct PlacementChoice {
  enum class Kind { send, wait_for_endpoints, reject };
  Kind kind = Kind::reject;
  Replica* replica = nullptr;  // set if and only if `kind` is `send`
};

// Chooses replicas. Sends nothing and changes no record of a request or replica.
class Placement {
 public:
  Placement(PolicyState& state, const ReplicaHealth& health, const WorkDistribution& work, IntervalCuts& cuts)
      : state_(state), health_(health), work_(work), cuts_(cuts) {}

  // Chooses the replica of an arriving request. Draws random numbers for a request without a session. While
  // all replicas at home are cold, it draws them for every request, so that not always the same sessions are
  // rejected.
  PlacementChoice choose(Time now, const PendingRequest& pending);

  // Returns the replica for another attempt. The candidates are the warm replicas that are not ejected and
  // that this request was not sent to. The first one in the order of ids after `last_replica` is chosen, or
  // else the last one before it; nullptr if there is no candidate. The record is owned by PolicyState.
  Replica* other_replica(Time now, const PendingRequest& pending, ReplicaId last_replica);

 private:
  // An interval of the work, [low, high), in fractions of all work.
  struct Band {
    double low = 0;
    double high = 1;
  };

  // Returns the cut in which the request is placed. This is the home cut, unless the request is in the
  // fraction of the load that leaves the zone or that the replicas at home cannot take; then it is the remote
  // cut. nullptr if neither cut can take the request because their replicas are cold.
  const IntervalCut* choose_cut(const PendingRequest& pending);
  // Whether the request must not be sent to this replica because the replica is warming up: either the
  // request is heavy, and a single heavy request could overload the replica, or its client repeats it, and it
  // may have failed there before.
  bool must_avoid_cold(Time now, const PendingRequest& pending, const Replica& replica) const;
  // Whether the replica is warm, not ejected, and was not sent this request.
  bool is_retry_candidate(Time now, const PendingRequest& pending, const Replica& replica) const;
  // Whether the owner has clearly more requests in flight than the other replica, relative to their
  // capacities.
  bool clearly_busier(const Replica& owner, const Replica& other) const;

  // Returns the index of the replica that owns the request: the owner of its size or, if the request has a
  // session or a prefix, one of the owners in the band of its size.
  std::size_t owner_of(const IntervalCut& cut, const PendingRequest& pending);

  // Returns the key that is equal for all requests that should share a replica. If most of the prompt is a
  // shared prefix, the key is that of a group of sessions with this prefix; otherwise it is that of the
  // session. 0 if the request has neither a session nor a prefix.
  std::uint64_t affinity_key(const Request& request, const IntervalCut& cut) const;

  // Returns the band that contains a size. All bands have about the same fraction of the work.
  Band band_of(double size, const IntervalCut& cut) const;

  // Returns the index of the replica that owns a key in a band, by weighted rendezvous hashing: a session
  // keeps its replica, and with it its cached prompt, while other replicas join, leave or change their share.
  static std::size_t owner_in_band(const IntervalCut& cut, const Band& band, std::uint64_t key);

  // Returns the index of the replica that is expected to have the prompt cached, if it is in the band and not
  // clearly busier than the given owner; otherwise that of the owner. The condition keeps requests with
  // one popular prompt from crowding on one replica.
  std::size_t cache_holder_in_band(const IntervalCut& cut, const Band& band, std::size_t owner,
                                   const CacheHint& hint) const;

  PolicyState& state_;
  const ReplicaHealth& health_;
  const WorkDistribution& work_;
  IntervalCuts& cuts_;
};

}  // namespace thornwick
