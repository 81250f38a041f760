#include "node/replication_status.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace thornwick::node {
namespace {

using Json = nlohmann::ordered_json;
using budgets::in_tokens;

constexpr std::size_t kMaxAccounts = 64;  // in each list of a status

std::string_view name_of(replication::Stage stage) {
  // In the order of Stage.
  static constexpr std::string_view names[] = {"blank", "founding", "entering", "member"};
  return names[static_cast<int>(stage)];
}

// ---------------------------------------------------------------- JSON

Json members_json(const replication::LedgerReplica& replica) {
  Json members = Json::array();
  if (replica.consensus() == nullptr) return members;
  for (const auto& member : replica.consensus()->members())
    members.push_back({{"router", member.name}, {"copy", member.id}, {"votes", member.is_voter}});
  return members;
}

Json wanted_json(const replication::LedgerReplica& replica, const membership::Roster& roster) {
  Json wanted = Json::array();
  for (const std::size_t member : replica.placed_members()) wanted.push_back(roster.at(member).name);
  return wanted;
}

Json ledger_json(std::size_t number, const replication::LedgerReplica& replica,
                 const membership::Roster& roster) {
  const auto* consensus = replica.consensus();
  return {{"ledger", number},
          {"stage", name_of(replica.stage())},
          {"leads", replica.is_leader()},
          {"leader", replica.leader_name()},
          {"copy", replica.process().id},
          {"start", replica.process().start_number},
          {"was_older", replica.discarded_disk()},
          {"committed", consensus != nullptr ? consensus->commit_index() : 0},
          {"last", consensus != nullptr ? consensus->last_index() : 0},
          {"members", members_json(replica)},
          {"wanted", wanted_json(replica, roster)},
          {"accounts", replica.ledger().accounts().size()},
          {"sessions", replica.ledger().sessions().size()}};
}

Json ledgers_json(const ReplicationStatus& status) {
  Json ledgers = Json::array();
  for (const auto& [number, replica] : status.replication.replicas())
    ledgers.push_back(ledger_json(number, *replica, status.roster));
  return ledgers;
}

// Granted to sessions that have expired, and not reported as used.
budgets::Units expired_units(const replication::Ledger& ledger, const replication::WindowLedger& window) {
  budgets::Units units = 0;
  for (const auto& [session, lease] : window.leases) {
    const auto state = ledger.sessions().find(session);
    const bool expired = state == ledger.sessions().end() || state->second.expired;
    if (expired) units += std::max<budgets::Units>(0, lease.granted - lease.used);
  }
  return units;
}

void add_account_windows(std::size_t number, const replication::Ledger& ledger, Json& windows) {
  for (const auto& [key, account] : ledger.accounts()) {
    for (const auto& [window, state] : account.windows) {
      if (windows.size() >= kMaxAccounts) return;
      windows.push_back({{"ledger", number},
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
  for (const auto& [number, replica] : status.replication.replicas())
    add_account_windows(number, replica->ledger(), windows);
  return windows;
}

// The quota that this router has leased of the limits.
Json holds_json(const ReplicationStatus& status) {
  Json holds = Json::array();
  for (const auto& line : status.replication.quota_client().window_statuses()) {
    if (holds.size() >= kMaxAccounts) break;
    holds.push_back({{"account", line.key},
                     {"window", line.window},
                     {"limit", in_tokens(line.limit)},
                     {"left", in_tokens(line.available)},
                     {"in_hand", in_tokens(line.unreserved)},
                     {"used", in_tokens(line.used)},
                     {"reserved", in_tokens(line.reserved)}});
  }
  return holds;
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

// ---------------------------------------------------------------- text

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

std::string hold_text(const Json& hold) {
  return fmt::format("here {} (window {}): {} in hand, {} reserved, {} used\n",
                     hold.at("account").get<std::string>(), hold.at("window").get<std::int64_t>(),
                     hold.at("in_hand").get<double>(), hold.at("reserved").get<double>(),
                     hold.at("used").get<double>());
}

}  // namespace

Json status_json(const ReplicationStatus& status) {
  return {{"majority", majority_json(status)}, {"without_majority", status.file.without_majority},
          {"ledgers", ledgers_json(status)},   {"books", account_windows_json(status)},
          {"purse", holds_json(status)},       {"figures", counters_json(status)}};
}

std::string status_text(const ReplicationStatus& status) {
  const Json json = status_json(status);
  std::string text;
  for (const auto& ledger : json.at("ledgers")) text += ledger_text(ledger);
  std::size_t number = 0;
  for (const auto& has_majority : json.at("majority")) {
    if (!has_majority.get<bool>()) text += missing_majority_text(number, status.file.without_majority);
    ++number;
  }
  for (const auto& window : json.at("books")) text += account_window_text(window);
  for (const auto& hold : json.at("purse")) text += hold_text(hold);
  return text;
}

}  // namespace thornwick::node
