// Loses machines with their disks, drawn from a seed, in a group of router processes that share a budget.
// Compares the tokens that replicas counted with the limit and the ledger, and the corrections of the ledger
// with those that were confirmed to operators.
#pragma once

#include <string>

#include "testbed/fault_harness.hpp"

namespace thornwick::testbed {

struct ReplicationPlayOptions {
  std::uint64_t seed = 1;
  std::size_t routers = 3, sites = 3, replicas = 3;
  double tokens = 9000;      // budget of the day for all members together
  bool other_faults = true;  // false: machines are lost, and no other fault happens
  bool lose_site =
      false;  // a whole site is lost, instead of as many machines as the ledger replicas tolerate
};

struct ReplicationPlayResult {
  std::string violation;  // the first violation; empty if there is none
  std::size_t kills = 0, corrections = 0, confirmed = 0, served = 0, rejected = 0;
  double tokens = 0,
         limit =
             0;  // tokens that the replicas counted; limit of all windows that were open, with corrections
  double filled_after_s = 0,
         leader_after_s = 0;  // the longest times: from a start with a new disk until all ledger replicas
                              // vote; from a loss until replicas have counted 60 more tokens
};

// The caller sets program, folder, scenario and `write_log`.
ReplicationPlayResult play_machine_losses(const ReplicationPlayOptions& script, FaultHarnessOptions options);

}  // namespace thornwick::testbed
