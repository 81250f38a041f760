// Reads and writes traces: the recorded requests of a day, one JSON object on each line. `thornwick load`
// replays and writes traces (docs/experiments.md).
#pragma once

#include <string>
#include <vector>

#include "emulator/day.hpp"

namespace thornwick::tools {

// Returns the requests of the trace. Throws FileError if the file cannot be read, and FileError with the line
// number if a line is malformed, is earlier than the line before, has impossible times or lengths, or does
// not fit the scenario's classes and members.
std::vector<emulator::PlannedRequest> read_trace(const std::string& path, const emulator::Scenario& scenario);

// Writes a trace. Throws FileError if the file cannot be written.
void write_trace(const std::string& path, const std::vector<emulator::PlannedRequest>& requests);

}  // namespace thornwick::tools
