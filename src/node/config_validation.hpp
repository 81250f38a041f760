// Converts a configuration to the options of a router's modules, and validates the configuration as a whole.
// Each file by itself is validated as it is read (config/); here names and addresses are checked that refer
// to other files.
#pragma once

#include <memory>
#include <string>

#include "affinity/affinity_table.hpp"
#include "budgets/accounts.hpp"
#include "config/config.hpp"
#include "fronts/dialect.hpp"
#include "membership/roster.hpp"

namespace thornwick::node {

// Returns the dialect of that name. Throws BadConfig if there is none.
const fronts::Dialect& dialect_named(const std::string& name);

// The affinity table's size, eviction and lifetimes.
affinity::Options affinity_options(const config::Config& config);

// The budgets, with names of members, classes and models replaced by their numbers in the settings. Throws
// BadConfig with one line for each name that the settings do not have.
budgets::Options budget_options(const config::Config& config);

// The routers of the group, and the number of this router.
struct Membership {
  std::shared_ptr<const membership::Roster> roster;
  std::size_t self = 0;
};
// Throws BadConfig with one line for each error: this router's own name is missing, an address is invalid, a
// path is too long.
Membership membership_of(const config::Config& config);

// The path of the Unix socket for handovers between this router's processes. Empty if there is no admin
// endpoint or no folder for it ($TMPDIR).
std::string handover_path(const config::Config& config);

// Runs all checks above, and those of addresses, dialects and the routing policy's settings. Throws
// BadConfig, or the exception of the routing policy.
void check_config(const config::Config& config);

}  // namespace thornwick::node
