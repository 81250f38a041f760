// `thornwick models`: checks an operator's file and prints its catalogue and budgets. Results go to standard
// output, one JSON object on each line.
#pragma once

#include <CLI/CLI.hpp>

namespace thornwick::tools {

// Adds the command, which sets `status` to 0, or throws BadConfig with one line for each error of the file.
CLI::App* add_models(CLI::App& app, int& status);

}  // namespace thornwick::tools
