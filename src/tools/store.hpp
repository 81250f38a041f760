// `thornwick store` and `thornwick affinity`: check, print and compact a store's file. Results go to standard
// output, one JSON object on each line; progress goes to standard error.
#pragma once

#include <CLI/CLI.hpp>
#include <vector>

namespace thornwick::tools {

// Adds both commands. The command that runs sets `status` to its exit status, or throws CommandError
// (`failure`) if the file is damaged or cannot be used.
std::vector<CLI::App*> add_store_commands(CLI::App& app, int& status);

}  // namespace thornwick::tools
