// The quota lease client's accounts (reservations and their settlement), and its events.
#include "replication/quota_lease_client.hpp"

#include <algorithm>
#include <utility>

namespace thornwick::replication {
namespace {

// An account is not requested at once again within this time after a request that the ledger could not fill.
constexpr Time kRetryAfterShortage = milliseconds(500);
// The minimum retry_after for clients while a lease request is in flight.
constexpr Time kMinRetryAfterLease = seconds(1);
// With each request the typical request decays by its own value divided by this number.
constexpr Units kTypicalDecayDivisor = 16;

}  // namespace

QuotaLeaseClient::QuotaLeaseClient(QuotaLeaseOptions options, Dependencies dependencies, Time now)
    : options_(std::move(options)),
      dependencies_(std::move(dependencies)),
      now_(now),
      channels_(options_.ledger_count) {
  for (std::size_t ledger = 0; ledger < channels_.size(); ++ledger) {
    Channel& channel = channels_[ledger];
    channel.replica_routers = place_replicas(*options_.roster, ledger, options_.replica_count);
    channel.target_counter = options_.self % std::max<std::size_t>(1, channel.replica_routers.size());
    channel.instance_id = options_.instance_id + static_cast<std::uint32_t>(ledger);
  }
}

std::int64_t QuotaLeaseClient::window_of(const Account& account, Time wall) {
  return is_bucket_rule(account) ? 0 : wall / budgets::window_length(account.rule.kind);
}

Units QuotaLeaseClient::max_prefetch(const Account& account) const {
  const double max_units = static_cast<double>(account.rule.amount) * options_.max_prefetch_fraction;
  return std::max<Units>(1, static_cast<Units>(max_units));
}

// The quota to lease ahead of need: a typical request, and twice the use since the latest lease request. The
// sum is at most max_prefetch(), unless a typical request needs more.
Units QuotaLeaseClient::target_unreserved(const Account& account) const {
  const Units max_units = max_prefetch(account);
  const Units typical = account.typical_request > 0 ? account.typical_request : max_units / 2;
  return std::max(typical, std::min(max_units, typical + 2 * account.used_since_request));
}

bool QuotaLeaseClient::is_low(const Account& account, const HeldLease& lease) const {
  return lease.unreserved() < target_unreserved(account) / 2;
}

QuotaLeaseClient::AccountIndex QuotaLeaseClient::open(const std::string& key,
                                                      const budgets::LimitRule& rule) {
  const auto place = static_cast<AccountIndex>(accounts_.size());
  Account& account = accounts_.emplace_back();
  account.key = key;
  account.rule = rule;
  account.ledger = ledger_of(key, channels_.size());
  channels_[account.ledger].accounts.push_back(place);
  request_update(place, Urgency::at_once);
  return place;
}

void QuotaLeaseClient::change(AccountIndex place, const budgets::LimitRule& rule) {
  Account& account = accounts_.at(place);
  if (rule.kind != account.rule.kind) account.leases.clear();
  account.rule = rule;
  request_update(place, Urgency::at_once);
}

// This router ends a lease a little earlier than the replicas do, because the rates of their clocks may
// differ: this router stops using the lease before a replica may expire it.
bool QuotaLeaseClient::is_within_lease(const Channel& channel) const {
  return now_ < channel.lease_until || options_.use_expired_leases;
}

// While a request is in flight, the next one is sent right after its response.
void QuotaLeaseClient::request_update(AccountIndex place, Urgency urgency) {
  Account& account = accounts_[place];
  account.needs_report = true;
  if (urgency != Urgency::at_once) return;
  Channel& channel = channels_[account.ledger];
  channel.is_urgent = true;
  if (!channel.is_waiting) {
    channel.due_at = std::min(channel.due_at, std::max(now_, channel.sent_at + kMinRequestInterval));
  }
  next_ = std::min(next_, channel.due_at);
}

bool QuotaLeaseClient::reserve(AccountIndex place, Units units, Time wall) {
  now_ = std::max(now_, wall);
  Account& account = accounts_.at(place);
  const Channel& channel = channels_[account.ledger];
  HeldLease& lease = account.leases[window_of(account, wall)];
  const Units decayed = account.typical_request - account.typical_request / kTypicalDecayDivisor;
  account.typical_request = std::max(units, decayed);
  account.reserved_at = now_;
  if (lease.unreserved() >= units && is_within_lease(channel)) {
    lease.reserved += units;
    if (is_low(account, lease)) request_update(place, Urgency::at_once);
    return true;
  }
  ++metrics_.insufficient;
  account.required = std::max(account.required, units);
  // A ledger that had too little quota a moment ago is unlikely to have more now.
  const bool was_insufficient = lease.has_response && lease.available + lease.unreserved() < units;
  const bool was_requested_recently = now_ - lease.requested_at < kRetryAfterShortage;
  request_update(place,
                 was_insufficient && was_requested_recently ? Urgency::with_next_request : Urgency::at_once);
  return reserve_overdraft(channel, account, lease, units);
}

// While no majority responds, the operator may allow use beyond the leases.
bool QuotaLeaseClient::reserve_overdraft(const Channel& channel, Account& account, HeldLease& lease,
                                         Units units) {
  const auto requested = static_cast<double>(units);
  const double max_overdraft = options_.overdraft_fraction * static_cast<double>(account.rule.amount);
  if (channel.has_majority || account.overdrawn + requested > max_overdraft) return false;
  account.overdrawn += requested;
  ++metrics_.overdrawn;
  lease.reserved += units;
  return true;
}

void QuotaLeaseClient::settle(AccountIndex place, Units reserved, Units used, Time at, Time wall) {
  now_ = std::max(now_, wall);
  Account& account = accounts_.at(place);
  const auto found = account.leases.find(window_of(account, at));
  if (found == account.leases.end()) return;  // the window has long passed
  HeldLease& lease = found->second;
  lease.reserved = std::max<Units>(0, lease.reserved - reserved);
  lease.used = budgets::saturating_sum(lease.used, used);
  account.used_since_request = budgets::saturating_sum(account.used_since_request, used);
  request_update(place, is_low(account, lease) ? Urgency::at_once : Urgency::with_next_request);
}

QuotaLeaseClient::QuotaStatus QuotaLeaseClient::quota_status(AccountIndex place, Units requested, Time wall) {
  const Account& account = accounts_.at(place);
  const auto found = account.leases.find(window_of(account, wall));
  const bool has_response = found != account.leases.end() && found->second.has_response;
  const Units remaining = has_response
                              ? std::max<Units>(0, found->second.available + found->second.unreserved())
                              : account.rule.amount;
  budgets::Limit limit(account.rule, {account.rule.amount, remaining, wall}, wall);
  QuotaStatus status{.remaining = remaining,
                     .reset_after = limit.time_until_full(wall),
                     .retry_after = limit.time_until(requested, wall),
                     .awaiting_lease = remaining >= requested};
  // A requested lease, and a refill of the ledger, take a moment to arrive at this router.
  if (status.retry_after && (status.awaiting_lease || is_bucket_rule(account))) {
    status.retry_after = std::max(kMinRetryAfterLease, *status.retry_after);
  }
  return status;
}

LeaseRequestLine QuotaLeaseClient::describe(const Account& account, std::int64_t window) {
  LeaseRequestLine line;
  line.key = account.key;
  line.span = static_cast<std::uint8_t>(account.rule.kind);
  line.amount = account.rule.amount;
  line.per_s = account.rule.per_s;
  line.window = window;
  return line;
}

std::optional<LeaseRequestLine> QuotaLeaseClient::describe_account(const std::string& key, Time wall) const {
  const auto found = std::find_if(accounts_.begin(), accounts_.end(),
                                  [&key](const Account& account) { return account.key == key; });
  if (found == accounts_.end()) return std::nullopt;
  return describe(*found, window_of(*found, wall));
}

std::vector<QuotaLeaseClient::WindowStatus> QuotaLeaseClient::window_statuses() const {
  std::vector<WindowStatus> statuses;
  for (const Account& account : accounts_) {
    for (const auto& [window, lease] : account.leases) {
      statuses.push_back({account.key, window, account.rule.amount, lease.available, lease.unreserved(),
                          lease.used, lease.reserved});
    }
  }
  return statuses;
}

void QuotaLeaseClient::tick(Time now) {
  now_ = std::max(now_, now);
  for (std::size_t ledger = 0; ledger < channels_.size(); ++ledger) {
    Channel& channel = channels_[ledger];
    if (channel.accounts.empty() || channel.has_left || now_ < channel.due_at) continue;
    if (channel.is_waiting) {
      ++metrics_.timeouts;
      on_timeout(channel);
    }
    request_leases(ledger);
  }
  operator_requests_.tick(
      now_, [this](std::size_t ledger, const std::string& envelope) { send_to_replicas(ledger, envelope); });
  schedule();
}

void QuotaLeaseClient::schedule() {
  next_ = now_ + options_.lease_duration;
  for (const Channel& channel : channels_) {
    if (!channel.accounts.empty() && !channel.has_left) next_ = std::min(next_, channel.due_at);
  }
  next_ = operator_requests_.next_tick(next_);
}

void QuotaLeaseClient::leave(Time now) {
  now_ = std::max(now_, now);
  is_leaving_ = true;
  for (std::size_t ledger = 0; ledger < channels_.size(); ++ledger) {
    if (!channels_[ledger].accounts.empty()) request_leases(ledger);
  }
}

bool QuotaLeaseClient::has_left() const {
  return std::all_of(channels_.begin(), channels_.end(),
                     [](const Channel& channel) { return channel.accounts.empty() || channel.has_left; });
}

void QuotaLeaseClient::on_message(Time now, std::size_t, std::size_t ledger, MessageKind kind,
                                  std::string_view body) {
  now_ = std::max(now_, now);
  if (ledger >= channels_.size()) return;
  if (kind == MessageKind::lease_response) {
    if (const auto response = read<LeaseResponse>(body)) on_response(ledger, *response);
  } else if (kind == MessageKind::lease_rejection) {
    if (const auto rejected = read<LeaseRejection>(body)) on_rejected(ledger, *rejected);
  } else if (kind == MessageKind::operator_response) {
    const auto response = read<OperatorResponse>(body);
    if (!response || !operator_requests_.on_response(ledger, *response)) return;
  }
  schedule();
}

void QuotaLeaseClient::send_to_replicas(std::size_t ledger, const std::string& envelope) {
  for (const std::size_t member : channels_[ledger].replica_routers) dependencies_.send(member, envelope);
}

void QuotaLeaseClient::correct(Time now, const Correction& correction, OperatorRequests::Done done) {
  now_ = std::max(now_, now);
  if (!operator_requests_.has_room_for(1)) {
    done({OperatorOutcome::Status::rejected, to_string(OperatorRejection::too_many_requests)});
    return;
  }
  const std::size_t ledger = ledger_of(correction.account.key, channels_.size());
  operator_requests_.add(now_, correction.id, ledger, write(MessageKind::correction, ledger, correction),
                         std::move(done));
  next_ = now_;
}

void QuotaLeaseClient::replace(Time now, const Replacement& replacement, OperatorRequests::Done done) {
  now_ = std::max(now_, now);
  if (!operator_requests_.has_room_for(channels_.size())) {
    done({OperatorOutcome::Status::rejected, to_string(OperatorRejection::too_many_requests)});
    return;
  }
  struct Progress {
    std::size_t open = 0;  // ledgers whose outcome is not known yet
    OperatorOutcome outcome{OperatorOutcome::Status::accepted, {}};
    OperatorRequests::Done done;
  };
  const auto progress = std::make_shared<Progress>();
  progress->open = channels_.size();
  progress->done = std::move(done);
  const auto on_outcome = [progress](const OperatorOutcome& outcome) {
    if (outcome.status != OperatorOutcome::Status::accepted) progress->outcome = outcome;
    --progress->open;
    if (progress->open == 0) progress->done(progress->outcome);
  };
  for (std::size_t ledger = 0; ledger < channels_.size(); ++ledger) {
    operator_requests_.add(now_, replacement.id, ledger, write(MessageKind::replacement, ledger, replacement),
                           on_outcome);
  }
  next_ = now_;
}

}  // namespace thornwick::replication
