// `thornwick lab sweep`, `compare` and `report`: grids of settings and policies, and their results file.
#pragma once

#include <CLI/CLI.hpp>

namespace thornwick::experiments {

// Adds the sub-commands; when one was parsed, `status` is the program's.
void add_grid_commands(CLI::App& lab, int& status);

}  // namespace thornwick::experiments
