// Tracks which process uses a member's name, to detect restarts with and without the disk, and two processes
// with one name.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

#include "membership/swim_state.hpp"

namespace thornwick::membership {

class IdentityTracker {
 public:
  IdentityTracker(SwimState& state, Time now) : state_(state), now_(now) {}

  // Handles a claim with a higher incarnation than the known one. The claim has the identity of the process
  // that now uses the member's name.
  void on_newer_claim(std::size_t member, const Claim& claim);
  // Handles a claim of another process that uses, or used, this router's name. The claim's incarnation is not
  // below this router's.
  void on_rival(const Claim& claim);
  // Records that two processes use the member's name.
  void raise_conflict(std::size_t member);
  // Ends conflicts that were not confirmed recently.
  void expire_conflicts();

 private:
  enum class InstanceHistory { superseded_before, first_seen };

  InstanceHistory supersede(MemberRecord& record, std::uint32_t old_instance, std::uint32_t new_instance);
  void on_superseded_instance_returned(std::size_t member);
  void report_restart(std::size_t member, const Identity& before, const Identity& after);
  void report_local_recovery(const Identity& known);
  std::deque<Rival>::iterator find_rival(std::uint32_t instance_id);

  SwimState& state_;
  Time now_;
};

}  // namespace thornwick::membership
