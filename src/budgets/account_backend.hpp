// Who counts what is used on accounts: this router by itself, or a quota store for several routers together.
#pragma once

#include <cstddef>
#include <optional>

#include "budgets/account.hpp"
#include "budgets/budget.hpp"
#include "budgets/journal.hpp"

namespace thornwick::budgets {

struct ReserveResult {
  std::optional<Denial> denial;   // then nothing is reserved on any account
  double weight_factor = 1;       // of the request, for the soft limits that it is beyond
  std::size_t soft_overruns = 0;  // to be counted, also with a denial
  AccountSet uncovered;           // see Reservation
};

struct AccountStatus {
  Units remaining = 0;
  Time reset_after = 0;  // microseconds until all of the limit is there again
};

// Amounts are from 0 to kMaxUnits; times are wall-clock times in microseconds since 1970.
class AccountBackend {
 public:
  virtual ~AccountBackend() = default;
  // An account is used for the first time.
  virtual void on_opened(Account& account) = 0;
  // An account's limit has got another rule.
  virtual void on_rule_changed(Account& account, Time wall_time) = 0;
  // Reserves on all hard accounts or on none.
  [[nodiscard]] virtual ReserveResult reserve(const AccountSet& accounts, Units amount, Time wall_time) = 0;
  // Charges `used` in place of what was reserved.
  virtual void settle(const Reservation& reservation, Units used, Time wall_time) = 0;
  virtual AccountStatus status(Account& account, Time wall_time) = 0;
  // Records an account's exact state for a planned stop. False: the record was not taken.
  [[nodiscard]] virtual bool persist(Account& account, Time wall_time) = 0;
};

// Counts by itself, with marks in a journal if there is one (see durability_mark.hpp).
class LocalBackend final : public AccountBackend {
 public:
  // Neither is owned, both outlive it; the journal may be null.
  LocalBackend(const Options& options, Journal* journal) : options_(options), journal_(journal) {}

  void on_opened(Account&) override {}
  void on_rule_changed(Account& account, Time wall_time) override;
  [[nodiscard]] ReserveResult reserve(const AccountSet& accounts, Units amount, Time wall_time) override;
  void settle(const Reservation& reservation, Units used, Time wall_time) override;
  AccountStatus status(Account& account, Time wall_time) override;
  [[nodiscard]] bool persist(Account& account, Time wall_time) override;

 private:
  enum class Coverage { granted, over_limit, awaiting_journal };
  Coverage coverage_of(Account& account, Units amount, Time wall_time);
  Denial denial_of(Account& account, Units amount, Coverage coverage, Time wall_time);
  void advance_mark(Account& account, Time wall_time);
  Units block_of(const Account& account) const;

  const Options& options_;
  Journal* journal_;
};

// Hands everything to a quota store.
class StoreBackend final : public AccountBackend {
 public:
  // Neither is owned, both outlive it.
  StoreBackend(const Options& options, QuotaStore& store) : options_(options), store_(store) {}

  void on_opened(Account& account) override;
  void on_rule_changed(Account& account, Time wall_time) override;
  [[nodiscard]] ReserveResult reserve(const AccountSet& accounts, Units amount, Time wall_time) override;
  void settle(const Reservation& reservation, Units used, Time wall_time) override;
  AccountStatus status(Account& account, Time wall_time) override;
  // The store records by itself.
  [[nodiscard]] bool persist(Account&, Time) override { return true; }

 private:
  Denial denial_of(const Account& account, Units amount, Time wall_time);

  const Options& options_;
  QuotaStore& store_;
};

}  // namespace thornwick::budgets
