// `thornwick copies`: commands on the replicated ledgers of a running router and on their file, and fault
// trials of ledgers with real processes and in virtual time.
#pragma once

#include <CLI/CLI.hpp>
#include <string>

namespace thornwick::tools {

// Adds the command, which sets `status` to its exit status. `operator_file` is the path of the operator's
// file; the reference is read after the command line is parsed.
CLI::App* add_copies(CLI::App& app, int& status, const std::string& operator_file);

}  // namespace thornwick::tools
