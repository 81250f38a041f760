// Sharing of observations of replicas between the routers of a large group, where a single router receives
// too few answers from a replica to judge it.
#pragma once

#include <cstdint>
#include <span>

#include "gossip/gossip.hpp"
#include "policy/policy_state.hpp"

namespace thornwick {

class Overload;
class ReplicaHealth;

// Whether the group has so many routers that each receives too few answers from a replica to judge it alone.
bool is_large_group(const Settings& settings);
// Whether the routers of the group share observations: the group is large, and its routers may send messages
// to each other.
bool shares_observations(const Settings& settings);
// Returns the number of observations that a report represents, 1 or more. A router reports one in this number
// of its observations, chosen at random, so that the number of messages does not grow with the group.
double report_weight(const Settings& settings);

// Sends this router's observations to its peers and applies the observations of the peers. Does nothing
// unless shares_observations().
class PeerObservations {
 public:
  PeerObservations(PolicyState& state, ReplicaHealth& health, Overload& overload)
      : state_(state), health_(health), overload_(overload) {}

  // Queues an observation for the next message to all peers, with probability 1 / report_weight().
  void report(Time now, const Replica& replica, Observation observation);
  // Applies the observations in a peer's message. A malformed message is ignored.
  void on_message(Time now, std::uint32_t peer, std::span<const std::uint8_t> message);
  // Sends the queued observations to all peers if the token is that of the gossip timer.
  void on_timer(std::uint32_t token);

 private:
  // Applies an observation of a peer. Ignored if the replica is unknown.
  void apply(Time now, const GossipItem& item);

  PolicyState& state_;
  ReplicaHealth& health_;
  Overload& overload_;
  Gossip gossip_;
};

}  // namespace thornwick
