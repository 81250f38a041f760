#include "emulator/scenario.hpp"

#include <map>

#include "emulator/baseline_policies.hpp"
#include "settings/file.hpp"
#include "settings/section.hpp"

namespace thornwick::emulator {
namespace {

using settings::Errors, settings::Root, settings::Section;

constexpr double kMuch = 1e9;

void range(Section& section, const char* key, Range& into, double least = 0, double most = kMuch) {
  section.range(key, into.low, into.high, least, most);
}

void read_kind(Section& s, ReplicaKind& kind) {
  s.text("name", kind.name);
  s.number("share", kind.share, 0, kMuch);
  s.flag("queue", kind.queue);
  range(s, "speed", kind.speed, 0.001, 1000);
  range(s, "slots", kind.slots, 1, 100'000);
  range(s, "waiting", kind.waiting, 1, kMuch);
  range(s, "memory_k", kind.memory_k, 1, kMuch);
  range(s, "chunk", kind.chunk, 1, kMuch);
  range(s, "step_ms", kind.step_ms, 0.01, 10'000);
  range(s, "sequence_us", kind.sequence_us);
  range(s, "context_us_per_k", kind.context_us_per_k);
  range(s, "read_per_s", kind.read_per_s, 1, kMuch);
  s.flag("keeps_made", kind.keeps_made);
  s.flag("drops_expired", kind.drops_expired);
  range(s, "cold_from", kind.initial_capacity, 0.001, 1);
  range(s, "cold_s", kind.cold_s, 0, 3600);
  s.number("error_rate", kind.error_rate, 0, 1);
}

void read_class(Section& s, Demand& d) {
  s.text("name", d.name);
  s.number("share", d.share, 0, kMuch);
  s.number("worth", d.priority_weight, 0, kMuch);
  s.number("late_worth", d.late_weight, 0, 1);
  s.number("aim_ms", d.aim_ms, 1, kMuch);
  s.number("aim_ms_per_k", d.aim_ms_per_k, 0, kMuch);
  s.number("token_ms", d.token_ms, 0.001, kMuch);
  s.number("deadline_ms", d.deadline_ms, 1, kMuch);
  range(s, "turns", d.turns, 1, 1000);
  range(s, "new_tokens", d.new_tokens, 1);
  range(s, "made", d.generated, 1);
  s.number("new_sigma", d.new_sigma, 0, 5);
  s.number("made_sigma", d.made_sigma, 0, 5);
  s.number("most_made", d.most_made, 1, kMuch);
  s.count("prefixes", d.prefixes, 0, 1'000'000);
  range(s, "prefix_tokens", d.prefix_tokens, 1);
  s.number("prefix_skew", d.prefix_skew, 0, 10);
  s.number("think_s", d.think_s, 0, 3600);
  s.number("alpha", d.alpha, 0, 10);
  s.number("least_us", d.least_us, 0, 1e15);
  s.number("most_us", d.most_us, 0, 1e15);
  s.number("mean_us", d.mean_us, 0, 1e15);
}

const std::map<std::string, DayFaultKind>& trouble_names() {
  static const std::map<std::string, DayFaultKind> names = {
      {"burst", DayFaultKind::burst},        {"hall-lost", DayFaultKind::zone_lost},
      {"slow", DayFaultKind::slow},          {"flush", DayFaultKind::flush},
      {"ageing", DayFaultKind::ageing},      {"replacement", DayFaultKind::replacement},
      {"partition", DayFaultKind::partition}};
  return names;
}

void read_trouble(Section& s, DayFault& t) {
  std::vector<std::string> names;
  for (const auto& [name, kind] : trouble_names()) names.push_back(name);
  std::string kind = "burst";
  s.one_of("kind", kind, names);
  t.kind = trouble_names().at(kind);
  range(s, "at_s", t.at_s);
  range(s, "seconds", t.seconds);
  range(s, "size", t.size, 0, 1000);
  s.flag("silent", t.silent);
  s.flag("routers", t.routers);
  range(s, "every_s", t.every_s, 0.01);
}

template <typename Item, typename Read>
void read_list(Root& all, const char* name, std::vector<Item>& into, Errors& problems, Read read) {
  const auto tables = all.tables(name);
  if (tables.empty()) return;
  into.clear();
  for (const auto* table : tables) {
    Section section(table, name, problems);
    read(section, into.emplace_back());
  }
}

void read_sections(const toml::table& root, Scenario& s, Errors& problems) {
  Root all(root, problems);
  {
    Section day(all.table("day"), "day", problems);
    day.text("name", s.name);
    day.number("seconds", s.seconds, 0.1, 1e7);
    day.number("warm_up_s", s.warm_up_s, 0, 1e7);
    day.number("end_s", s.end_s, 0, 1e9);
    range(day, "load", s.load, 0.0001, 100);
  }
  {
    Section fleet(all.table("fleet"), "fleet", problems);
    fleet.count("routers", s.routers, 1, 10'000);
    fleet.count("boxes", s.replicas, 1, 100'000);
    fleet.list("halls", s.zones);
    fleet.number("hall_skew", s.zone_skew, 0, 0.99);
    fleet.number("drain_s", s.drain_s, 0, 3600);
  }
  {
    Section network(all.table("network"), "network", problems);
    range(network, "same_ms", s.same_ms, 0.001, 10'000);
    range(network, "cross_ms", s.cross_ms, 0.001, 10'000);
    network.number("jitter", s.jitter, 0, 10);
    network.number("handshake_ms", s.handshake_ms, 0, 10'000);
    network.number("idle_s", s.idle_s, 0, 3600);
    network.number("dial_ms", s.dial_ms, 1, 60'000);
    network.count("most_connections", s.most_connections, 1, 1'000'000);
    range(network, "peer_ms", s.peer_ms, 0.001, 10'000);
    network.number("peer_loss", s.peer_loss, 0, 1);
  }
  {
    Section directory(all.table("discovery"), "discovery", problems);
    range(directory, "notice_s", s.notice_s, 0, 600);
    range(directory, "silent_notice_s", s.silent_notice_s, 0, 600);
    range(directory, "add_s", s.add_s, 0, 600);
  }
  {
    Section clients(all.table("clients"), "clients", problems);
    clients.count("retries", s.retries, 0, 100);
    clients.number("try_share", s.try_share, 0.01, 1);
    clients.number("honour", s.honour, 0, 1);
    clients.number("impatient", s.impatient, 0, 1);
    range(clients, "backoff_ms", s.backoff_ms, 0, 60'000);
    clients.number("hint_sigma", s.hint_sigma, -1, 5);
    clients.number("over_share_worth", s.over_share_weight, 0, 1);
  }
  {
    Section router(all.table("router"), "router", problems);
    std::vector<std::string> policies = baseline_names();
    policies.push_back("module");
    router.one_of("policy", s.policy, policies);
    router.count("attempts", s.attempts, 1, 5);
    router.number("drain_grace_ms", s.drain_grace_ms, 0, 60'000);
    router.number("tip_multiple", s.overload_multiple, 0.1, 1000);
    router.number("tip_ms", s.tip_ms, 1, 600'000);
    router.flag("retry_after", s.retry_after);
    router.number("most_retry_after_ms", s.most_retry_after_ms, 0, 600'000);
    router.flag("affinity", s.affinity);
    router.flag("peers", s.peers);
    router.flag("fair", s.fair);
    router.count("affinity_entries", s.affinity_entries, 16, 100'000'000);
  }
  read_list(all, "box", s.kinds, problems, read_kind);
  read_list(all, "class", s.classes, problems, read_class);
  read_list(all, "member", s.members, problems, [](Section& section, Member& m) {
    section.text("name", m.name);
    section.number("share", m.share, 0.0001, kMuch);
    section.number("demand", m.demand, 0.0001, kMuch);
  });
  read_list(all, "trouble", s.faults, problems, read_trouble);
}

}  // namespace

Scenario read_scenario(const std::string& path, const std::vector<Override>& overrides) {
  Scenario scenario;
  settings::read_file(path, [&](toml::table& root, Errors& problems) {
    for (const auto& o : overrides) settings::set_value(root, o.key, o.value, problems);
    read_sections(root, scenario, problems);
  });
  return scenario;
}

}  // namespace thornwick::emulator
