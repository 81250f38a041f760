// Fault scripts for the rig: read from a file, or drawn from a seed, and played on real processes.
#pragma once

#include <string>
#include <vector>

#include "testbed/fault_harness.hpp"

namespace thornwick::testbed {

enum class ScriptedFaultKind {
  kill,
  start,
  stop,
  go,
  end,
  clock,
  network,
  half_close,
  reset,
  isolate,
  join,
  halves,
  bridge,
  flap,
  drain,
  replica,
  heal
};

struct ScriptedFault {
  double at_s = 0;
  ScriptedFaultKind kind = ScriptedFaultKind::heal;
  std::vector<std::size_t> from,
      to;             // routers, or replicas for `drain` and `replica`; `to` empty: all others
  bool both = false;  // ways
  DiskState disk = DiskState::kept;
  LinkFaults wire;
  double seconds =
      0;  // stop, isolate, halves, bridge, flap, drain, replica: until it is over by itself; 0: it is not
  double ahead_ms = 0, rate = 1;  // clock
};

struct FaultScript {
  std::size_t routers = 3, sites = 1;
  double seconds = 10, period_s = 0.3, rate = 5;
  std::uint64_t seed = 1;
  std::string scenario;  // of replicas and classes, beside the script; empty: whoever plays it says
  std::vector<ScriptedFault> faults;  // by time
};

// Throws settings::InvalidFile with one line for each error: file, line, key.
FaultScript read_fault_script(const std::string& path);
FaultScript random_fault_script(std::uint64_t seed, double seconds, std::size_t least_routers,
                                std::size_t most_routers);
std::string describe(const ScriptedFault& fault);

struct FaultScriptResult {
  std::string violation;  // the first thing that did not hold
  FaultHarness::Metrics metrics;
};
// The script's sizes and seed are taken; program, folder, scenario and `say` are the caller's.
FaultScriptResult play(const FaultScript& script, FaultHarnessOptions options);

}  // namespace thornwick::testbed
