// Measurements of failure detectors in virtual time: how fast a group of routers detects failures, how often
// it reports false ones, and how much it sends. There is a row for each size, loss and kind of failure
// detector. The seed determines every value.
#pragma once

#include <string>
#include <vector>

#include "emulator/group.hpp"

namespace thornwick::experiments {

struct GroupRow {
  std::string detector;  // see detector_options()
  std::size_t routers = 0;
  double loss = 0;
  std::size_t kills = 0;
  // Quantiles of the time from a kill until another router has the member as failed, over all other routers.
  double detection_p50_s = 0;
  double detection_p99_s = 0;
  std::size_t undetected_failures = 0;  // number of routers that did not detect a kill within ten minutes
  double false_failures_per_h = 0;      // of the whole group: reports of running, reachable routers as failed
  double false_suspicions_per_h = 0;    // suspicions of such routers, counted at the first accuser
  double messages_per_s = 0;            // messages that a router sends while nothing changes
  double bytes_per_s = 0;
  double agreement_time_s = 0;  // time to agree after a partition into halves; negative: over ten minutes
};

struct GroupTableOptions {
  std::vector<std::size_t> routers = {3, 9, 50, 300};
  std::vector<double> losses = {0, 0.1, 0.3};
  std::vector<std::string> detectors = {"measured", "plain", "lifeguard"};
  double calm_s = 3600;    // duration without faults, in which false reports and messages are counted
  std::size_t kills = 10;  // number of kills, one after the other
  std::uint64_t seed = 1;
};

// Returns the options of a failure detector. "measured" adapts to the measured loss, "plain" is SWIM,
// "lifeguard" is SWIM with Lifeguard's extensions. Throws ExperimentError(bad_arguments) for any other name.
membership::Options detector_options(const std::string& detector);
// Measures one row. Throws the errors of detector_options().
GroupRow measure_group(const std::string& detector, std::size_t routers, double loss,
                       const GroupTableOptions& options);
// Returns the rows as a table with a header line.
std::string print_group_rows(const std::vector<GroupRow>& rows);

}  // namespace thornwick::experiments
