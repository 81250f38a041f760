// The states of the members, and the condition of the group that follows from them: how many members are
// running, whether this router is cut off, and whether its view is reliable.
#pragma once

#include <cstddef>
#include <string>

#include "membership/swim_state.hpp"

namespace thornwick::membership {

class GroupEvaluation {
 public:
  GroupEvaluation(SwimState& state, Time now) : state_(state), now_(now) {}

  // Sets the member's state. If the state changes, reports the change and evaluates the group.
  void set_state(std::size_t member, MemberState state, const std::string& reason);
  // Sets the member's state to suspected. May delay its next round of probes at random.
  void suspect(std::size_t member, const std::string& reason);
  // Has to be called when a value other than a state changes on which the group's condition depends.
  void mark_stale() { state_.condition.stale = true; }
  // Evaluates the group if something changed since the last evaluation.
  void refresh();
  // Marks the view as reliable, and reports this once, if enough members answered since the last reset.
  void update_confidence();

 private:
  // The number of members that have not left, and the number of those that this router may reach, this router
  // included.
  struct Reach {
    std::size_t reachable = 1;
    std::size_t all = 1;
  };

  Reach count_members();
  bool counts_as_unreachable(const MemberRecord& member) const;
  bool is_cut_off(const Reach& reach) const;
  void on_cut_off(const Reach& reach);
  void on_reconnected(const Reach& reach);
  void doubt_recent_failures();

  SwimState& state_;
  Time now_;
};

// The number of unanswered rounds after which a member is suspected, at this rate of message loss.
std::uint32_t rounds_until_suspicion(const SwimState& state, double loss);

}  // namespace thornwick::membership
