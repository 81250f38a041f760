// `thornwick lab sweep`, `compare` and `report`: grids of settings and policies, and their results file.
#pragma once

#include <CLI/CLI.hpp>

namespace thornwick::experiments {

// Adds the sub-commands. When one was parsed, `status` is the program's exit status.
void add_grid_commands(CLI::App& lab, int& status);

}  // namespace thornwick::experiments
