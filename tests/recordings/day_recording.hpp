// Recordings of emulated days: scenarios, and the digest and some counts of a day that is played with a fixed
// seed.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <ostream>
#include <string>
#include <vector>

#include "emulator/day.hpp"

namespace thornwick::recordings {

// The recorded result of a day.
struct DayRecording {
  std::uint64_t digest = 0;  // of the complete result, without costs and names
  // Some counts of the result, which help to find the cause of a difference.
  std::uint64_t turns = 0;
  std::uint64_t tries = 0;
  std::uint64_t attempts = 0;
  std::uint64_t served = 0;
  std::uint64_t rejected = 0;
  std::uint64_t failed = 0;
  std::uint64_t timed_out = 0;
  std::uint64_t broken = 0;
  std::uint64_t gone = 0;
  std::uint64_t rules_broken = 0;

  bool operator==(const DayRecording&) const = default;
};

std::ostream& operator<<(std::ostream& out, const DayRecording& recording);

// Plays a day, and checks that its totals are consistent.
DayRecording record_day(const emulator::Scenario& scenario, std::uint64_t seed);
std::vector<DayRecording> record_days(const emulator::Scenario& scenario,
                                      std::initializer_list<std::uint64_t> seeds);

// Returns a scenario of examples/lab.
emulator::Scenario example(const std::string& name);

// Return scenarios of 20 seconds.
emulator::Scenario calm_day();
emulator::Scenario lost_zone_day();
emulator::Scenario overload_day();
// A day with all kinds of faults and weighted fair admission.
emulator::Scenario rough_day();
// A day with two replicas that are plain queues, and sizes from a Bounded Pareto distribution.
emulator::Scenario queue_day();

}  // namespace thornwick::recordings
