// A trace: the recorded requests of a day, one JSON object a line. `thornwick load` replays and writes them
// (docs/experiments.md).
#pragma once

#include <string>
#include <vector>

#include "emulator/day.hpp"

namespace thornwick::tools {

// Throws FileError if the file cannot be read, and FileError with the line's number if a line is malformed,
// is not in the order of time, or does not fit the scenario's classes and members.
std::vector<emulator::PlannedRequest> read_trace(const std::string& path, const emulator::Scenario& scenario);

// Throws FileError if the file cannot be written.
void write_trace(const std::string& path, const std::vector<emulator::PlannedRequest>& requests);

}  // namespace thornwick::tools
