// Logs each charge on a budget, if the operator's file enables these log lines (key `charges`).
#pragma once

#include <string>

#include "budgets/accounts.hpp"
#include "budgets/admission_controller.hpp"
#include "config/config.hpp"

namespace thornwick::node {

// Logs one charge. `config` provides the names of members, classes and models. `replica_uid` is the uid of
// the replica that served the request.
void log_charge(const budgets::Charge& charge, const config::Config& config, const std::string& replica_uid);

}  // namespace thornwick::node
