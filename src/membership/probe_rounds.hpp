// Runs rounds of probes: a ping, a second ping, and pings by helpers on request (SWIM's indirect probe; Das,
// Gupta and Motivala 2002).
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "membership/swim_state.hpp"

namespace thornwick::membership {

class ProbeRounds {
 public:
  ProbeRounds(SwimState& state, Time now) : state_(state), now_(now) {}

  // Starts a round for a member. Does nothing for this router itself, for a member that is being probed, or
  // while too many rounds are open.
  void start(std::size_t member);
  // Moves a round without an answer to its next stage.
  void advance(ProbeRound& round);
  // Probes up to `count` random members that are alive or suspected, to find out whether an unresponsive
  // member has failed or this router itself is cut off.
  void probe_at_random(std::size_t count);
  // The time at which the first open round reaches its next stage, but not later than `latest`.
  static Time next_due(const SwimState& state, Time latest);
  // Erases rounds that ended long ago.
  void erase_old();

 private:
  enum class FirstHelper { last_successful, any };

  [[nodiscard]] bool make_room();
  Time round_duration() const;
  std::vector<std::size_t> choose_helpers(std::size_t member, FirstHelper first);
  int helper_rank(std::size_t helper, std::size_t member, FirstHelper first) const;

  SwimState& state_;
  Time now_;
};

}  // namespace thornwick::membership
