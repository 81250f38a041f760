// This router's view of a member of its group, for other modules. Plain data; no I/O.
#pragma once

#include <cstdint>
#include <vector>

#include "membership/message.hpp"
#include "thornwick/routing_policy.hpp"

namespace thornwick::membership {

// The state of a member, as this router judges it.
enum class MemberState : std::uint8_t {
  unknown,    // sent no message since this process started
  alive,      // answers probes, or announced itself that it runs
  suspected,  // does not answer; further probes decide whether it has failed
  failed,     // does not answer, and message loss is too unlikely an explanation
  leaving,    // announced its shutdown
  left        // announced its shutdown, and no longer answers
};
// The name in status output and logs: "silent" for unknown, "gone" for failed, otherwise the enumerator's
// name.
const char* name_of(MemberState state);

// The state of the disk with which a member restarted, compared with the previous process of its name.
enum class RecoveryState : std::uint8_t {
  no_predecessor,  // no earlier process is known
  same_disk,
  new_disk,   // all records of the earlier process are lost
  older_disk  // an older copy of the same disk: the records written after that copy are lost
};
// The name in status output and logs: "first", "kept", "empty" or "older", in the order of the enumerators.
const char* name_of(RecoveryState recovery);

// This router's view of one member.
struct MemberView {
  MemberState state = MemberState::unknown;
  Identity identity;
  std::uint64_t incarnation = 0;
  RecoveryState recovery = RecoveryState::no_predecessor;
  Time state_since = 0;     // time of the last change of `state`
  Time last_answer_at = 0;  // last answer to a probe of this router, direct or through a helper; 0: never
  bool answered_directly = false;                      // the last answer came from the member itself
  double round_trip_us = 0;                            // microseconds, smoothed; 0: not known
  bool name_conflict = false;                          // two processes use its name
  std::uint32_t restart_count = 0;                     // restarts of the member since this process started
  std::uint16_t suspension_count = 0;                  // suspensions that the member's process has detected
  std::uint16_t last_suspension_s = 0;                 // duration of the last of them, in seconds
  std::vector<std::uint8_t> reported_running_by_site;  // by site, the counts in the member's latest message
};

}  // namespace thornwick::membership
