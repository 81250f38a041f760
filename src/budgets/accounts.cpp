#include "budgets/accounts.hpp"

#include <algorithm>
#include <utility>

namespace thornwick::budgets {
namespace {

constexpr double kAboveAnyFraction = 2;  // greater than any remaining fraction of a limit

// Returns the options after validating them, so that a member initializer can use them.
const Options& validated(const Options& options) {
  validate(options);
  return options;
}

std::unique_ptr<AccountBackend> make_backend(const Options& options, Journal* journal,
                                             QuotaStore* quota_store) {
  if (quota_store != nullptr) return std::make_unique<StoreBackend>(options, *quota_store);
  return std::make_unique<LocalBackend>(options, journal);
}

double remaining_fraction(Units remaining, Units limit) {
  return limit > 0 ? static_cast<double>(remaining) / static_cast<double>(limit) : 0;
}

}  // namespace

Accounts::Accounts(const Options& options, Journal* journal, QuotaStore* quota_store)
    : options_(validated(options)),
      backend_(make_backend(options_, journal, quota_store)),
      directory_(options_, *backend_) {}

void Accounts::replace_options(const Options& options, Time wall_time) {
  validate(options);
  if (options == options_) return;
  options_ = options;
  directory_.on_options_changed(wall_time);
}

Grant Accounts::reserve(const QuotaSubject& subject, Units amount, Time wall_time) {
  amount = std::clamp<Units>(amount, 0, kMaxUnits);
  std::shared_ptr<const AccountSet> accounts = directory_.accounts_of(subject, wall_time);
  ReserveResult result = backend_->reserve(*accounts, amount, wall_time);
  metrics_.over_soft_limit += result.soft_overruns;
  Grant grant;
  grant.weight_factor = result.weight_factor;
  if (result.denial) {
    ++(result.denial->awaiting_store ? metrics_.denied_awaiting_store : metrics_.denied);
    grant.denial = std::move(result.denial);
    return grant;
  }
  grant.id = ++last_id_;
  reservations_[grant.id] = {std::move(accounts), std::move(result.uncovered), amount, wall_time};
  metrics_.reserved_units = saturating_sum(metrics_.reserved_units, amount);
  ++metrics_.granted;
  return grant;
}

void Accounts::settle(ReservationId id, Units used, Time wall_time) {
  const auto found = reservations_.find(id);
  if (found == reservations_.end()) return;
  const Reservation reservation = std::move(found->second);
  reservations_.erase(found);
  used = std::clamp<Units>(used, 0, kMaxUnits);
  backend_->settle(reservation, used, wall_time);
  metrics_.reserved_units = saturating_sum(metrics_.reserved_units, -reservation.amount);
  metrics_.charged_units = saturating_sum(metrics_.charged_units, used);
  if (used > 0) ++metrics_.nonzero_charges;
}

Units Accounts::reserved(ReservationId id) const {
  const auto found = reservations_.find(id);
  return found == reservations_.end() ? 0 : found->second.amount;
}

QuotaStatus Accounts::quota_status(const QuotaSubject& subject, Time wall_time) {
  QuotaStatus tightest;
  double lowest_fraction = kAboveAnyFraction;
  const auto accounts = directory_.accounts_of(subject, wall_time);
  for (Account* account : *accounts) {
    const AccountStatus status = backend_->status(*account, wall_time);
    const Units limit = account->limit.rule().amount;
    const double fraction = remaining_fraction(status.remaining, limit);
    if (!account->hard || fraction >= lowest_fraction) continue;
    lowest_fraction = fraction;
    tightest = {true, account->key, limit, status.remaining, status.reset_after};
  }
  return tightest;
}

void Accounts::on_journal_opened(Time wall_time) {
  for (Account& account : directory_.all()) backend_->on_journal_opened(account, wall_time);
}

bool Accounts::persist_all(Time wall_time) {
  bool all_accepted = true;
  for (Account& account : directory_.all()) {
    const bool accepted = backend_->persist(account, wall_time);
    all_accepted = all_accepted && accepted;
  }
  return all_accepted;
}

std::vector<Accounts::Summary> Accounts::summaries(Time wall_time) {
  std::vector<Summary> summaries;
  for (const auto& [key, account] : directory_.active()) {
    Limit& limit = account->limit;
    summaries.push_back({key, limit.rule().amount, limit.remaining(wall_time),
                         limit.time_until_full(wall_time), account->hard});
  }
  return summaries;
}

Metrics Accounts::metrics() const {
  Metrics metrics = metrics_;
  metrics.on_shared_account = directory_.overflows();
  return metrics;
}

}  // namespace thornwick::budgets
