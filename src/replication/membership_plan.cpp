#include "replication/membership_plan.hpp"

#include <algorithm>

namespace thornwick::replication {
namespace {

bool is_placed(const MembershipView& view, const std::string& router) {
  return std::find(view.placed_routers.begin(), view.placed_routers.end(), router) !=
         view.placed_routers.end();
}

MembershipChange remove_lost(const MembershipView& view) {
  const auto voters = std::count_if(view.members.begin(), view.members.end(),
                                    [](const LogMember& member) { return member.is_voter; });
  if (voters <= 1) return {};
  for (const LogMember& member : view.members) {
    if (member.id == view.self.id) continue;
    const ReplicaUid current = view.current_replica(member.name);
    if (current != 0 && current != member.id) {
      return {MembershipAction::remove_lost, member.id, member.name};
    }
  }
  return {};
}

MembershipChange add_or_promote(const MembershipView& view) {
  for (const std::string& router : view.placed_routers) {
    const ReplicaUid current = view.current_replica(router);
    if (current == 0) continue;
    const auto member =
        std::find_if(view.members.begin(), view.members.end(),
                     [&router](const LogMember& candidate) { return candidate.name == router; });
    if (member == view.members.end()) return {MembershipAction::add, current, router};
    if (!member->is_voter) return {MembershipAction::promote, current, router};
  }
  return {};
}

MembershipChange remove_unplaced(const MembershipView& view) {
  const auto placed_voters = std::count_if(
      view.members.begin(), view.members.end(),
      [&view](const LogMember& member) { return member.is_voter && is_placed(view, member.name); });
  if (static_cast<std::size_t>(placed_voters) < view.placed_routers.size()) return {};
  for (const LogMember& member : view.members) {
    if (!is_placed(view, member.name) && member.id != view.self.id) {
      return {MembershipAction::remove_unplaced, member.id, member.name};
    }
  }
  if (!is_placed(view, view.self.name))
    return {MembershipAction::remove_unplaced, view.self.id, view.self.name};
  return {};
}

}  // namespace

MembershipChange next_membership_change(const MembershipView& view) {
  for (const auto plan : {remove_lost, add_or_promote, remove_unplaced}) {
    MembershipChange change = plan(view);
    if (change.action != MembershipAction::none) return change;
  }
  return {};
}

}  // namespace thornwick::replication
