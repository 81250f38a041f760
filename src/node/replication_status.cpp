#include "node/replication_status.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace thornwick::node {
namespace {

using Json = nlohmann::ordered_json;
using budgets::in_tokens;

constexpr std::size_t kMaxEntries = 64;  // entries in each list of a status

std::string_view name_of(replication::Stage stage) {
  // The names are in the order of Stage.
  static constexpr std::string_view names[] = {"blank", "founding", "entering", "member"};
  return names[static_cast<int>(stage)];
}

Json members_json(const replication::LedgerReplica& replica) {
  Json members = Json::array();
  if (replica.consensus() == nullptr) return members;
  for (const auto& member : replica.consensus()->members())
    members.push_back({{"router", member.name}, {"copy", member.id}, {"votes", member.is_voter}});
  return members;
}

Json placed_members_json(const replication::LedgerReplica& replica, const membership::Roster& roster) {
  Json placed_members = Json::array();
  for (const std::size_t member : replica.placed_members()) placed_members.push_back(roster.at(member).name);
  return placed_members;
}

Json ledger_json(std::size_t ledger_number, const replication::LedgerReplica& replica,
                 const membership::Roster& roster) {
  const auto* consensus = replica.consensus();
  return {{"ledger", ledger_number},
          {"stage", name_of(replica.stage())},
          {"leads", replica.is_leader()},
          {"leader", replica.leader_name()},
          {"copy", replica.process().id},
          {"start", replica.process().start_number},
          {"was_older", replica.discarded_disk()},
          {"committed", consensus != nullptr ? consensus->commit_index() : 0},
          {"last", consensus != nullptr ? consensus->last_index() : 0},
          {"members", members_json(replica)},
          {"wanted", placed_members_json(replica, roster)},
          {"accounts", replica.ledger().accounts().size()},
          {"sessions", replica.ledger().sessions().size()}};
}

Json ledgers_json(const ReplicationStatus& status) {
  Json ledgers = Json::array();
  for (const auto& [ledger_number, replica] : status.replication.replicas())
    ledgers.push_back(ledger_json(ledger_number, *replica, status.roster));
  return ledgers;
}

// Returns the units that were granted to sessions that have expired, and that were not reported as used.
budgets::Units expired_units(const replication::Ledger& ledger, const replication::WindowLedger& window) {
  budgets::Units units = 0;
  for (const auto& [session, lease] : window.leases) {
    const auto state = ledger.sessions().find(session);
    const bool expired = state == ledger.sessions().end() || state->second.expired;
    if (expired) units += std::max<budgets::Units>(0, lease.granted - lease.used);
  }
  return units;
}

void add_account_windows(std::size_t ledger_number, const replication::Ledger& ledger, Json& windows) {
  for (const auto& [key, account] : ledger.accounts()) {
    for (const auto& [window, state] : account.windows) {
      if (windows.size() >= kMaxEntries) return;
      windows.push_back({{"ledger", ledger_number},
                         {"account", key},
                         {"window", window},
                         {"limit", in_tokens(state.amount)},
                         {"left", in_tokens(state.available)},
                         {"charged", in_tokens(state.charged)},
                         {"in_hand", in_tokens(state.leased())},
                         {"open", in_tokens(expired_units(ledger, state))},
                         {"corrected", in_tokens(state.correction_sum)}});
    }
  }
}

Json account_windows_json(const ReplicationStatus& status) {
  Json windows = Json::array();
  for (const auto& [ledger_number, replica] : status.replication.replicas())
    add_account_windows(ledger_number, replica->ledger(), windows);
  return windows;
}

// The quota that this router has leased of the limits.
Json leases_json(const ReplicationStatus& status) {
  Json leases = Json::array();
  for (const auto& line : status.replication.quota_client().window_statuses()) {
    if (leases.size() >= kMaxEntries) break;
    leases.push_back({{"account", line.key},
                      {"window", line.window},
                      {"limit", in_tokens(line.limit)},
                      {"left", in_tokens(line.available)},
                      {"in_hand", in_tokens(line.unreserved)},
                      {"used", in_tokens(line.used)},
                      {"reserved", in_tokens(line.reserved)}});
  }
  return leases;
}

Json majority_json(const ReplicationStatus& status) {
  const auto& quota_client = status.replication.quota_client();
  Json majority = Json::array();
  for (std::size_t ledger = 0; ledger < quota_client.ledger_count(); ++ledger)
    majority.push_back(quota_client.has_majority(ledger));
  return majority;
}

Json counters_json(const ReplicationStatus& status) {
  const auto& quota = status.replication.quota_client().metrics();
  const auto& messages = status.replication.metrics();
  const auto disk = status.store.metrics();
  return {{"asked", quota.requests},
          {"answered", quota.responses},
          {"refused", quota.rejections},
          {"unanswered", quota.timeouts},
          {"behind", quota.insufficient},
          {"overdrawn", quota.overdrawn},
          {"sessions", quota.new_sessions},
          {"far_clock", quota.clock_rejections},
          {"heard", messages.received},
          {"sent", messages.sent},
          {"sent_bytes", messages.sent_bytes},
          {"unreadable", messages.unreadable},
          {"other_version", messages.other_version},
          {"parcels_lost", status.fragmenter.counters().lost},
          {"disk_batches", disk.batches},
          {"disk_failing", disk.failing}};
}

std::string ledger_text(const Json& ledger) {
  const auto leader = ledger.at("leader").get<std::string>();
  std::string text =
      fmt::format("ledger {}: {}{}, {} of {} entries, led by {}\n", ledger.at("ledger").get<int>(),
                  ledger.at("stage").get<std::string>(), ledger.at("leads").get<bool>() ? " and leads" : "",
                  ledger.at("committed").get<std::uint64_t>(), ledger.at("last").get<std::uint64_t>(),
                  leader.empty() ? "nobody that is known here" : leader);
  for (const auto& member : ledger.at("members")) {
    text += fmt::format("  copy at {}{}\n", member.at("router").get<std::string>(),
                        member.at("votes").get<bool>() ? "" : ", being filled");
  }
  return text;
}

std::string missing_majority_text(std::size_t ledger, const std::string& without_majority) {
  return fmt::format("NO MAJORITY of ledger {} answers: {}\n", ledger,
                     without_majority == "lenient" ? "budgets go on up to their overdraft"
                                                   : "budgets refuse what is not in hand");
}

std::string account_window_text(const Json& window) {
  return fmt::format("{} (window {}): {} left of {}, {} charged, {} in hands, of these {} open\n",
                     window.at("account").get<std::string>(), window.at("window").get<std::int64_t>(),
                     window.at("left").get<double>(), window.at("limit").get<double>(),
                     window.at("charged").get<double>(), window.at("in_hand").get<double>(),
                     window.at("open").get<double>());
}

std::string lease_text(const Json& lease) {
  return fmt::format("here {} (window {}): {} in hand, {} reserved, {} used\n",
                     lease.at("account").get<std::string>(), lease.at("window").get<std::int64_t>(),
                     lease.at("in_hand").get<double>(), lease.at("reserved").get<double>(),
                     lease.at("used").get<double>());
}

}  // namespace

Json status_json(const ReplicationStatus& status) {
  return {{"majority", majority_json(status)}, {"without_majority", status.file.without_majority},
          {"ledgers", ledgers_json(status)},   {"books", account_windows_json(status)},
          {"purse", leases_json(status)},      {"figures", counters_json(status)}};
}

std::string status_text(const ReplicationStatus& status) {
  const Json json = status_json(status);
  std::string text;
  for (const auto& ledger : json.at("ledgers")) text += ledger_text(ledger);
  std::size_t ledger_number = 0;
  for (const auto& has_majority : json.at("majority")) {
    if (!has_majority.get<bool>()) text += missing_majority_text(ledger_number, status.file.without_majority);
    ++ledger_number;
  }
  for (const auto& window : json.at("books")) text += account_window_text(window);
  for (const auto& lease : json.at("purse")) text += lease_text(lease);
  return text;
}

}  // namespace thornwick::node
