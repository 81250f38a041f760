// Losses of machines with their disks, drawn from a seed and played on real processes that share budgets:
// what replicas tallied is held against the limit and the group's books, and operators' corrections against
// what they were told.
#pragma once

#include <string>

#include "testbed/fault_harness.hpp"

namespace thornwick::testbed {

struct ReplicationPlayOptions {
  std::uint64_t seed = 1;
  std::size_t routers = 3, sites = 3, replicas = 3;
  double tokens = 9000;      // the day's, of all members together
  bool other_faults = true;  // else machines are lost, and nothing else happens
  bool lose_site = false;    // a whole site is lost, instead of as many machines as the copies bear
};

struct ReplicationPlayResult {
  std::string violation;  // the first thing that did not hold
  std::size_t kills = 0, corrections = 0, confirmed = 0, served = 0, rejected = 0;
  double tokens = 0, limit = 0;  // as the replicas tallied; of all windows that were open, with corrections
  double filled_after_s = 0,
         leader_after_s = 0;  // the longest: from an empty start to a vote; from a loss to a grant by another
};

// Program, folder, scenario and `say` are the caller's.
ReplicationPlayResult play_machine_losses(const ReplicationPlayOptions& script, FaultHarnessOptions options);

}  // namespace thornwick::testbed
