#include "emulator/replication_clients.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace thornwick::emulator {
namespace {

using budgets::Units;
using replication::QuotaLeaseClient;

constexpr double kMeanUnits = 6600;  // mean number of units that a request uses
constexpr Units kMinReserved = 4000;
constexpr std::size_t kReservedSpread = 14'000;
constexpr double kFastestClock = 1.01;
constexpr double kLoadedAccounts = 3;
constexpr std::uint64_t kShownIds = 1000;  // ids are logged modulo this

Time from_seconds(double seconds) { return static_cast<Time>(1e6 * seconds); }

}  // namespace

ReplicationClients::ReplicationClients(ReplicationCluster& cluster)
    : cluster_(cluster), random_(cluster.options().seed, StreamPurpose::arrivals) {}

void ReplicationClients::start() {
  for (std::size_t i = 0; i < cluster_.size(); ++i) schedule_request(i);
}

void ReplicationClients::schedule_request(std::size_t router) {
  const double units_per_s =
      cluster_.options().demand * static_cast<double>(kWindowLimit) * kLoadedAccounts / 60;
  const double mean_s = kMeanUnits * static_cast<double>(cluster_.size()) / units_per_s;
  cluster_.schedule(cluster_.now() + from_seconds(random_.exponential(mean_s)), [this, router] {
    send_request(router);
    schedule_request(router);
  });
}

void ReplicationClients::send_request(std::size_t router) {
  if (!cluster_.running(router)) return;
  Grant grant;
  grant.router = router;
  grant.epoch = cluster_.epoch(router);
  grant.account = random_.below(cluster_.accounts().size() - 1);  // the last one is for corrections
  grant.reserved = kMinReserved + static_cast<Units>(random_.below(kReservedSpread));
  grant.used = static_cast<Units>(static_cast<double>(grant.reserved) * random_.between(0.2, 1));
  grant.reserved_at = cluster_.local_time(router);
  replication::ReplicationNode& node = cluster_.node(router);
  const bool granted = node.quota_client().reserve(static_cast<QuotaLeaseClient::AccountIndex>(grant.account),
                                                   grant.reserved, grant.reserved_at);
  node.deliver_to_self(grant.reserved_at);
  if (!granted) {
    ++cluster_.result().rejected;
    return;
  }
  ++cluster_.result().granted;
  const Account& account = cluster_.accounts()[grant.account];
  const bool bucket = account.rule.kind == budgets::LimitKind::bucket;
  count(account, bucket ? 0 : grant.reserved_at / kWindow, grant.used);
  cluster_.schedule(cluster_.now() + from_seconds(random_.between(0.05, 4)),
                    [this, grant] { settle(grant); });
}

void ReplicationClients::settle(const Grant& grant) {
  if (cluster_.epoch(grant.router) != grant.epoch) return;
  if (cluster_.suspended(grant.router)) return cluster_.defer(grant.router, [this, grant] { settle(grant); });
  cluster_.node(grant.router)
      .quota_client()
      .settle(static_cast<QuotaLeaseClient::AccountIndex>(grant.account), grant.reserved, grant.used,
              grant.reserved_at, cluster_.local_time(grant.router));
}

void ReplicationClients::count(const Account& account, std::int64_t window, Units used) {
  Units& total = used_[{account.key, window}];
  total += used;
  if (account.rule.kind == budgets::LimitKind::bucket) return count_in_bucket(account, used);
  const auto overdraft = static_cast<Units>(cluster_.options().overdraft_fraction * kWindowLimit);
  if (total > kWindowLimit + overdraft * static_cast<Units>(cluster_.size())) {
    cluster_.report_violation(fmt::format("{}, window {}: {} granted, the limit is {}", account.key, window,
                                          total,
                                          kWindowLimit + overdraft * static_cast<Units>(cluster_.size())));
  }
}

void ReplicationClients::count_in_bucket(const Account& account, Units used) {
  const double elapsed_s = static_cast<double>(cluster_.now() - bucket_at_) / 1e6;
  bucket_ = std::min<double>(kBucketBurst, bucket_ + elapsed_s * kBucketRefillPerSecond * kFastestClock);
  bucket_at_ = cluster_.now();
  bucket_ -= static_cast<double>(used);
  const double overdraft =
      cluster_.options().overdraft_fraction * kBucketBurst * static_cast<double>(cluster_.size());
  if (bucket_ < -1 - overdraft)
    cluster_.report_violation(fmt::format("{}: {:.0f} beyond burst and refill", account.key, -bucket_));
}

budgets::Units ReplicationClients::used(const std::string& account, std::int64_t window) const {
  const auto found = used_.find({account, window});
  return found == used_.end() ? 0 : found->second;
}

void ReplicationClients::send_correction(std::size_t router) {
  if (!cluster_.running(router)) return;
  auto& client = cluster_.node(router).quota_client();
  const auto line = client.describe_account(kCorrectedAccount, cluster_.local_time(router));
  const replication::Correction correction{cluster_.random().bits() | 1, false, -kCorrectionUnits, *line};
  ++cluster_.result().corrections;
  client.correct(cluster_.local_time(router), correction,
                 [this, id = correction.id](const replication::OperatorOutcome& outcome) {
                   const bool confirmed = outcome.status == replication::OperatorOutcome::Status::accepted;
                   cluster_.write_log(fmt::format("correction {}: {} {}", id % kShownIds,
                                                  confirmed ? "yes" : "no", outcome.reason));
                   if (!confirmed) return;
                   confirmed_.insert(id);
                   ++cluster_.result().confirmed_corrections;
                 });
}

}  // namespace thornwick::emulator
