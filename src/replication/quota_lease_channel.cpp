// The quota lease client's lease requests to the ledgers, and their responses.
#include <algorithm>
#include <utility>

#include "replication/quota_lease_client.hpp"

namespace thornwick::replication {
namespace {

constexpr std::size_t kMaxLines = 64;  // lines of a lease request
constexpr std::size_t kMaxWindowsPerAccount = 3;
constexpr std::size_t kUnchangedAccounts = 16;  // accounts that each lease request names in turn
constexpr int kRenewalsPerLease = 3;            // renewals of a lease before it would expire
// A lease of the next window is requested this long before a window ends, or in the last quarter of a shorter
// window.
constexpr Time kNextWindowAhead = seconds(5);
constexpr int kNextWindowDivisor = 4;
// While the leader is not known, the next request follows after a quarter of the response timeout.
constexpr int kLeaderSearchDivisor = 4;

}  // namespace

// Prepares the windows that the next request names: the current window, the next window shortly before it
// begins, and the previous window if it has reservations or unreported use.
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
    const bool is_settled = lease.reserved == 0 && lease.reported_use == lease.used;
    return window < current - 1 || (window < current && is_settled);
  });
}

bool QuotaLeaseClient::should_report(const Account& account) const {
  return is_leaving_ || account.needs_report ||
         std::any_of(account.leases.begin(), account.leases.end(),
                     [](const auto& window_and_lease) { return !window_and_lease.second.has_response; });
}

// Describes one window of an account for a lease request. An account without reservations for the duration of
// a lease gives scarce quota back, and a small excess of quota that is not scarce is kept.
LeaseRequestLine QuotaLeaseClient::request_line(Account& account, std::int64_t window,
                                                HeldLease& lease) const {
  const bool is_past = !is_bucket_rule(account) && window < window_of(account, now_);
  const bool is_idle = account.reserved_at != 0 && now_ - account.reserved_at > options_.lease_duration;
  const bool is_scarce = lease.has_response && lease.available < max_prefetch(account);
  Units target = 0;
  if (!is_past && !(is_idle && is_scarce)) target = std::max(target_unreserved(account), account.required);
  const bool has_small_excess = lease.unreserved() > target && lease.unreserved() <= 2 * target;
  if (!is_past && !is_scarce && has_small_excess) target = lease.unreserved();

  LeaseRequestLine line = describe(account, window);
  line.used = lease.used;
  line.requested = is_leaving_ ? 0 : lease.reserved + target;
  line.need = lease.reserved + std::max(account.required, is_past ? 0 : account.typical_request);
  lease.granted = std::min(lease.granted, lease.used + lease.reserved + target);
  lease.used_in_flight = lease.used;
  lease.requested_at = now_;
  return line;
}

void QuotaLeaseClient::add_account(AccountIndex place, Channel& channel, LeaseRequest& request) {
  Account& account = accounts_[place];
  for (auto& [window, lease] : account.leases) {
    request.lines.push_back(request_line(account, window, lease));
    channel.requested_windows.push_back({place, window});
  }
  account.needs_report = false;
  account.used_since_request = 0;
}

