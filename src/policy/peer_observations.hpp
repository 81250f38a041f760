// Observations of replicas exchanged between the routers of a large group, where each router alone sees too
// few answers of a replica to judge it.
#pragma once

#include <cstdint>
#include <span>

#include "gossip/gossip.hpp"
#include "policy/policy_state.hpp"

namespace thornwick {

class Overload;
class ReplicaHealth;

// Whether the group has so many routers that each sees too few answers of a replica to judge it alone.
bool is_large_group(const Settings& settings);
// Whether the routers of this group share observations: it is large, and they may send messages to each
// other.
bool shares_observations(const Settings& settings);
// The number of observations that a report stands for, 1 or more. A router reports one in this number of its
// observations at random, so that the number of messages does not grow with the group.
double report_weight(const Settings& settings);

// Sends this router's observations to its peers and applies those of the peers. Does nothing in a small
// group.
class PeerObservations {
 public:
  PeerObservations(PolicyState& state, ReplicaHealth& health, Overload& overload)
      : state_(state), health_(health), overload_(overload) {}

  // Queues an observation for the next message to all peers.
  void report(Time now, const Replica& replica, Observation observation);
  // Applies the observations in a peer's message. A message that does not parse is ignored.
  void on_message(Time now, std::uint32_t peer, std::span<const std::uint8_t> message);
  // Sends the queued observations if the token is that of the gossip timer.
  void on_timer(std::uint32_t token);

 private:
  void apply(Time now, const GossipItem& item);

  PolicyState& state_;
  ReplicaHealth& health_;
  Overload& overload_;
  Gossip gossip_;
};

}  // namespace thornwick
