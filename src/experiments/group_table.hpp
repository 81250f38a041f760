// How fast a group of routers detects failures, how often it is wrong, and what that costs, measured in
// virtual time: a row for each size, loss and way (kind of failure detector). The seed determines every
// figure.
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
  double detection_p50_s = 0;  // from a kill until another router calls the member gone, over all of these
  double detection_p99_s = 0;
  std::size_t undetected_failures = 0;  // routers that did not within ten minutes
  double false_failures_per_h = 0;  // of the whole group: a running, reachable router called gone by another
  double false_suspicions_per_h = 0;  // suspicions of such a router that its first accuser announced
  double messages_per_s = 0;          // sent by a router while nothing changes
  double bytes_per_s = 0;
  double agreement_time_s = 0;  // after a partition into halves healed; negative: not within ten minutes
};

struct GroupTableOptions {
  std::vector<std::size_t> routers = {3, 9, 50, 300};
  std::vector<double> losses = {0, 0.1, 0.3};
  std::vector<std::string> detectors = {"measured", "plain", "lifeguard"};
  double calm_s = 3600;    // without faults, for false alarms and cost
  std::size_t kills = 10;  // one after the other
  std::uint64_t seed = 1;
};

// "measured": adaptive to the measured loss; "plain": SWIM; "lifeguard": SWIM with Lifeguard's extensions.
// Throws std::invalid_argument for any other way.
membership::Options detector_options(const std::string& detector);
// Throws as detector_options().
GroupRow measure_group(const std::string& detector, std::size_t routers, double loss,
                       const GroupTableOptions& options);
// A table with a header line.
std::string print_group_rows(const std::vector<GroupRow>& rows);

}  // namespace thornwick::experiments
