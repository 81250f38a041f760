// `thornwick lab`: experiments on emulated days (docs/experiments.md).
#pragma once

#include <CLI/CLI.hpp>

namespace thornwick::experiments {

// Adds the command with its sub-commands. When a sub-command was parsed, `status` is the program's exit
// status. Errors of scenarios (settings::InvalidFile) and of experiments (ExperimentError) leave the parsing
// as exceptions.
CLI::App* add_command(CLI::App& app, int& status);

}  // namespace thornwick::experiments
