// The quota lease client's lease requests to the ledgers, and their responses.
#include <algorithm>
#include <utility>

#include "replication/quota_lease_client.hpp"

namespace thornwick::replication {
namespace {

constexpr std::size_t kMostLines = 64;          // of a lease request
constexpr std::size_t kMostWindows = 3;         // of an account
constexpr std::size_t kUnchangedAccounts = 16;  // reported in turn with each lease request
constexpr int kRenewals = 3;                    // of a lease, before it expires
// A lease of the next window is drawn this long before a window ends, or for the last quarter of a shorter
// window.
constexpr Time kNextWindowAhead = seconds(5);
constexpr int kNextWindowDivisor = 4;
// While the leader is not known, requests follow each other in a quarter of the response timeout.
constexpr int kLeaderSearchDivisor = 4;

}  // namespace

// ---------------------------------------------------------------- requests

// Prepares the windows that the next request names: the current window, the next one shortly before it
// begins, and past ones with reservations or with use that is not reported yet.
void QuotaLeaseClient::prepare_windows(Account& account) const {
  const std::int64_t current = window_of(account, now_);
  account.leases.try_emplace(current);
  if (!is_bucket_rule(account)) {
    const Time length = budgets::window_length(account.rule.kind);
    const Time remaining = length - now_ % length;
    if (remaining < std::min(kNextWindowAhead, length / kNextWindowDivisor)) {
      account.leases.try_emplace(current + 1);
    }
  }
  std::erase_if(account.leases, [current](const auto& window_and_lease) {
    const auto& [window, lease] = window_and_lease;
    const bool is_settled = lease.reserved == 0 && lease.reported == lease.used;
    return window < current - 1 || (window < current && is_settled);
  });
}

bool QuotaLeaseClient::should_report(const Account& account) const {
  return is_leaving_ || account.is_changed ||
         std::any_of(account.leases.begin(), account.leases.end(),
                     [](const auto& window_and_lease) { return !window_and_lease.second.known; });
}

// An account without requests for the time of a lease gives scarce quota back, except for its next request. A
// small excess is kept.
LeaseRequestLine QuotaLeaseClient::request_line(Account& account, std::int64_t window,
                                                HeldLease& lease) const {
  const bool is_past = !is_bucket_rule(account) && window < window_of(account, now_);
  const bool is_idle = account.reserved_at != 0 && now_ - account.reserved_at > options_.lease_duration;
  const bool is_scarce = lease.known && lease.available < block_of(account);
  Units in_hand = 0;
  if (!is_past && !(is_idle && is_scarce)) in_hand = std::max(target_in_hand(account), account.need);
  const bool is_little_more = lease.unreserved() > in_hand && lease.unreserved() <= 2 * in_hand;
  if (!is_past && !is_scarce && is_little_more) in_hand = lease.unreserved();

  LeaseRequestLine line = describe(account, window);
  line.used = lease.used;
  line.requested = is_leaving_ ? 0 : lease.reserved + in_hand;
  line.need = lease.reserved + std::max(account.need, is_past ? 0 : account.typical_request);
  lease.granted = std::min(lease.granted, lease.used + lease.reserved + in_hand);
  lease.reporting = lease.used;
  lease.requested_at = now_;
  return line;
}

void QuotaLeaseClient::add_account(AccountIndex place, Channel& channel, LeaseRequest& request) {
  Account& account = accounts_[place];
  for (auto& [window, lease] : account.leases) {
    request.lines.push_back(request_line(account, window, lease));
    channel.requested_windows.push_back({place, window});
  }
  account.is_changed = false;
  account.used_since_request = 0;
}

void QuotaLeaseClient::request_leases(std::size_t ledger) {
  Channel& channel = channels_[ledger];
  ++channel.number;
  channel.is_urgent = false;
  channel.requested_windows.clear();
  LeaseRequest request{.session = session_of(options_.roster->id_of(options_.self), channel.instance_id),
                       .number = channel.number,
                       .begins_session = channel.is_new,
                       .ends_session = is_leaving_,
                       .lines = {}};
  for (std::size_t i = 0; i < channel.accounts.size(); ++i) {
    if (request.lines.size() + kMostWindows > kMostLines) break;
    const AccountIndex place = channel.accounts[channel.next_account % channel.accounts.size()];
    ++channel.next_account;
    prepare_windows(accounts_[place]);
    if (i < kUnchangedAccounts || should_report(accounts_[place])) add_account(place, channel, request);
  }
  send_request(ledger, request);
}

void QuotaLeaseClient::send_request(std::size_t ledger, const LeaseRequest& request) {
  Channel& channel = channels_[ledger];
  channel.is_waiting = true;
  channel.sent_at = now_;
  channel.due_at = now_ + options_.response_timeout;
  ++metrics_.requests;
  if (channel.replica_routers.empty()) return;
  const std::size_t member = channel.replica_routers[channel.target % channel.replica_routers.size()];
  dependencies_.send(member, write(MessageKind::lease_request, ledger, request));
}

// ---------------------------------------------------------------- responses

// Ignores a response to an earlier request, which the current one has replaced.
void QuotaLeaseClient::on_response(std::size_t ledger, const LeaseResponse& response) {
  Channel& channel = channels_[ledger];
  if (!channel.is_waiting || response.number != channel.number) return;
  channel.is_waiting = false;
  channel.has_left = is_leaving_;
  if (channel.has_left) return;
  if (response.unknown_session || response.lines.size() != channel.requested_windows.size()) {
    begin_session(channel);
    return;
  }
  ++metrics_.responses;
  channel.is_new = false;
  renew_lease(ledger, channel);
  for (std::size_t i = 0; i < channel.requested_windows.size(); ++i) {
    apply_response_line(channel.requested_windows[i], response.lines[i]);
  }
}

// The duration of a lease counts from the sending of its request, by this router's clock.
void QuotaLeaseClient::renew_lease(std::size_t ledger, Channel& channel) {
  if (!channel.has_majority) {
    dependencies_.write_log(Severity::info,
                            "a majority of the replicas of ledger " + std::to_string(ledger) + " answers");
    for (const AccountIndex place : channel.accounts) accounts_[place].overdrawn = 0;
  }
  channel.has_majority = true;
  const double safe_part = 1 - options_.max_clock_drift;
  channel.lease_until =
      channel.sent_at + static_cast<Time>(static_cast<double>(options_.lease_duration) * safe_part);
  channel.due_at = channel.is_urgent ? std::max(now_, channel.sent_at + kMinRequestInterval)
                                     : now_ + options_.lease_duration / kRenewals;
}

void QuotaLeaseClient::apply_response_line(const RequestedWindow& requested, const LeaseResponseLine& line) {
  Account& account = accounts_[requested.place];
  const auto found = account.leases.find(requested.window);
  if (found == account.leases.end()) return;
  HeldLease& lease = found->second;
  lease.granted = line.granted;
  lease.available = line.available;
  lease.reported = line.known ? lease.reporting : lease.used;
  lease.known = true;
  const bool has_enough = lease.unreserved() >= account.need;
  const bool can_have_enough = lease.available + lease.unreserved() >= account.need;
  if (has_enough || !can_have_enough) account.need = 0;
  const bool can_fill = lease.available >= target_in_hand(account) && is_short(account, lease);
  if (account.need > 0 || can_fill) request_update(requested.place, Urgency::at_once);
}

// The ledger charges the old session's unused lease. Use that is settled later counts in the new session.
void QuotaLeaseClient::begin_session(Channel& channel) {
  ++metrics_.new_sessions;
  channel.instance_id += static_cast<std::uint32_t>(channels_.size());
  channel.number = 0;
  channel.is_new = true;
  channel.lease_until = 0;
  channel.due_at = now_;
  for (const AccountIndex place : channel.accounts) {
    for (auto& [window, lease] : accounts_[place].leases) {
      lease.granted = 0;
      lease.used = 0;
      lease.reported = 0;
      lease.reporting = 0;
      lease.known = false;
    }
    accounts_[place].is_changed = true;
  }
  next_ = std::min(next_, now_);
}

void QuotaLeaseClient::on_timeout(Channel& channel) {
  channel.is_waiting = false;
  for (const RequestedWindow& requested : channel.requested_windows)
    accounts_[requested.place].is_changed = true;
  ++channel.target;
  if (!channel.has_majority || now_ < channel.lease_until) return;
  channel.has_majority = false;
  const std::string consequence = options_.overdraft_fraction > 0
                                      ? "budgets are granted up to their overdraft"
                                      : "budgets are granted only from what is reserved here";
  dependencies_.write_log(Severity::warning, "no majority of the replicas answers: " + consequence);
}

void QuotaLeaseClient::on_rejected(std::size_t ledger, const LeaseRejection& rejected) {
  Channel& channel = channels_[ledger];
  if (!channel.is_waiting || rejected.number != channel.number) return;
  ++metrics_.rejections;
  if (rejected.clock_ahead) ++metrics_.clock_rejections;
  on_timeout(channel);
  update_replica_routers(channel, rejected);
  const bool knows_leader = options_.roster->find(rejected.leader) != options_.roster->size();
  channel.due_at =
      now_ + (knows_leader ? kMinRequestInterval : options_.response_timeout / kLeaderSearchDivisor);
}

// Sends the next request to the leader, if the sender of the rejection knows it.
void QuotaLeaseClient::update_replica_routers(Channel& channel, const LeaseRejection& rejected) const {
  const membership::Roster& roster = *options_.roster;
  std::vector<std::size_t> replica_routers;
  for (const std::string& name : rejected.replica_routers) {
    const std::size_t member = roster.find(name);
    if (member != roster.size()) replica_routers.push_back(member);
  }
  if (!replica_routers.empty()) channel.replica_routers = std::move(replica_routers);
  const std::size_t leader = roster.find(rejected.leader);
  if (leader == roster.size()) return;
  const auto found = std::find(channel.replica_routers.begin(), channel.replica_routers.end(), leader);
  channel.target = static_cast<std::size_t>(found - channel.replica_routers.begin());
  if (found == channel.replica_routers.end()) channel.replica_routers.push_back(leader);
}

}  // namespace thornwick::replication
