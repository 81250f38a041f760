// `thornwick budgets ...`: shows and changes the accounts of budgets, in a store's file or at a running
// router. Results go to standard output, one JSON object a line.
#pragma once

#include <CLI/CLI.hpp>

namespace thornwick::tools {

// Sets `status` to the exit status. A command that fails throws CommandError: `failure` if the store's file
// cannot be used or has no such account, or the router rejects the command; `outcome_unknown` if it is not
// known whether the router has carried it out.
CLI::App* add_budgets(CLI::App& app, int& status);

}  // namespace thornwick::tools
