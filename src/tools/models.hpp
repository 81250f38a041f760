// `thornwick models ...`: checks and prints the catalogue of an operator's file. Results go to standard
// output, one JSON object a line.
#pragma once

#include <CLI/CLI.hpp>

namespace thornwick::tools {

// The command sets `status` to 0. It throws BadConfig with one line for each error of the file.
CLI::App* add_models(CLI::App& app, int& status);

}  // namespace thornwick::tools
