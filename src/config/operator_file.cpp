#include "config/operator_file.hpp"

#include "config/operator_sections.hpp"
#include "settings/file.hpp"

namespace thornwick::config {
namespace {

void read_tables(const toml::table& root, OperatorFile& file, settings::Errors& errors) {
  settings::Root tables(root, errors);
  read_fronts(tables, file, errors);
  read_affinity(tables, file.affinity, errors);
  read_store(tables, file.store, errors);
  read_catalogue(tables, file.catalogue, errors);
  read_budgets(tables, file.budgets, file.catalogue, errors);
  read_group(tables, file.group, errors);
  read_replication(tables, file.replication, file.group, errors);
}

}  // namespace

bool OperatorFile::can_reload(const OperatorFile& other) const {
  const bool same_fronts = messages_listen == other.messages_listen &&
                           target_dialect == other.target_dialect && targets == other.targets &&
                           flow_collector == other.flow_collector && flow_domain == other.flow_domain;
  const bool same_budgets = budgets.fair_admission == other.budgets.fair_admission &&
                            budgets.budgets.empty() == other.budgets.budgets.empty();
  return same_fronts && same_budgets && affinity == other.affinity && store == other.store &&
         catalogue.empty() == other.catalogue.empty() && group == other.group &&
         replication == other.replication;
}

OperatorFile read_operator_file(const std::string& path) {
  OperatorFile file;
  if (path.empty()) return file;
  file.path = path;
  try {
    settings::read_file(
        path, [&](const toml::table& root, settings::Errors& errors) { read_tables(root, file, errors); });
  } catch (const settings::InvalidFile& error) {
    throw BadConfig(error.what());
  }
  return file;
}

}  // namespace thornwick::config
