// Tracks which process uses a member's name: restarts with and without the disk, and two processes that share
// a name.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

#include "membership/swim_state.hpp"

namespace thornwick::membership {

class IdentityTracker {
 public:
  IdentityTracker(SwimState& state, Time now) : state_(state), now_(now) {}

  // Handles a claim with a higher incarnation than the known one, which names the process that uses the name.
  void on_newer_claim(std::size_t member, const Claim& claim);
  // Handles a claim of another process that uses, or used, this router's own name. Its incarnation is not
  // below this router's.
  void on_rival(const Claim& claim);
  // Notes that two processes use the member's name.
  void raise_conflict(std::size_t member);
  // Ends conflicts that were not confirmed recently.
  void expire_conflicts();

 private:
  enum class Known { before, now_first };

  Known supersede(MemberRecord& record, std::uint32_t old_instance, std::uint32_t new_instance);
  void on_superseded_instance_returned(std::size_t member);
  void report_restart(std::size_t member, const Identity& before, const Identity& after);
  void report_own_recovery(const Identity& known);
  std::deque<Rival>::iterator find_rival(std::uint32_t instance_id);

  SwimState& state_;
  Time now_;
};

}  // namespace thornwick::membership
