// `thornwick group`: the status of a running router's group, and fault trials of groups with real processes
// and in virtual time.
#pragma once

#include <CLI/CLI.hpp>
#include <string>

namespace thornwick::tools {

// The command sets `status` to its exit status. `operator_file`: the path of the operator's file, which has
// its value once the command line is parsed.
CLI::App* add_group(CLI::App& app, int& status, const std::string& operator_file);

}  // namespace thornwick::tools
