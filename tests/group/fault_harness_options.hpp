// Options of a fault-injection harness that runs the program under test with the demo's replicas, in a folder
// that the test removes.
#pragma once

#include <string>

#include "testbed/fault_harness.hpp"

namespace thornwick::testing {

inline testbed::FaultHarnessOptions rig_options(const std::string& folder) {
  testbed::FaultHarnessOptions options;
  options.program = THORNWICK;
  options.folder = folder;
  options.scenario = std::string(THORNWICK_EXAMPLES) + "/lab/demo.toml";
  return options;
}
// The same, with a log that appends a line to `timeline` for each event.
inline testbed::FaultHarnessOptions rig_options(const std::string& folder, std::string& timeline) {
  auto options = rig_options(folder);
  options.write_log = [&timeline](double at, const std::string& what) {
    timeline += std::to_string(at) + "  " + what + "\n";
  };
  return options;
}

}  // namespace thornwick::testing