void QuotaLeaseClient::request_leases(std::size_t ledger) {
  Channel& channel = channels_[ledger];
  ++channel.request_number;
  channel.is_urgent = false;
  channel.requested_windows.clear();
  LeaseRequest request{.session = session_of(options_.roster->id_of(options_.self), channel.instance_id),
                       .number = channel.request_number,
                       .begins_session = channel.is_new,
                       .ends_session = is_leaving_,
                       .lines = {}};
  for (std::size_t i = 0; i < channel.accounts.size(); ++i) {
    if (request.lines.size() + kMaxWindowsPerAccount > kMaxLines) break;
    const AccountIndex place = channel.accounts[channel.account_counter % channel.accounts.size()];
    ++channel.account_counter;
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
  const std::size_t member = channel.replica_routers[channel.target_counter % channel.replica_routers.size()];
  dependencies_.send(member, write(MessageKind::lease_request, ledger, request));
}

// Handles the response to the latest request. Ignores a response to an earlier one, which the latest has
// replaced.
void QuotaLeaseClient::on_response(std::size_t ledger, const LeaseResponse& response) {
  Channel& channel = channels_[ledger];
  if (!channel.is_waiting || response.number != channel.request_number) return;
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

// Extends the lease. Its duration counts from the sending of the request, by this router's clock.
void QuotaLeaseClient::renew_lease(std::size_t ledger, Channel& channel) {
  if (!channel.has_majority) {
    dependencies_.write_log(Severity::info,
                            "a majority of the replicas of ledger " + std::to_string(ledger) + " answers");
    for (const AccountIndex place : channel.accounts) accounts_[place].overdrawn = 0;
  }
  channel.has_majority = true;
  const double safe_fraction = 1 - options_.max_clock_drift;
  channel.lease_until =
      channel.sent_at + static_cast<Time>(static_cast<double>(options_.lease_duration) * safe_fraction);
  channel.due_at = channel.is_urgent ? std::max(now_, channel.sent_at + kMinRequestInterval)
                                     : now_ + options_.lease_duration / kRenewalsPerLease;
}

void QuotaLeaseClient::apply_response_line(const RequestedWindow& requested, const LeaseResponseLine& line) {
  Account& account = accounts_[requested.place];
  const auto found = account.leases.find(requested.window);
  if (found == account.leases.end()) return;
  HeldLease& lease = found->second;
  lease.granted = line.granted;
  lease.available = line.available;
  lease.reported_use = line.known ? lease.used_in_flight : lease.used;
  lease.has_response = true;
  const bool has_enough = lease.unreserved() >= account.required;
  const bool can_have_enough = lease.available + lease.unreserved() >= account.required;
  if (has_enough || !can_have_enough) account.required = 0;
  const bool can_fill = lease.available >= target_unreserved(account) && is_low(account, lease);
  if (account.required > 0 || can_fill) request_update(requested.place, Urgency::at_once);
}

// Begins a new session, because the ledger does not have the old one. The ledger charges the old session's
// unused lease, and use that is settled later counts in the new session.
void QuotaLeaseClient::begin_session(Channel& channel) {
  ++metrics_.new_sessions;
  channel.instance_id += static_cast<std::uint32_t>(channels_.size());
  channel.request_number = 0;
  channel.is_new = true;
  channel.lease_until = 0;
  channel.due_at = now_;
  for (const AccountIndex place : channel.accounts) {
    for (auto& [window, lease] : accounts_[place].leases) {
      lease.granted = 0;
      lease.used = 0;
      lease.reported_use = 0;
      lease.used_in_flight = 0;
      lease.has_response = false;
    }
    accounts_[place].needs_report = true;
  }
  next_ = std::min(next_, now_);
}

void QuotaLeaseClient::on_timeout(Channel& channel) {
  channel.is_waiting = false;
  for (const RequestedWindow& requested : channel.requested_windows)
    accounts_[requested.place].needs_report = true;
  ++channel.target_counter;
  if (!channel.has_majority || now_ < channel.lease_until) return;
  channel.has_majority = false;
  const std::string consequence = options_.overdraft_fraction > 0
                                      ? "budgets are granted up to their overdraft"
                                      : "no budget is granted until a majority answers";
  dependencies_.write_log(Severity::warning, "no majority of the replicas answers: " + consequence);
}

void QuotaLeaseClient::on_rejected(std::size_t ledger, const LeaseRejection& rejected) {
  Channel& channel = channels_[ledger];
  if (!channel.is_waiting || rejected.number != channel.request_number) return;
  ++metrics_.rejections;
  if (rejected.clock_ahead) ++metrics_.clock_rejections;
  on_timeout(channel);
  update_replica_routers(channel, rejected);
  const bool knows_leader = options_.roster->find(rejected.leader) != options_.roster->size();
  channel.due_at =
      now_ + (knows_leader ? kMinRequestInterval : options_.response_timeout / kLeaderSearchDivisor);
}

// Takes over the replicas that the rejection names. The next request goes to the leader if the sender of the
// rejection knows the leader.
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
  channel.target_counter = static_cast<std::size_t>(found - channel.replica_routers.begin());
  if (found == channel.replica_routers.end()) channel.replica_routers.push_back(leader);
}

}  // namespace thornwick::replication
