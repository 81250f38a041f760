#include "emulator/replication_checks.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace thornwick::emulator {
namespace {

constexpr std::uint64_t kMaxLag = 50;  // maximum number of committed entries that a replica may lack
constexpr double kSaturatingDemand =
    1.2;                            // multiple of the limits above which clients use all that is granted
constexpr double kMinUsable = 0.8;  // fraction of a limit

std::string check_members(const ReplicationCluster& cluster, const replication::LedgerReplica& leader,
                          std::size_t ledger) {
  const auto members = leader.consensus()->members();
  for (const auto& member : members) {
    const auto* replica = cluster.replica_at(cluster.roster().find(member.name), ledger);
    if (replica == nullptr || !member.is_voter || replica->process().id != member.id)
      return fmt::format("ledger {}: {} is not filled", ledger, member.name);
    if (replica->consensus()->commit_index() + kMaxLag < leader.consensus()->commit_index())
      return fmt::format("ledger {}: {} lags", ledger, member.name);
  }
  if (members.size() != cluster.options().replicas)
    return fmt::format("ledger {} has {} members", ledger, members.size());
  return {};
}

// Checks that an account contains all that clients used.
template <typename LedgerAccount>
std::string check_usage(const ReplicationClients& clients, const std::string& key,
                        const LedgerAccount& account) {
  if (account.span == 0) return {};  // an account of kind bucket has no windows
  for (const auto& [window, usage] : account.windows) {
    const auto used = clients.used(key, window);
    if (usage.charged + usage.leased() < used) {
      return fmt::format("{}, window {}: {} used, {} in the books", key, window, used,
                         usage.charged + usage.leased());
    }
  }
  return {};
}

// Checks that an account contains each confirmed correction once, and no correction that was not sent.
template <typename LedgerAccount>
std::string check_corrections(ReplicationCluster& cluster, const ReplicationClients& clients,
                              const LedgerAccount& account) {
  if (account.windows.empty()) return {};
  const auto units = -account.windows.begin()->second.correction_sum;
  const auto corrections = static_cast<std::size_t>(units / ReplicationClients::kCorrectionUnits);
  if (corrections >= clients.confirmed_corrections().size() && corrections <= cluster.result().corrections)
    return {};
  return fmt::format("{} corrections were confirmed, {} asked for, {} hold",
                     clients.confirmed_corrections().size(), cluster.result().corrections, corrections);
}

std::string check_accounts(ReplicationCluster& cluster, const ReplicationClients& clients,
                           const replication::LedgerReplica& leader, std::size_t ledger) {
  if (auto violation = leader.ledger().invariant_violation(); !violation.empty()) return violation;
  for (const auto& [key, account] : leader.ledger().accounts()) {
    if (auto violation = check_usage(clients, key, account); !violation.empty()) return violation;
    if (key != kCorrectedAccount) continue;
    if (auto violation = check_corrections(cluster, clients, account); !violation.empty()) return violation;
  }
  if (ledger != replication::ledger_of(kCorrectedAccount, cluster.options().ledgers)) return {};
  for (const auto id : clients.confirmed_corrections()) {
    if (!leader.ledger().has_applied(id)) return "a confirmed correction is gone";
  }
  return {};
}

std::string check_ledger(ReplicationCluster& cluster, const ReplicationClients& clients, std::size_t ledger) {
  const auto router = cluster.leader_of(ledger);
  if (!router) return fmt::format("ledger {} has no leader at the end", ledger);
  const auto& leader = *cluster.replica_at(*router, ledger);
  if (auto violation = check_members(cluster, leader, ledger); !violation.empty()) return violation;
  return check_accounts(cluster, clients, leader, ledger);
}

std::string check_usable_fraction(ReplicationCluster& cluster, const ReplicationClients& clients,
                                  std::int64_t window) {
  if (cluster.options().demand <= kSaturatingDemand) return {};
  double& usable_fraction = cluster.result().usable_fraction;
  for (const auto* key : {"minute|a", "minute|b"})
    usable_fraction =
        std::min(usable_fraction, static_cast<double>(clients.used(key, window)) / kWindowLimit);
  if (usable_fraction >= kMinUsable) return {};
  return fmt::format("{:.2f} of a limit could be used in a window without faults", usable_fraction);
}

}  // namespace

std::string check_final_state(ReplicationCluster& cluster, const ReplicationClients& clients,
                              std::int64_t window) {
  for (std::size_t ledger = 0; ledger < cluster.options().ledgers; ++ledger) {
    if (auto violation = check_ledger(cluster, clients, ledger); !violation.empty()) return violation;
  }
  return check_usable_fraction(cluster, clients, window);
}

}  // namespace thornwick::emulator
