// Recorded requests of a day, one JSON object a line: what `thornwick load` replays and writes
// (docs/experiments.md).
#pragma once

#include <string>
#include <vector>

#include "emulator/day.hpp"

namespace thornwick::tools {

// Throws std::runtime_error with file and line if the file cannot be read, is not in the order of time, or
// does not fit the scenario's classes and members.
std::vector<emulator::PlannedRequest> read_trace(const std::string& path, const emulator::Scenario& scenario);

// Throws std::runtime_error if the file cannot be written.
void write_trace(const std::string& path, const std::vector<emulator::PlannedRequest>& requests);

}  // namespace thornwick::tools
