// `thornwick group play`: runs real router processes on this machine, with faults between them
// (docs/membership.md).
#pragma once

#include <CLI/CLI.hpp>

namespace thornwick::tools {

// Adds the command, which sets `status` to its exit status: 0 if all checks passed, 1 if one failed.
void add_group_play(CLI::App& group, int& status);

}  // namespace thornwick::tools
