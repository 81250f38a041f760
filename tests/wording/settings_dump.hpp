// Every field of the configuration as "what it is: value". The words on the left are plain English and no
// identifiers of the sources, so that a renaming cannot change them.
#pragma once

#include <map>
#include <sstream>
#include <string>
#include <vector>

#include "config/config.hpp"

namespace thornwick::testing {

using Fields = std::vector<std::pair<std::string, std::string>>;

template <typename Value>
std::string text_of(const Value& value) {
  std::ostringstream out;
  out.precision(12);
  out << std::boolalpha << value;
  return out.str();
}

template <typename Value>
std::string text_of(const std::vector<Value>& values) {
  std::string text = "[";
  for (const auto& value : values) text += (text.size() > 1 ? ", " : "") + text_of(value);
  return text + "]";
}

// Collects fields under a common beginning of their names.
class FieldWriter {
 public:
  FieldWriter(Fields& fields, std::string beginning) : fields_(fields), beginning_(std::move(beginning)) {}

  template <typename Value>
  FieldWriter& add(const char* what, const Value& value) {
    fields_.emplace_back(beginning_ + " " + what, text_of(value));
    return *this;
  }

 private:
  Fields& fields_;
  std::string beginning_;
};

inline std::string numbered(const char* what, std::size_t index) {
  return what + (" " + std::to_string(index));
}

inline void add_module_settings(const Settings& settings, Fields& fields) {
  for (std::size_t i = 0; i < settings.classes.size(); ++i) {
    const ClassSettings& cls = settings.classes[i];
    FieldWriter(fields, numbered("class", i))
        .add("worth", cls.priority_weight)
        .add("late worth", cls.late_weight_fraction)
        .add("aim", cls.latency_objective)
        .add("aim for 1000 prompt tokens", cls.latency_objective_per_1000_prompt_tokens)
        .add("aim stretch", cls.latency_objective_stretch)
        .add("deadline", cls.deadline)
        .add("streams", cls.streamed)
        .add("effect number", static_cast<int>(cls.effect))
        .add("dedup scope number", static_cast<int>(cls.dedup_scope))
        .add("dedup window", cls.dedup_window);
  }
  for (std::size_t i = 0; i < settings.tenants.size(); ++i) {
    FieldWriter(fields, numbered("tenant", i))
        .add("share", settings.tenants[i].share)
        .add("quota each second", settings.tenants[i].quota_per_s);
  }
  std::vector<int> report;
  for (const auto field : settings.report_fields) report.push_back(static_cast<int>(field));
  FieldWriter(fields, "module")
      .add("seed", settings.seed)
      .add("rank", settings.rank)
      .add("group size", settings.group_size)
      .add("zone", settings.zone)
      .add("zone count", settings.zone_count)
      .add("over share worth", settings.over_share_weight)
      .add("cross zone price", settings.cross_zone_cost)
      .add("directory must ask", settings.discovery_by_polling)
      .add("ask within", settings.max_poll_interval)
      .add("weights number", static_cast<int>(settings.weight_source))
      .add("report field numbers", report)
      .add("may cancel", settings.may_cancel)
      .add("may probe", settings.may_probe)
      .add("may tell peers", settings.may_message_peers)
      .add("second copies", settings.hedging)
      .add("retry after", settings.retry_after)
      .add("longest retry after", settings.max_retry_after)
      .add("most attempts", settings.max_attempts)
      .add("drain grace", settings.drain_grace)
      .add("cold from", settings.initial_capacity)
      .add("cold time", settings.warm_up)
      .add("tip multiple", settings.overload_multiple)
      .add("tip after", settings.overload_after);
}

inline Fields fields_of(const Settings& settings) {
  Fields fields;
  add_module_settings(settings, fields);
  return fields;
}

// All but the operator's file.
inline Fields fields_of(const config::Config& config) {
  Fields fields;
  FieldWriter(fields, "router")
      .add("name", config.name)
      .add("listen", config.listeners.requests)
      .add("discovery", config.discovery.address)
      .add("ops", config.listeners.operators)
      .add("peer listen", config.listeners.peers)
      .add("peers all", config.peers.all)
      .add("peers", config.peers.each)
      .add("sockets", config.limits.sockets)
      .add("memory", config.limits.memory_mb)
      .add("class names", config.names.classes)
      .add("tenant names", config.names.tenants)
      .add("zone names", config.names.zones)
      .add("kind names", config.names.kinds)
      .add("inline report", config.names.report_fields)
      .add("keepalive", config.timeouts.keepalive)
      .add("dial limit", config.timeouts.connect)
      .add("known list", config.discovery.known_endpoints);
  add_module_settings(config.settings, fields);
  return fields;
}

inline void add_models(const models::Catalogue& catalogue, Fields& fields) {
  FieldWriter(fields, "models")
      .add("adapters on box", catalogue.limits.max_adapters_per_replica)
      .add("fallback part", catalogue.limits.fallback_fraction)
      .add("fallback burst", catalogue.limits.fallback_burst)
      .add("first part", catalogue.limits.initial_fallback_fraction)
      .add("growth each second", catalogue.limits.fallback_growth_per_s);
  for (std::size_t i = 0; i < catalogue.models.size(); ++i) {
    const models::Model& model = catalogue.models[i];
    FieldWriter(fields, numbered("model", i))
        .add("name", model.name)
        .add("base", model.base_model)
        .add("any name", model.accepts_any_name)
        .add("context", model.context_tokens)
        .add("most answer", model.max_answer_tokens)
        .add("loading", model.load_time)
        .add("least boxes", model.min_replicas)
        .add("most boxes", model.max_replicas)
        .add("serving models", model.replica_selector.models)
        .add("serving uids", model.replica_selector.uids)
        .add("serving groups", model.replica_selector.pod_groups)
        .add("prompt price", model.price.prompt)
        .add("kept price", model.price.cached)
        .add("made price", model.price.generated);
    for (std::size_t f = 0; f < model.fallbacks.size(); ++f) {
      FieldWriter(fields, numbered("model", i) + " " + numbered("fallback", f))
          .add("to", model.fallbacks[f].target)
          .add("when bits", static_cast<int>(model.fallbacks[f].reasons))
          .add("least left", model.fallbacks[f].min_remaining_time);
    }
  }
  for (std::size_t i = 0; i < catalogue.aliases.size(); ++i) {
    FieldWriter(fields, numbered("alias", i))
        .add("name", catalogue.aliases[i].name)
        .add("to", catalogue.aliases[i].target);
  }
}

inline void add_budgets(const config::BudgetsFile& file, Fields& fields) {
  FieldWriter(fields, "budgets")
      .add("fair", file.fair_admission)
      .add("charges", file.log_charges)
      .add("block", file.block_fraction)
      .add("soft worth", file.soft_limit_weight)
      .add("accounts", file.max_accounts);
  for (std::size_t i = 0; i < file.budgets.size(); ++i) {
    const config::BudgetEntry& budget = file.budgets[i];
    FieldWriter(fields, numbered("budget", i))
        .add("name", budget.name)
        .add("member", budget.tenant)
        .add("model", budget.model)
        .add("class", budget.priority_class)
        .add("per", budget.period)
        .add("tokens", budget.tokens)
        .add("burst", budget.burst)
        .add("hard", budget.hard);
  }
}

inline void add_group(const config::GroupFile& file, Fields& fields) {
  FieldWriter(fields, "group")
      .add("name", file.name)
      .add("sites", file.sites)
      .add("self", file.local_router)
      .add("listen", file.listen)
      .add("state", file.incarnation_file)
      .add("status", file.status_socket)
      .add("period", file.probe_interval_s)
      .add("links", file.peer_links_enabled);
  for (std::size_t i = 0; i < file.routers.size(); ++i) {
    FieldWriter(fields, numbered("router", i))
        .add("name", file.routers[i].name)
        .add("site", file.routers[i].site)
        .add("address", file.routers[i].address)
        .add("role", file.routers[i].role);
  }
}

inline Fields fields_of(const config::OperatorFile& file) {
  Fields fields;
  std::vector<std::string> named;
  for (const auto& [uid, dialect] : file.targets) named.push_back(uid + ": " + dialect);
  FieldWriter(fields, "fronts")
      .add("messages listen", file.messages_listen)
      .add("target dialect", file.target_dialect)
      .add("named targets", named)
      .add("flow collector", file.flow_collector)
      .add("flow domain", file.flow_domain);
  FieldWriter(fields, "affinity")
      .add("enabled", file.affinity.enabled)
      .add("entries", file.affinity.max_entries)
      .add("bytes", file.affinity.max_memory_bytes)
      .add("boxes", file.affinity.max_replicas)
      .add("lifetime", file.affinity.lifetime_s)
      .add("answers for a false alarm", file.affinity.answers_per_false_alarm)
      .add("eviction", file.affinity.eviction);
  FieldWriter(fields, "store")
      .add("file", file.store.file)
      .add("megabytes", file.store.max_megabytes)
      .add("sync", file.store.max_sync_delay_s)
      .add("changes", file.store.max_undurable_changes);
  add_models(file.catalogue, fields);
  add_budgets(file.budgets, fields);
  add_group(file.group, fields);
  FieldWriter(fields, "copies")
      .add("enabled", file.replication.enabled)
      .add("file", file.replication.file)
      .add("megabytes", file.replication.max_megabytes)
      .add("holders", file.replication.replica_count)
      .add("lease", file.replication.lease_s)
      .add("heartbeat", file.replication.heartbeat_s)
      .add("without majority", file.replication.without_majority)
      .add("overdraft", file.replication.overdraft_fraction);
  return fields;
}

inline std::string text_of_fields(const Fields& fields) {
  std::string text;
  for (const auto& [what, value] : fields) text += what + ": " + value + "\n";
  return text;
}

// What differs, a line each: "what it is: before -> after"; "-" where one of them has no such field.
inline std::string changes(const Fields& before, const Fields& after) {
  const std::map<std::string, std::string> old_values(before.begin(), before.end());
  const std::map<std::string, std::string> new_values(after.begin(), after.end());
  std::string text;
  for (const auto& [what, value] : before) {
    const auto found = new_values.find(what);
    const std::string now = found == new_values.end() ? "-" : found->second;
    if (now != value) text += "  " + what + ": " + value + " -> " + now + "\n";
  }
  for (const auto& [what, value] : after) {
    if (!old_values.contains(what)) text += "  " + what + ": - -> " + value + "\n";
  }
  return text.empty() ? "  nothing changes\n" : text;
}

}  // namespace thornwick::testing
