// [messages], [targets] and [flows]: the second front, the dialects of replicas, and flow records.
#include <limits>

#include "config/operator_sections.hpp"

namespace thornwick::config {
namespace {

void read_messages(const toml::table* table, OperatorFile& into, settings::Errors& errors) {
  settings::Section section(table, "messages", errors);
  section.text("listen", into.messages_listen);
}

void read_targets(const toml::table* table, OperatorFile& into, settings::Errors& errors) {
  settings::Section section(table, "targets", errors);
  section.text("dialect", into.target_dialect);
  section.texts("named", into.targets);
}

void read_flows(const toml::table* table, OperatorFile& into, settings::Errors& errors) {
  settings::Section section(table, "flows", errors);
  section.text("collector", into.flow_collector);
  section.count("domain", into.flow_domain, 0, std::numeric_limits<std::uint32_t>::max());
}

}  // namespace

void read_fronts(settings::Root& file, OperatorFile& into, settings::Errors& errors) {
  read_messages(file.table("messages"), into, errors);
  read_targets(file.table("targets"), into, errors);
  read_flows(file.table("flows"), into, errors);
}

}  // namespace thornwick::config
