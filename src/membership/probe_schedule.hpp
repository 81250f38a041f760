// Decides which member to probe, and when: all members in a random order, members in doubt more often, and
// some members out of turn.
#pragma once

#include <cstddef>
#include <vector>

#include "membership/probe_rounds.hpp"
#include "membership/swim_state.hpp"

namespace thornwick::membership {

class ProbeSchedule {
 public:
  ProbeSchedule(SwimState& state, Time now) : state_(state), now_(now), rounds_(state, now) {}

  // The time at which the next probe or the next stage of a round is due.
  static Time next_due(const SwimState& state);
  // Probes the members in doubt in turn, a few at a time, so that the failure of a whole site causes no burst
  // of messages.
  void probe_doubted();
  // Probes the next member that waits for a probe out of turn, if one is due.
  void probe_expedited();
  // Sends the next ordinary probe, if it is due.
  void probe_ordinary();

 private:
  void probe_next_member();
  void shuffle_order();
  std::vector<std::size_t> absent_members() const;

  SwimState& state_;
  Time now_;
  ProbeRounds rounds_;
};

}  // namespace thornwick::membership
