// `thornwick load`: open-loop clients that send a scenario's requests to routers (docs/experiments.md).
#pragma once

#include <CLI/CLI.hpp>

namespace thornwick::tools {

// The command sets `status` to its exit status: 0 if all requests were answered, 1 if some were not.
CLI::App* add_load(CLI::App& app, int& status);

}  // namespace thornwick::tools
