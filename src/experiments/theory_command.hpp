// `thornwick lab theory`: the emulator against closed forms of queueing theory.
#pragma once

#include <CLI/CLI.hpp>

namespace thornwick::experiments {

// Adds the sub-command. When it was parsed, `status` is the program's exit status.
void add_theory_command(CLI::App& lab, int& status);

}  // namespace thornwick::experiments
