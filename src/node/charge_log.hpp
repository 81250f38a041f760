// The log line of each charge on a budget, which operators may ask for (`charges` in the operator's file).
#pragma once

#include <string>

#include "budgets/accounts.hpp"
#include "budgets/admission_controller.hpp"
#include "config/config.hpp"

namespace thornwick::node {

// `config` names members, classes and models; `replica_uid` is of the replica that served.
void log_charge(const budgets::Charge& charge, const config::Config& config, const std::string& replica_uid);

}  // namespace thornwick::node
