// Fault scripts for the fault-injection harness. A script is read from a file or drawn from a seed, and
// played on router processes.
#pragma once

#include <string>
#include <vector>

#include "testbed/fault_harness.hpp"

namespace thornwick::testbed {

enum class ScriptedFaultKind {
  kill,
  start,
  stop,
  resume,
  terminate,
  clock,
  link_faults,
  half_close,
  reset,
  isolate,
  rejoin,
  split_halves,
  cut_pair,
  flap,
  drain,
  replica,
  heal
};

struct ScriptedFault {
  double at_s = 0;
  ScriptedFaultKind kind = ScriptedFaultKind::heal;
  std::vector<std::size_t> from,
      to;  // numbers of routers, or of replicas for `drain` and `replica`; an empty `to` means all other
           // routers
  bool both_ways = false;  // the fault applies to both directions
  DiskState disk = DiskState::kept;
  LinkFaults link_faults;
  double seconds =
      0;  // duration of stop, isolate, split_halves, cut_pair, flap, drain and replica; 0: no automatic end
  double ahead_ms = 0, rate = 1;  // of `clock`
};

struct FaultScript {
  std::size_t routers = 3, sites = 1;
  double seconds = 10, period_s = 0.3, rate = 5;
  std::uint64_t seed = 1;
  std::string
      scenario;  // scenario file of replicas and classes, relative to the script; empty: the caller gives one
  std::vector<ScriptedFault> faults;  // in order of time
};

// Throws settings::InvalidFile, with one line that names file, line and key for each error.
FaultScript read_fault_script(const std::string& path);
FaultScript random_fault_script(std::uint64_t seed, double seconds, std::size_t min_routers,
                                std::size_t max_routers);
std::string describe(const ScriptedFault& fault);

struct FaultScriptResult {
  std::string violation;  // the first violation; empty if there is none
  FaultHarness::Metrics metrics;
};
// Takes sizes, times and the seed from the script; the caller sets program, folder, scenario and `write_log`.
FaultScriptResult play(const FaultScript& script, FaultHarnessOptions options);

}  // namespace thornwick::testbed
