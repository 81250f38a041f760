// From a configuration to the options of a router's parts, and whether the configuration makes sense as a
// whole. What a file says by itself is checked as it is read (config/); here come names and addresses that
// have to fit other parts.
#pragma once

#include <memory>
#include <string>

#include "affinity/affinity_table.hpp"
#include "budgets/accounts.hpp"
#include "config/config.hpp"
#include "fronts/dialect.hpp"
#include "membership/roster.hpp"

namespace thornwick::node {

// The dialect of that name; throws BadConfig.
const fronts::Dialect& dialect_named(const std::string& name);

// The affinity table's size, eviction and lifetimes.
affinity::Options affinity_options(const config::Config& config);

// Budgets with the numbers of the settings' names in place of the names. Throws BadConfig, a line for each
// name that the settings do not have.
budgets::Options budget_options(const config::Config& config);

// The group's routers, and this router's place among them.
struct Membership {
  std::shared_ptr<const membership::Roster> roster;
  std::size_t self = 0;
};
// Throws BadConfig, a line for each thing that is wrong: this router's own name is absent, an address is
// none, a path is too long.
Membership membership_of(const config::Config& config);

// The Unix socket at which this router's processes replace each other; empty where there is no admin
// endpoint, or no folder ($TMPDIR) for it.
std::string handover_path(const config::Config& config);

// All checks above, addresses, dialects, and those of the routing policy's settings. Throws BadConfig, or
// what the routing policy throws.
void check_config(const config::Config& config);

}  // namespace thornwick::node
