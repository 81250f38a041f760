// `thornwick budgets`: shows the accounts of budgets in a store's file, and changes accounts in a store's
// file or at a running router. Results in JSON go to standard output, one object on each line.
#pragma once

#include <CLI/CLI.hpp>

namespace thornwick::tools {

// Adds the command, which sets `status` to its exit status. If the command fails, it throws CommandError:
// `failure` if the store's file cannot be used or has no such account, or the router rejects the command;
// `outcome_unknown` if it is not known whether the router has carried out the command.
CLI::App* add_budgets(CLI::App& app, int& status);

}  // namespace thornwick::tools
