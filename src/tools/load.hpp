// `thornwick load`: runs open-loop clients that send the requests of a scenario to routers
// (docs/experiments.md).
#pragma once

#include <CLI/CLI.hpp>

namespace thornwick::tools {

// Adds the command, which sets `status` to its exit status: 0 if all requests were answered, 1 if some were
// not.
CLI::App* add_load(CLI::App& app, int& status);

}  // namespace thornwick::tools
