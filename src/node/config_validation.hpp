// Converts a configuration to the options of the router's modules, and validates names and addresses across
// the configuration's files. Checks of a single file are made when the file is read (config/).
#pragma once

#include <memory>
#include <string>

#include "affinity/affinity_table.hpp"
#include "budgets/accounts.hpp"
#include "config/config.hpp"
#include "fronts/dialect.hpp"
#include "membership/roster.hpp"

namespace thornwick::node {

// Returns the dialect called `name`. Throws BadConfig if there is none.
const fronts::Dialect& find_dialect_or_throw(const std::string& name);

// Returns the options of the affinity table: size, eviction policy and lifetimes.
affinity::Options affinity_options(const config::Config& config);

// Returns the options of the budgets, with names of members, classes and models replaced by their indices in
// the settings. Throws BadConfig with one line for each name that the settings do not have.
budgets::Options budget_options(const config::Config& config);

// The routers of the group, and the index of this router among them.
struct Membership {
  std::shared_ptr<const membership::Roster> roster;
  std::size_t self = 0;
};
// Returns the membership that the configuration describes. Throws BadConfig with one line for each error: an
// address is invalid, the path of the status socket is too long, or no router has this router's name.
Membership membership_of(const config::Config& config);

// Returns the path of the Unix socket for handovers between processes of this router. The path is empty if
// the router has no admin endpoint, or $TMPDIR, the folder of the socket, is not set.
std::string handover_path(const config::Config& config);

// Checks budgets, group, dialects, addresses and the settings of the routing policy. Throws BadConfig, or the
// exception of the routing policy.
void check_config(const config::Config& config);

}  // namespace thornwick::node
