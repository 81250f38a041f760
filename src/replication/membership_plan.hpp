// The leader's next change to the members of a log, derived from the members, the placement of the replicas,
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
  remove_lost,      // its router runs another replica, so the disk of this one is gone
  add,              // without a vote
  promote,          // to a voter
  remove_unwanted,  // another router has taken its place
};

struct MembershipChange {
  MembershipAction action = MembershipAction::none;
  ReplicaUid id = 0;
  std::string name;  // of its router
};

// Returns one change, or `none`. Unwanted members are removed once all wanted ones vote, the leader itself
// last.
MembershipChange next_membership_change(const MembershipView& view);

}  // namespace thornwick::replication
