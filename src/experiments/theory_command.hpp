// `thornwick lab theory`: the emulator against closed forms of queueing theory.
#pragma once

#include <CLI/CLI.hpp>

namespace thornwick::experiments {

// Adds the sub-command; when it was parsed, `status` is the program's.
void add_theory_command(CLI::App& lab, int& status);

}  // namespace thornwick::experiments
