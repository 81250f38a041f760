// The tables of the operator's file: one function and one file for each group of tables.
//
// Each function reads its tables from `file` and adds an error for each wrong value. A table that the file
// does not have leaves the defaults. Internal to the module.
#pragma once

#include <utility>

#include "config/operator_file.hpp"
#include "settings/section.hpp"

namespace thornwick::config {

// [messages], [targets] and [flows].
void read_fronts(settings::Root& file, OperatorFile& into, settings::Errors& errors);
// [affinity].
void read_affinity(settings::Root& file, AffinityFile& into, settings::Errors& errors);
// [store].
void read_store(settings::Root& file, StoreFile& into, settings::Errors& errors);
// [models], [[model]] and [[alias]].
void read_catalogue(settings::Root& file, models::Catalogue& into, settings::Errors& errors);
// [budgets] and [[budget]]. The models that budgets name have to be in `catalogue`.
void read_budgets(settings::Root& file, BudgetsFile& into, const models::Catalogue& catalogue,
                  settings::Errors& errors);
// [group] and [[router]].
void read_group(settings::Root& file, GroupFile& into, settings::Errors& errors);
// [copies]. Replication needs `group`.
void read_replication(settings::Root& file, ReplicationFile& into, const GroupFile& group,
                      settings::Errors& errors);

// Adds the faults that another module has found in the values of several tables.
template <typename Faults>
void add_faults(Faults faults, settings::Errors& errors) {
  for (auto& fault : faults) {
    errors.push_back(
        {.code = settings::ErrorCode::rejected, .line = fault.line, .detail = std::move(fault.text)});
  }
}

}  // namespace thornwick::config
