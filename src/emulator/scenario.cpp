#include "emulator/scenario.hpp"

#include <map>

#include "emulator/baseline_policies.hpp"
#include "settings/file.hpp"
#include "settings/section.hpp"

namespace thornwick::emulator {
namespace {

using settings::Errors;
using settings::Root;
using settings::Section;

constexpr double kUnbounded = 1e9;

void read_range(Section& section, const char* key, Range& into, double min = 0, double max = kUnbounded) {
  section.range(key, into.low, into.high, min, max);
}

void read_kind(Section& section, ReplicaKind& kind) {
  section.text("name", kind.name);
  section.number("share", kind.share, 0, kUnbounded);
  section.flag("queue", kind.queue);
  read_range(section, "speed", kind.speed, 0.001, 1000);
  read_range(section, "slots", kind.slots, 1, 100'000);
  read_range(section, "waiting", kind.waiting, 1, kUnbounded);
  read_range(section, "memory_k", kind.memory_k_tokens, 1, kUnbounded);
  read_range(section, "chunk", kind.chunk, 1, kUnbounded);
  read_range(section, "step_ms", kind.step_ms, 0.01, 10'000);
  read_range(section, "sequence_us", kind.per_sequence_us);
  read_range(section, "context_us_per_k", kind.context_us_per_k);
  read_range(section, "read_per_s", kind.read_per_s, 1, kUnbounded);
  section.flag("keeps_made", kind.caches_generated);
  section.flag("drops_expired", kind.drops_expired);
  read_range(section, "cold_from", kind.initial_capacity, 0.001, 1);
  read_range(section, "cold_s", kind.warm_up_s, 0, 3600);
  section.number("error_rate", kind.error_rate, 0, 1);
}

const std::map<std::string, Effect>& effects() {
  static const std::map<std::string, Effect> effects = {
      {"safe", Effect::safe}, {"keyed", Effect::keyed}, {"unsafe", Effect::unsafe}};
  return effects;
}

const std::map<std::string, DedupScope>& dedup_scopes() {
  static const std::map<std::string, DedupScope> scopes = {{"all", DedupScope::all},
                                                           {"hall", DedupScope::zone}};
  return scopes;
}

// Reads one of the names of `values`; `into` stays as it is if there is no such key.
template <typename Value>
void read_name(Section& section, const char* key, Value& into, const std::map<std::string, Value>& values) {
  std::vector<std::string> names;
  std::string name;
  for (const auto& [each, value] : values) {
    names.push_back(each);
    if (value == into) name = each;
  }
  section.one_of(key, name, names);
  into = values.at(name);
}

void read_class(Section& section, RequestClass& request_class) {
  section.text("name", request_class.name);
  section.number("share", request_class.share, 0, kUnbounded);
  section.number("worth", request_class.priority_weight, 0, kUnbounded);
  section.number("late_worth", request_class.late_weight, 0, 1);
  section.number("aim_ms", request_class.latency_objective_ms, 1, kUnbounded);
  section.number("aim_ms_per_k", request_class.latency_objective_ms_per_k, 0, kUnbounded);
  section.number("token_ms", request_class.token_ms, 0.001, kUnbounded);
  section.number("deadline_ms", request_class.deadline_ms, 1, kUnbounded);
  read_name(section, "effect", request_class.effect, effects());
  read_name(section, "discarded_by", request_class.dedup_scope, dedup_scopes());
  section.number("discarded_ms", request_class.dedup_window_ms, 0, kUnbounded);
  read_range(section, "turns", request_class.turns, 1, 1000);
  read_range(section, "new_tokens", request_class.new_tokens, 1);
  read_range(section, "made", request_class.generated, 1);
  section.number("new_sigma", request_class.new_sigma, 0, 5);
  section.number("made_sigma", request_class.generated_sigma, 0, 5);
  section.number("most_made", request_class.max_tokens, 1, kUnbounded);
  section.count("prefixes", request_class.prefixes, 0, 1'000'000);
  read_range(section, "prefix_tokens", request_class.prefix_tokens, 1);
  section.number("prefix_skew", request_class.prefix_skew, 0, 10);
  section.number("think_s", request_class.think_s, 0, 3600);
  section.number("alpha", request_class.alpha, 0, 10);
  section.number("least_us", request_class.min_us, 0, 1e15);
  section.number("most_us", request_class.max_us, 0, 1e15);
  section.number("mean_us", request_class.mean_us, 0, 1e15);
}

void read_member(Section& section, Member& member) {
  section.text("name", member.name);
  section.number("share", member.share, 0.0001, kUnbounded);
  section.number("demand", member.demand, 0.0001, kUnbounded);
}

const std::map<std::string, DayFaultKind>& fault_kinds() {
  static const std::map<std::string, DayFaultKind> kinds = {
      {"burst", DayFaultKind::burst},        {"hall-lost", DayFaultKind::zone_lost},
      {"slow", DayFaultKind::slow},          {"flush", DayFaultKind::flush},
      {"ageing", DayFaultKind::ageing},      {"replacement", DayFaultKind::replacement},
      {"partition", DayFaultKind::partition}};
  return kinds;
}

void read_fault(Section& section, DayFault& fault) {
  read_name(section, "kind", fault.kind, fault_kinds());
  read_range(section, "at_s", fault.at_s);
  read_range(section, "seconds", fault.seconds);
  read_range(section, "size", fault.size, 0, 1000);
  section.flag("silent", fault.unreachable);
  section.flag("routers", fault.routers);
  read_range(section, "every_s", fault.every_s, 0.01);
}

template <typename Item, typename Read>
void read_list(Root& root, const char* name, std::vector<Item>& into, Errors& problems, Read read) {
  const auto tables = root.tables(name);
  if (tables.empty()) return;
  into.clear();
  for (const auto* table : tables) {
    Section section(table, name, problems);
    read(section, into.emplace_back());
  }
}

void read_day(Root& root, Scenario& scenario, Errors& problems) {
  Section section(root.table("day"), "day", problems);
  section.text("name", scenario.name);
  section.number("seconds", scenario.seconds, 0.1, 1e7);
  section.number("warm_up_s", scenario.warm_up_s, 0, 1e7);
  section.number("end_s", scenario.max_overtime_s, 0, 1e9);
  read_range(section, "load", scenario.load, 0.0001, 100);
}

void read_fleet(Root& root, Scenario& scenario, Errors& problems) {
  Section section(root.table("fleet"), "fleet", problems);
  section.count("routers", scenario.routers, 1, 10'000);
  section.count("boxes", scenario.replicas, 1, 100'000);
  section.list("halls", scenario.zones);
  section.number("hall_skew", scenario.zone_skew, 0, 0.99);
  section.number("drain_s", scenario.drain_s, 0, 3600);
}

void read_network(Root& root, Scenario& scenario, Errors& problems) {
  Section section(root.table("network"), "network", problems);
  read_range(section, "same_ms", scenario.same_zone_ms, 0.001, 10'000);
  read_range(section, "cross_ms", scenario.cross_zone_ms, 0.001, 10'000);
  section.number("jitter", scenario.jitter, 0, 10);
  section.number("handshake_ms", scenario.handshake_ms, 0, 10'000);
  section.number("idle_s", scenario.idle_timeout_s, 0, 3600);
  section.number("dial_ms", scenario.connect_timeout_ms, 1, 60'000);
  section.count("most_connections", scenario.max_connections, 1, 1'000'000);
  read_range(section, "peer_ms", scenario.peer_ms, 0.001, 10'000);
  section.number("peer_loss", scenario.peer_loss, 0, 1);
}

void read_discovery(Root& root, Scenario& scenario, Errors& problems) {
  Section section(root.table("discovery"), "discovery", problems);
  read_range(section, "notice_s", scenario.removal_delay_s, 0, 600);
  read_range(section, "silent_notice_s", scenario.unreachable_delay_s, 0, 600);
  read_range(section, "add_s", scenario.addition_delay_s, 0, 600);
}

void read_clients(Root& root, Scenario& scenario, Errors& problems) {
  Section section(root.table("clients"), "clients", problems);
  section.count("retries", scenario.retries, 0, 100);
  section.number("try_share", scenario.try_timeout_fraction, 0.01, 1);
  section.number("honour", scenario.honor_probability, 0, 1);
  section.number("impatient", scenario.cancel_probability, 0, 1);
  read_range(section, "backoff_ms", scenario.backoff_ms, 0, 60'000);
  section.number("hint_sigma", scenario.hint_sigma, -1, 5);
  section.number("over_share_worth", scenario.over_share_weight, 0, 1);
}

void read_router(Root& root, Scenario& scenario, Errors& problems) {
  Section section(root.table("router"), "router", problems);
  std::vector<std::string> policies = baseline_policy_names();
  policies.emplace_back("module");
  section.one_of("policy", scenario.policy, policies);
  section.count("attempts", scenario.attempts, 1, 5);
  section.number("drain_grace_ms", scenario.drain_grace_ms, 0, 60'000);
  section.number("tip_multiple", scenario.overload_multiple, 0.1, 1000);
  section.number("tip_ms", scenario.overload_ms, 1, 600'000);
  section.flag("retry_after", scenario.retry_after);
  section.number("most_retry_after_ms", scenario.max_retry_after_ms, 0, 600'000);
  section.flag("affinity", scenario.affinity);
  section.flag("peers", scenario.peers);
  section.flag("fair", scenario.fair_admission);
  section.count("affinity_entries", scenario.affinity_entries, 16, 100'000'000);
}

void read_all(const toml::table& table, Scenario& scenario, Errors& problems) {
  Root root(table, problems);
  read_day(root, scenario, problems);
  read_fleet(root, scenario, problems);
  read_network(root, scenario, problems);
  read_discovery(root, scenario, problems);
  read_clients(root, scenario, problems);
  read_router(root, scenario, problems);
  read_list(root, "box", scenario.kinds, problems, read_kind);
  read_list(root, "class", scenario.classes, problems, read_class);
  read_list(root, "member", scenario.members, problems, read_member);
  read_list(root, "trouble", scenario.faults, problems, read_fault);
}

}  // namespace

Scenario read_scenario(const std::string& path, const std::vector<Override>& overrides) {
  Scenario scenario;
  settings::read_file(path, [&](toml::table& root, Errors& problems) {
    for (const auto& each : overrides) settings::set_value(root, each.key, each.value, problems);
    read_all(root, scenario, problems);
  });
  return scenario;
}

}  // namespace thornwick::emulator
