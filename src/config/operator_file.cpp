#include "config/operator_file.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>

#include "settings/section.hpp"

namespace thornwick::config {
namespace {

using settings::Problems, settings::Root, settings::Section;

// A kept token costs what a read one does unless the file says.
void read_price(const toml::table* table, budgets::Price& price, const std::string& name,
                Problems& problems) {
  constexpr double kMost = 1e6;
  Section section(table, name, problems);
  double prompt = 1, made = 1, kept = -1;
  section.number("prompt", prompt, 0, kMost);
  section.number("made", made, 0, kMost);
  section.number("kept", kept, 0, kMost);
  const auto thousandths = [](double value) {
    return static_cast<budgets::Units>(std::llround(value * 1000));
  };
  price = {thousandths(prompt), thousandths(kept < 0 ? prompt : kept), thousandths(made)};
}

void read_fallback(const toml::table* table, const std::string& name, models::Fallback& fallback,
                   Problems& problems) {
  static const std::map<std::string, models::When> reasons = {{"missing", models::When::missing},
                                                              {"overloaded", models::When::overloaded},
                                                              {"over-budget", models::When::over_budget},
                                                              {"too-long", models::When::too_long}};
  Section section(table, name, problems);
  std::vector<std::string> when = {"missing", "overloaded"};
  double left_ms = 0;
  section.text("to", fallback.to);
  section.list("when", when);
  section.number("time_left_ms", left_ms, 0, 3.6e6);
  fallback.least_left = static_cast<Time>(1000 * left_ms);
  fallback.line = section.line();
  for (const auto& reason : when) {
    const auto known = reasons.find(reason);
    if (known == reasons.end()) {
      section.reject("when", "'" + reason + "' is none of: missing, overloaded, over-budget, too-long");
    } else {
      fallback.when |= static_cast<std::uint8_t>(known->second);
    }
  }
}

void read_model(const toml::table* table, models::Model& model, Problems& problems) {
  Section section(table, "model", problems);
  model.line = section.line();
  section.text("name", model.name);
  section.text("base", model.base);
  section.flag("any_name", model.any_name);
  section.number("context", model.context, 0, 1e9);
  section.number("most_answer", model.most_answer, 0, 1e9);
  double loading_s = 0;
  section.number("loading_s", loading_s, 0, 3600);
  model.loading = static_cast<Time>(1e6 * loading_s);
  section.count("least_boxes", model.min_replicas, 1, 100'000);
  section.count("most_boxes", model.max_replicas, 1, 1'000'000);
  {
    Section replicas(section.table("boxes"), "model.boxes", problems);
    replicas.list("models", model.serving.models);
    replicas.list("uids", model.serving.uids);
    replicas.numbers("groups", model.serving.groups);
  }
  read_price(section.table("price"), model.price, "model.price", problems);
  for (const auto* fallback : section.tables("fallback")) {
    read_fallback(fallback, "model.fallback", model.fallbacks.emplace_back(), problems);
  }
}

void read_catalogue(Root& all, models::Catalogue& catalogue, Problems& problems) {
  {
    Section section(all.table("models"), "models", problems);
    auto& l = catalogue.limits;
    section.count("adapters_on_box", l.adapters_per_replica, 1, 10'000);
    section.number("fallback_part", l.fallback_part, 0, 1);
    section.number("fallback_burst", l.fallback_burst, 0, 1e6);
    section.number("first_part", l.first_part, 0.001, 1);
    section.number("growth_per_s", l.growth_per_s, 0, 100);
  }
  for (const auto* table : all.tables("model")) read_model(table, catalogue.models.emplace_back(), problems);
  for (const auto* table : all.tables("alias")) {
    Section section(table, "alias", problems);
    auto& alias = catalogue.aliases.emplace_back();
    section.text("name", alias.name);
    section.text("to", alias.to);
    alias.line = section.line();
  }
  for (auto& fault : models::faults_of(catalogue)) problems.push_back({fault.line, std::move(fault.text)});
}

void read_budgets(Root& all, BudgetsFile& file, const models::Catalogue& catalogue, Problems& problems) {
  {
    Section section(all.table("budgets"), "budgets", problems);
    section.flag("fair", file.fair);
    section.flag("charges", file.charges);
    section.number("block", file.block, 0.0001, 1);
    section.number("soft_worth", file.soft_worth, 0, 1);
    section.count("accounts", file.accounts, 1, 10'000'000);
  }
  std::set<std::string> names;
  for (const auto* table : all.tables("budget")) {
    Section section(table, "budget", problems);
    BudgetEntry& b = file.budgets.emplace_back();
    b.line = section.line();
    section.text("name", b.name);
    section.text("member", b.member);
    section.text("model", b.model);
    section.text("class", b.cls);
    section.one_of("per", b.per, {"second", "minute", "hour", "day"});
    section.number("tokens", b.tokens, 0, 1e15);
    section.number("burst", b.burst, 0, 1e15);
    section.flag("hard", b.hard);
    if (b.name.empty() || b.name.find('|') != std::string::npos)
      section.reject("name", "no name, or one with a bar in it");
    if (!names.insert(b.name).second) section.reject("name", "there are two of this name");
    if (!section.has("tokens")) section.reject("tokens", "there is none");
    if (b.burst > 0 && b.per != "second") section.reject("burst", "only a budget per second has one");
    if (b.model != "each" && b.model != "all" &&
        (catalogue.find(b.model) == 0 || catalogue.at(catalogue.find(b.model)).any_name)) {
      section.reject("model", "no model is called '" + b.model + "'");
    }
  }
}

void read_group(Root& all, GroupFile& file, Problems& problems) {
  const auto* table = all.table("group");
  const auto routers = all.tables("router");
  Section group(table, "group", problems);
  file.line = group.line();
  group.text("name", file.name);
  group.list("sites", file.sites);
  group.text("self", file.self);
  group.text("listen", file.listen);
  group.text("state", file.state);
  group.text("status", file.status);
  group.number("period_s", file.period_s, 0.05, 60);
  group.flag("links", file.links);
  for (const auto* one : routers) {
    Section section(one, "router", problems);
    auto& router = file.routers.emplace_back();
    router.line = section.line();
    section.text("name", router.name);
    section.text("site", router.site);
    section.text("address", router.address);
    section.one_of("role", router.role, {"router", "holder"});
  }
  if (table == nullptr) {
    if (!routers.empty())
      problems.push_back({file.routers.front().line, "router: there is no [group] that it belongs to"});
    return;
  }
  if (file.name.empty()) group.reject("name", "there has to be one");
  for (auto& fault : membership::faults_of(file.sites, file.routers, file.line))
    problems.push_back({fault.line, std::move(fault.text)});
  const bool named = std::any_of(file.routers.begin(), file.routers.end(),
                                 [&](const auto& r) { return r.name == file.self; });
  if (!file.self.empty() && !named) group.reject("self", "no router is called '" + file.self + "'");
}

void read_copies(Root& all, ReplicationFile& file, const GroupFile& group, Problems& problems) {
  const auto* table = all.table("copies");
  Section section(table, "copies", problems);
  file.line = section.line();
  section.flag("enabled", file.enabled);
  section.text("file", file.file);
  section.count("megabytes", file.megabytes, 1, 1 << 20);
  section.count("holders", file.holders, 3, 5);
  section.number("lease_s", file.lease_s, 0.5, 600);
  section.number("heartbeat_s", file.heartbeat_s, 0.02, 10);
  section.one_of("without_majority", file.without_majority, {"strict", "lenient"});
  section.number("overdraft", file.overdraft, 0, 1);
  if (!file.enabled) return;
  if (file.holders == 4) section.reject("holders", "three or five");
  if (file.file.empty()) section.reject("file", "there has to be one");
  if (group.name.empty() || !group.links) section.reject("enabled", "copies need a [group] with links");
  if (group.routers.size() < file.holders) section.reject("holders", "the group has fewer routers");
  if (file.lease_s < 8 * file.heartbeat_s)
    section.reject("lease_s", "less than eight heartbeats: it would end while another leader is chosen");
}

void read_sections(const toml::table& root, OperatorFile& file, Problems& problems) {
  Root all(root, problems);
  {
    Section messages(all.table("messages"), "messages", problems);
    messages.text("listen", file.messages_listen);
  }
  {
    Section targets(all.table("targets"), "targets", problems);
    targets.text("dialect", file.target_dialect);
    targets.texts("named", file.targets);
  }
  {
    Section flows(all.table("flows"), "flows", problems);
    flows.text("collector", file.flow_collector);
    flows.count("domain", file.flow_domain, 0, std::numeric_limits<std::uint32_t>::max());
  }
  {
    Section affinity(all.table("affinity"), "affinity", problems);
    affinity.flag("enabled", file.affinity.enabled);
    affinity.count("entries", file.affinity.entries, 16, 100'000'000);
    affinity.count("bytes", file.affinity.bytes, 0, std::int64_t{1} << 36);
    affinity.count("boxes", file.affinity.replicas, 1, 65'535);
    affinity.number("lifetime_s", file.affinity.lifetime_s, 1, 604'800);
    affinity.number("answers_per_false_alarm", file.affinity.answers_per_false_alarm, 10, 1e12);
    affinity.one_of("eviction", file.affinity.eviction, {"lru", "segmented", "tinylfu"});
  }
  {
    Section store(all.table("store"), "store", problems);
    store.text("file", file.store.file);
    store.count("megabytes", file.store.megabytes, 1, 1 << 20);
    store.number("sync_s", file.store.sync_s, 0.01, 3600);
    store.count("changes", file.store.changes, 1, 1'000'000);
  }
  read_catalogue(all, file.catalogue, problems);
  read_budgets(all, file.budgets, file.catalogue, problems);
  read_group(all, file.group, problems);
  read_copies(all, file.replication, file.group, problems);
}

}  // namespace

bool OperatorFile::same_but_models(const OperatorFile& o) const {
  return messages_listen == o.messages_listen && target_dialect == o.target_dialect && targets == o.targets &&
         flow_collector == o.flow_collector && flow_domain == o.flow_domain && affinity == o.affinity &&
         store == o.store && catalogue.empty() == o.catalogue.empty() && budgets.fair == o.budgets.fair &&
         budgets.budgets.empty() == o.budgets.budgets.empty() && group == o.group &&
         replication == o.replication;
}

OperatorFile read_operator_file(const std::string& path) {
  OperatorFile file;
  if (path.empty()) return file;
  file.path = path;
  try {
    settings::read_file(
        path, [&](const toml::table& root, Problems& problems) { read_sections(root, file, problems); });
  } catch (const settings::BadFile& bad) {
    throw BadConfig(bad.what());
  }
  return file;
}

}  // namespace thornwick::config
