// `thornwick lab run`: days of one scenario.
#pragma once

#include <CLI/CLI.hpp>

namespace thornwick::experiments {

// Adds the sub-command. When it was parsed, `status` is the program's exit status: 0, or 1 if a day's counts
// do not add up.
void add_run_command(CLI::App& lab, int& status);

}  // namespace thornwick::experiments
