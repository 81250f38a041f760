// Backends that count the usage of accounts: this router alone, or a quota store that several routers share.
#pragma once

#include <cstddef>
#include <optional>

#include "budgets/account.hpp"
#include "budgets/budget.hpp"
#include "budgets/journal.hpp"
#include "budgets/usage_change.hpp"

namespace thornwick::budgets {

struct ReserveResult {
  std::optional<Denial> denial;   // if set, nothing is reserved on any account
  double weight_factor = 1;       // of the request; below 1 if it exceeds a soft limit
  std::size_t soft_overruns = 0;  // exceeded soft limits; counted even with a denial
  AccountSet uncovered;           // see Reservation::uncovered
};

struct AccountStatus {
  Units remaining = 0;
  Time reset_after = 0;  // microseconds until the limit is full again
};

// Amounts are in the range 0..kMaxUnits; times are wall-clock times in microseconds since 1970.
class AccountBackend {
 public:
  virtual ~AccountBackend() = default;
  // Called when an account is used for the first time.
  virtual void on_opened(Account& account) = 0;
  // Called after an account's limit was given another rule.
  virtual void on_rule_changed(Account& account, Time wall_time) = 0;
  // Reserves the amount on all hard accounts or on none.
  [[nodiscard]] virtual ReserveResult reserve(const AccountSet& accounts, Units amount, Time wall_time) = 0;
  // Charges `used` instead of the reserved amount.
  virtual void settle(const Reservation& reservation, Units used, Time wall_time) = 0;
  virtual AccountStatus status(Account& account, Time wall_time) = 0;
  // Records an account's exact state before a planned stop. Returns false if the record was not accepted.
  [[nodiscard]] virtual bool persist(Account& account, Time wall_time) = 0;
  // Sets what is called after each change of an account's usage in this process.
  virtual void observe(const UsageObserver&) {}
  // Called after another process has changed an account's usage.
  virtual void on_usage_changed(Account&, Time /*wall_time*/) {}
  // Called for each account after the journal has opened (JournalState).
  virtual void on_journal_opened(Account&, Time /*wall_time*/) {}
};

// Counts usage in this process. With a journal, grants stay close to what is durable (see
// durability_mark.hpp).
class LocalBackend final : public AccountBackend {
 public:
  // Owns neither argument; both must outlive the backend. The journal may be null.
  LocalBackend(const Options& options, Journal* journal) : options_(options), journal_(journal) {}

  void on_opened(Account&) override {}
  void on_rule_changed(Account& account, Time wall_time) override;
  [[nodiscard]] ReserveResult reserve(const AccountSet& accounts, Units amount, Time wall_time) override;
  void settle(const Reservation& reservation, Units used, Time wall_time) override;
  AccountStatus status(Account& account, Time wall_time) override;
  [[nodiscard]] bool persist(Account& account, Time wall_time) override;
  void observe(const UsageObserver& observer) override { observer_ = observer; }
  void on_usage_changed(Account& account, Time wall_time) override { advance_mark(account, wall_time); }
  void on_journal_opened(Account& account, Time wall_time) override;

 private:
  enum class Coverage { granted, over_limit, awaiting_journal };
  Coverage coverage_of(Account& account, Units amount, Time wall_time);
  Denial denial_of(Account& account, Units amount, Coverage coverage, Time wall_time);
  void advance_mark(Account& account, Time wall_time);
  Units block_units(const Account& account) const;
  void report(const Account& account, Units units, Time taken_at) const;

  const Options& options_;
  Journal* journal_;
  UsageObserver observer_;
};

// Delegates all counting to a quota store.
class StoreBackend final : public AccountBackend {
 public:
  // Owns neither argument; both must outlive the backend.
  StoreBackend(const Options& options, QuotaStore& store) : options_(options), store_(store) {}

  void on_opened(Account& account) override;
  void on_rule_changed(Account& account, Time wall_time) override;
  [[nodiscard]] ReserveResult reserve(const AccountSet& accounts, Units amount, Time wall_time) override;
  void settle(const Reservation& reservation, Units used, Time wall_time) override;
  AccountStatus status(Account& account, Time wall_time) override;
  // The quota store persists its own state.
  [[nodiscard]] bool persist(Account&, Time) override { return true; }

 private:
  Denial denial_of(const Account& account, Units amount, Time wall_time);

  const Options& options_;
  QuotaStore& store_;
};

}  // namespace thornwick::budgets
