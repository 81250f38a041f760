// `thornwick load`: open-loop clients that send a scenario's requests to routers (docs/experiments.md).
#pragma once

#include <CLI/CLI.hpp>

namespace thornwick::tools {

// `status` becomes the exit status: 0 all requests were answered, 1 some were not.
CLI::App* add_load(CLI::App& app, int& status);

}  // namespace thornwick::tools
