// Fault scripts that are drawn from a seed and run on a group in virtual time. Three checks must hold: no
// reachable member is reported as failed, no router knows an incarnation that its owner never had, and all
// routers agree once the faults are over.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "emulator/group.hpp"

namespace thornwick::emulator {

enum class GroupFaultKind {
  // Faults of the process of `router`.
  kill,
  start_same_disk,
  start_empty_disk,
  start_older_disk,
  suspend,
  resume,
  shut_down,
  // Faults of the network.
  cut_one_way,        // messages from `router` to `peer` are lost
  isolate,            // `router` is cut off from all others
  split_into_halves,  // the first half of the routers is cut off from the second
  cut_pair,           // `router` and `peer` are cut off from each other
  heal_all,           // all cuts end
  // Datagrams are lost with probability `amount`, repeated with half of it, and delayed in proportion.
  network
};

struct GroupFault {
  Time at = 0;
  GroupFaultKind kind = GroupFaultKind::heal_all;
  std::size_t router = 0;
  std::size_t peer = 0;
  double amount = 0;  // for `network`: probability that a datagram is lost
};
// Returns a description of the fault for one line of a log.
std::string describe(const GroupFault& fault);

struct GroupScript {
  GroupOptions options;
  std::vector<GroupFault> faults;  // in the order of their times
  Time ends = 0;                   // time at which all faults end and every process is started
};

// Draws a script with 3 to 9 routers over 1 to 3 sites, and 4 to 16 faults in two minutes.
GroupScript random_script(std::uint64_t seed);

struct GroupScriptResult {
  std::string violation;    // the first check that failed; empty if none did
  Time agreement_time = 0;  // microseconds from the end of all faults until all routers agreed
  std::size_t faults = 0;
  std::size_t failure_reports = 0;  // number of times that a router reported another one as failed
};

// Runs a script, ends all faults, and waits until the routers agree. Calls `write_log` with a line for each
// fault and each change that a router reports.
GroupScriptResult play_script(
    const GroupScript& script, const std::function<void(const std::string&)>& write_log = [](auto&) {});

}  // namespace thornwick::emulator
