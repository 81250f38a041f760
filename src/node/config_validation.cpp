#include "node/config_validation.hpp"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <map>
#include <memory>
#include <vector>

#include "net/handover.hpp"
#include "net/loop.hpp"
#include "net/unix_socket.hpp"

namespace thornwick::node {
namespace {

// The affinity table may take the memory limit divided by this, unless the operator's file sets its size.
constexpr std::size_t kAffinityMemoryDivisor = 16;

// Collects errors of the operator's file, one line for each: "FILE:LINE: KEY: DESCRIPTION".
class ErrorLines {
 public:
  explicit ErrorLines(const std::string& path) : path_(path) {}

  void add(std::uint32_t line, const std::string& text) {
    if (!lines_.empty()) lines_ += "\n";
    lines_ += path_ + ":" + std::to_string(line) + ": " + text;
  }
  void throw_if_any() const {
    if (!lines_.empty()) throw config::BadConfig(lines_);
  }

 private:
  const std::string& path_;
  std::string lines_;
};

// Returns the index of a budget's member or class in `names`, or a special value if `name` is "each" or
// "all". If the settings do not have the name, adds an error, and the result must not be used.
std::uint16_t subject_number(const config::BudgetEntry& entry, const std::string& key,
                             const std::string& name, const std::vector<std::string>& names,
                             ErrorLines& errors) {
  if (name == "each") return budgets::kSeparateAccounts;
  if (name == "all") return budgets::kSharedAccount;
  const auto found = std::find(names.begin(), names.end(), name);
  if (found == names.end()) errors.add(entry.line, "budget." + key + ": the settings have no '" + name + "'");
  return static_cast<std::uint16_t>(found - names.begin());
}

std::uint16_t model_number(const std::string& name, const models::Catalogue& catalogue) {
  if (name == "each") return budgets::kSeparateAccounts;
  if (name == "all") return budgets::kSharedAccount;
  return catalogue.find(name);
}

budgets::Units units_of(double tokens) {
  return static_cast<budgets::Units>(std::llround(tokens)) * budgets::kUnitsPerToken;
}

budgets::LimitRule rule_of(const config::BudgetEntry& entry) {
  using budgets::LimitKind;
  static const std::map<std::string, LimitKind> kinds = {{"second", LimitKind::bucket},
                                                         {"minute", LimitKind::minute},
                                                         {"hour", LimitKind::hour},
                                                         {"day", LimitKind::day}};
  budgets::LimitRule rule;
  rule.kind = kinds.at(entry.period);
  const bool is_bucket = rule.kind == LimitKind::bucket;
  rule.per_s = is_bucket ? units_of(entry.tokens) : 0;
  rule.amount = units_of(is_bucket && entry.burst > 0 ? entry.burst : entry.tokens);
  return rule;
}

budgets::Budget budget_of(const config::BudgetEntry& entry, const config::Config& config,
                          ErrorLines& errors) {
  budgets::Budget budget;
  budget.name = entry.name;
  budget.member = subject_number(entry, "member", entry.tenant, config.names.tenants, errors);
  budget.priority_class = subject_number(entry, "class", entry.priority_class, config.names.classes, errors);
  budget.model = model_number(entry.model, config.operator_file.catalogue);
  budget.hard = entry.hard;
  budget.rule = rule_of(entry);
  return budget;
}

// Throws BadConfig if `address`, the value of the configuration's `key`, is not an address.
void check_address(const std::string& key, const std::string& address) {
  if (net::parse_address(address)) return;
  throw config::BadConfig("configuration: " + key + " is not an address: " + address);
}

}  // namespace

const fronts::Dialect& find_dialect_or_throw(const std::string& name) {
  const auto* found = fronts::find_dialect(name);
  if (found == nullptr) throw config::BadConfig("operator's file: no such dialect: " + name);
  return *found;
}

affinity::Options affinity_options(const config::Config& config) {
  static const std::map<std::string, affinity::Eviction> evictions = {
      {"lru", affinity::Eviction::lru},
      {"segmented", affinity::Eviction::segmented},
      {"tinylfu", affinity::Eviction::tinylfu}};
  const config::AffinityFile& file = config.operator_file.affinity;
  affinity::Options options;
  options.table.entries = file.max_entries;
  options.table.bytes = file.max_memory_bytes > 0
                            ? file.max_memory_bytes
                            : config.limits.memory_mb * 1024 * 1024 / kAffinityMemoryDivisor;
  options.table.eviction = evictions.at(file.eviction);
  options.table.seed = config.settings.seed;
  options.max_replicas = file.max_replicas;
  options.lifetime = static_cast<Time>(file.lifetime_s * 1e6);
  options.answers_per_false_alarm = file.answers_per_false_alarm;
  return options;
}

budgets::Options budget_options(const config::Config& config) {
  const config::BudgetsFile& file = config.operator_file.budgets;
  budgets::Options options;
  options.members = config.names.tenants;
  options.classes = config.names.classes;
  options.models = config.operator_file.catalogue.names();
  options.router_index = config.settings.rank + 1;
  options.router_count = std::max(config.settings.group_size, options.router_index);
  if (config.operator_file.replication.enabled) {
    // Replicated budgets are granted from the full limits, so the limits are not split among the routers.
    options.router_index = 1;
    options.router_count = 1;
  }
  options.block_fraction = file.block_fraction;
  options.soft_limit_weight = file.soft_limit_weight;
  options.max_accounts = file.max_accounts;
  ErrorLines errors(config.operator_file.path);
  for (const auto& entry : file.budgets) options.budgets.push_back(budget_of(entry, config, errors));
  errors.throw_if_any();
  return options;
}

Membership membership_of(const config::Config& config) {
  const config::GroupFile& file = config.operator_file.group;
  ErrorLines errors(config.operator_file.path);
  for (const auto& router : file.routers) {
    if (!net::parse_address(router.address))
      errors.add(router.line, "router.address: not an address: '" + router.address + "'");
  }
  if (!file.listen.empty() && !net::parse_address(file.listen))
    errors.add(file.line, "group.listen: not an address: " + file.listen);
  if (!file.status_socket.empty() && !net::fits_unix_socket(file.status_socket))
    errors.add(file.line, "group.status: the path is too long for a local socket");
  Membership membership;
  membership.roster = std::make_shared<membership::Roster>(file.name, file.sites, file.routers);
  const std::string& local_name = file.local_router.empty() ? config.name : file.local_router;
  membership.self = membership.roster->find(local_name);
  if (membership.self == membership.roster->size())
    errors.add(file.line, "group.self: no router is called '" + local_name + "', as this one is");
  errors.throw_if_any();
  return membership;
}

std::string handover_path(const config::Config& config) {
  const char* folder = config.listeners.operators.empty() ? nullptr : std::getenv("TMPDIR");
  return net::handover_path(folder == nullptr ? "" : folder, config.name, config.listeners.requests);
}

void check_config(const config::Config& config) {
  budget_options(config);
  if (!config.operator_file.group.name.empty()) membership_of(config);
  find_dialect_or_throw(config.operator_file.target_dialect);
  for (const auto& [uid, name] : config.operator_file.targets) find_dialect_or_throw(name);
  check_address("listen", config.listeners.requests);
  check_address("discovery", config.discovery.address);
  if (!config.listeners.operators.empty()) check_address("ops", config.listeners.operators);
  // The constructor of the routing policy checks the settings.
  [[maybe_unused]] const RoutingPolicy policy(config.settings, 0);
}

}  // namespace thornwick::node
