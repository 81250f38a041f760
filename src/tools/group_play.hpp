// `thornwick group play`: real router processes with faults between them, on this machine
// (docs/membership.md).
#pragma once

#include <CLI/CLI.hpp>

namespace thornwick::tools {

// `status` becomes the exit status: 0 all that has to hold held, 1 something did not.
void add_group_play(CLI::App& group, int& status);

}  // namespace thornwick::tools
