// `thornwick group play`: real router processes with faults between them, on this machine
// (docs/membership.md).
#pragma once

#include <CLI/CLI.hpp>

namespace thornwick::tools {

// The command sets `status` to its exit status: 0 if all checks passed, 1 if one failed.
void add_group_play(CLI::App& group, int& status);

}  // namespace thornwick::tools
