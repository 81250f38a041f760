// Fault scripts that are drawn from a seed and run on a group in virtual time, and what has to hold: no
// reachable member is reported gone, no router knows an incarnation that its owner never had, and all agree
// once the faults are over.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "emulator/group.hpp"

namespace thornwick::emulator {

enum class GroupFaultKind {
  // Of the process of `router`.
  kill,
  start_same_disk,
  start_empty_disk,
  start_older_disk,
  suspend,
  resume,
  shut_down,
  // Of the network.
  cut_one_way,        // from `router` to `peer`
  isolate,            // `router` from all others
  split_into_halves,  // the first half of the routers from the second
  cut_pair,           // `router` and `peer` from each other
  heal_all,
  network  // loss of `amount`, half as many repeats, and delays to match
};

struct GroupFault {
  Time at = 0;
  GroupFaultKind kind = GroupFaultKind::heal_all;
  std::size_t router = 0;
  std::size_t peer = 0;
  double amount = 0;  // of losses
};
// One line of a log, in words.
std::string describe(const GroupFault& fault);

struct GroupScript {
  GroupOptions options;
  std::vector<GroupFault> faults;  // by time
  Time ends = 0;                   // all faults are ended then, and every process is started
};

// 3 to 9 routers over 1 to 3 sites, 4 to 16 faults in two minutes.
GroupScript random_script(std::uint64_t seed);

// The outcome of a script.
struct GroupScriptResult {
  std::string violation;    // the first check that failed; empty: none
  Time agreement_time = 0;  // microseconds from the end of all faults until all routers agreed
  std::size_t faults = 0;
  std::size_t failure_reports = 0;  // times that a router reported another one gone
};

// Runs a script, and then ends all faults and waits until the routers agree. `write_log` gets a line for each
// fault and each change that a router reports.
GroupScriptResult play_script(
    const GroupScript& script, const std::function<void(const std::string&)>& write_log = [](auto&) {});

}  // namespace thornwick::emulator
