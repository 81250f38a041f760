// `thornwick lab`: experiments on emulated days (docs/experiments.md).
#pragma once

#include <CLI/CLI.hpp>

namespace thornwick::experiments {

// Adds the sub-command; when it was parsed, `status` is the program's. Errors of scenarios come as
// exceptions.
CLI::App* add_command(CLI::App& app, int& status);

}  // namespace thornwick::experiments
