// Derives the leader's next change to the members of a log from the members, the placement of the replicas,
// and the replicas that run. No state and no I/O.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "replication/consensus.hpp"

namespace thornwick::replication {

struct MembershipView {
  std::vector<LogMember> members;
  std::vector<std::string> placed_routers;  // routers on which replicas are placed
  LogMember self;                           // the leader
  // The replica that a router runs now; 0 if no hello of the router came recently.
  std::function<ReplicaUid(const std::string& router)> current_replica;
};

enum class MembershipAction : std::uint8_t {
  none,
  remove_lost,      // the member's router runs another replica, so the member's disk is lost
  add,              // adds a member without a vote
  promote,          // makes the member a voter
  remove_unplaced,  // no replica is placed on the member's router any more
};

struct MembershipChange {
  MembershipAction action = MembershipAction::none;
  ReplicaUid id = 0;
  std::string name;  // name of the replica's router
};

// Returns one change, or `none`. Members on routers without a placed replica are removed when all placed
// replicas have a vote, the leader itself last.
MembershipChange next_membership_change(const MembershipView& view);

}  // namespace thornwick::replication
