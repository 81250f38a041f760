#include "budgets/account_backend.hpp"

#include <algorithm>
#include <utility>

namespace thornwick::budgets {
namespace {

// Advised while the journal is behind: about the time that it then takes to make a record durable.
constexpr Time kJournalRetryAfter = seconds(1);

// Whether `left` delays a request longer than `right`. A denial without a time to retry never ends.
bool outlasts(const Denial& left, const Denial& right) {
  if (!left.retry_after) return true;
  return right.retry_after && *left.retry_after > *right.retry_after;
}

void keep_longer_denial(std::optional<Denial>& longest, Denial denial) {
  if (!longest || outlasts(denial, *longest)) longest = std::move(denial);
}

}  // namespace

Units LocalBackend::block_units(const Account& account) const {
  const auto amount = static_cast<double>(account.limit.rule().amount);
  return std::max<Units>(1, static_cast<Units>(amount * options_.block_fraction));
}

void LocalBackend::advance_mark(Account& account, Time wall_time) {
  if (journal_ == nullptr || journal_->state() != JournalState::open) return;
  account.mark.advance(account.key, account.limit, block_units(account), *journal_, wall_time);
}

// The file has an older state of the account, so the next mark is written at once.
void LocalBackend::on_journal_opened(Account& account, Time wall_time) {
  account.mark = DurabilityMark(account.limit);
  advance_mark(account, wall_time);
}

void LocalBackend::report(const Account& account, Units units, Time taken_at) const {
  if (observer_ && units != 0) observer_({account.key, units, taken_at});
}

LocalBackend::Coverage LocalBackend::coverage_of(Account& account, Units amount, Time wall_time) {
  if (account.limit.remaining(wall_time) < amount) return Coverage::over_limit;
  if (journal_ == nullptr || journal_->state() == JournalState::absent) return Coverage::granted;
  if (journal_->state() == JournalState::waiting) return Coverage::awaiting_journal;
  const bool covered = account.mark.covers(account.limit, amount, block_units(account), *journal_, wall_time);
  return covered ? Coverage::granted : Coverage::awaiting_journal;
}

Denial LocalBackend::denial_of(Account& account, Units amount, Coverage coverage, Time wall_time) {
  Denial denial;
  denial.account = account.key;
  denial.limit = account.limit.rule().amount;
  denial.remaining = std::max<Units>(0, account.limit.remaining(wall_time));
  denial.reset_after = account.limit.time_until_full(wall_time);
  denial.awaiting_store = coverage == Coverage::awaiting_journal;
  denial.retry_after =
      denial.awaiting_store ? kJournalRetryAfter : account.limit.time_until(amount, wall_time);
  return denial;
}

ReserveResult LocalBackend::reserve(const AccountSet& accounts, Units amount, Time wall_time) {
  ReserveResult result;
  for (Account* account : accounts) {
    const Coverage coverage = coverage_of(*account, amount, wall_time);
    if (coverage == Coverage::granted) continue;
    if (account->hard) {
      keep_longer_denial(result.denial, denial_of(*account, amount, coverage, wall_time));
      if (coverage == Coverage::awaiting_journal) advance_mark(*account, wall_time);
    } else if (coverage == Coverage::over_limit) {
      ++result.soft_overruns;
      result.weight_factor = std::min(result.weight_factor, options_.soft_limit_weight);
    }
  }
  if (result.denial) return result;
  for (Account* account : accounts) {
    account->limit.take(amount, wall_time);
    report(*account, amount, wall_time);
    advance_mark(*account, wall_time);
  }
  return result;
}

void LocalBackend::settle(const Reservation& reservation, Units used, Time wall_time) {
  for (Account* account : *reservation.accounts) {
    if (used <= reservation.amount) {
      account->limit.refund(reservation.amount - used, wall_time, reservation.reserved_at);
    } else {
      account->limit.take(used - reservation.amount, wall_time);
    }
    report(*account, used - reservation.amount, reservation.reserved_at);
    advance_mark(*account, wall_time);
  }
}

AccountStatus LocalBackend::status(Account& account, Time wall_time) {
  return {std::max<Units>(0, account.limit.remaining(wall_time)), account.limit.time_until_full(wall_time)};
}

void LocalBackend::on_rule_changed(Account& account, Time wall_time) {
  account.mark.change_rule(account.limit.rule(), wall_time);
}

bool LocalBackend::persist(Account& account, Time wall_time) {
  return journal_ == nullptr || journal_->append(account.key, account.limit.state(wall_time)) != 0;
}

void StoreBackend::on_opened(Account& account) {
  account.store_account = store_.open(account.key, account.limit.rule());
}

void StoreBackend::on_rule_changed(Account& account, Time) {
  store_.change(account.store_account, account.limit.rule());
}

Denial StoreBackend::denial_of(const Account& account, Units amount, Time wall_time) {
  const QuotaStore::QuotaStatus status = store_.quota_status(account.store_account, amount, wall_time);
  Denial denial;
  denial.account = account.key;
  denial.limit = account.limit.rule().amount;
  denial.remaining = status.remaining;
  denial.retry_after = status.retry_after;
  denial.reset_after = status.reset_after;
  denial.awaiting_store = status.awaiting_lease;
  return denial;
}

ReserveResult StoreBackend::reserve(const AccountSet& accounts, Units amount, Time wall_time) {
  ReserveResult result;
  AccountSet reserved;
  for (Account* account : accounts) {
    if (store_.reserve(account->store_account, amount, wall_time)) {
      reserved.push_back(account);
    } else if (!account->hard) {
      result.uncovered.push_back(account);
    } else {
      keep_longer_denial(result.denial, denial_of(*account, amount, wall_time));
    }
  }
  if (result.denial) {
    for (const Account* account : reserved) {
      store_.settle(account->store_account, amount, 0, wall_time, wall_time);
    }
    return result;
  }
  if (!result.uncovered.empty()) {
    result.soft_overruns = 1;
    result.weight_factor = options_.soft_limit_weight;
  }
  return result;
}

// The quota store reserved nothing on an uncovered soft account; the used amount is charged there all the
// same.
void StoreBackend::settle(const Reservation& reservation, Units used, Time wall_time) {
  for (Account* account : *reservation.accounts) {
    const auto& uncovered = reservation.uncovered;
    const bool covered = std::find(uncovered.begin(), uncovered.end(), account) == uncovered.end();
    store_.settle(account->store_account, covered ? reservation.amount : 0, used, reservation.reserved_at,
                  wall_time);
  }
}

AccountStatus StoreBackend::status(Account& account, Time wall_time) {
  const QuotaStore::QuotaStatus status = store_.quota_status(account.store_account, 0, wall_time);
  return {status.remaining, status.reset_after};
}

}  // namespace thornwick::budgets
