#include "node/charge_log.hpp"

#include <cstddef>
#include <vector>

#include "logging/log.hpp"

namespace thornwick::node {
namespace {

// Returns the name at `index`, or the index in digits if the settings have no name for it.
std::string name_at(const std::vector<std::string>& names, std::size_t index) {
  return index < names.size() ? names[index] : std::to_string(index);
}

}  // namespace

void log_charge(const budgets::Charge& charge, const config::Config& config, const std::string& replica_uid) {
  using logging::field;
  const auto& subject = charge.subject;
  logging::info("charge").with("request_number", charge.request_id).with("attempt", charge.attempt + 1)
      << "member=" << field("member", name_at(config.names.tenants, subject.member))
      << " class=" << field("class", name_at(config.names.classes, subject.priority_class))
      << " model=" << field("model", config.operator_file.catalogue.name_of(subject.model))
      << " replica=" << field("replica", replica_uid) << " prompt=" << field("prompt", charge.tokens.prompt)
      << " cached=" << field("cached", charge.tokens.cached)
      << " generated=" << field("generated", charge.tokens.generated)
      << " cost_millitokens=" << field("cost_millitokens", charge.units)
      << " counted_by=" << field("counted_by", charge.tokens.reported ? "usage" : "rule");
}

}  // namespace thornwick::node
