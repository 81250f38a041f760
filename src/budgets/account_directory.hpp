// The directory of accounts: maps a subject to the accounts that its requests count against. Opens an account
// on first use, from its restored state if there is one; the number of accounts is bounded.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "budgets/account.hpp"
#include "budgets/account_backend.hpp"
#include "budgets/budget.hpp"
#include "budgets/usage_change.hpp"

namespace thornwick::budgets {

// Times are wall-clock times in microseconds since 1970.
class AccountDirectory {
 public:
  // Owns neither argument; both must outlive the directory.
  AccountDirectory(const Options& options, AccountBackend& backend) : options_(options), backend_(backend) {}

  std::shared_ptr<const AccountSet> accounts_of(const QuotaSubject& subject, Time wall_time);
  // Opens the accounts of all combinations of the options' names; opens none if there are too many
  // combinations.
  void open_all(Time wall_time);
  // Called after the options were replaced. Accounts of budgets that remain (same name and kind of limit)
  // continue under the new rule. The other accounts stay for their open reservations, and no new request
  // finds them.
  void on_options_changed(Time wall_time);
  // Sets the state that an account had before this router started; it is used when the account is opened.
  void restore(const std::string& key, const LimitState& state);
  // Adds what this router has used of an account since its start to a state that another process had of it.
  void merge(const std::string& key, const LimitState& state, Time wall_time);
  bool knows(const std::string& key) const { return by_key_.contains(key) || restored_.contains(key); }
  // Applies a change that another process has made. A change of no budget's account has no effect.
  void apply(const UsageChange& change, Time wall_time);
  // The states of all accounts that requests can find or that were restored.
  std::vector<AccountState> states(Time wall_time);

  // All accounts, including those of removed budgets.
  std::deque<Account>& all() { return accounts_; }
  // The accounts that requests can find, by key.
  std::map<std::string, Account*> active() const { return {by_key_.begin(), by_key_.end()}; }
  std::size_t size() const { return accounts_.size(); }
  // Number of times that no separate account could be opened for a subject.
  std::uint64_t overflows() const { return overflows_; }

 private:
  const Budget* budget_of(std::string_view key) const;
  Account& account_of(const Budget& budget, const QuotaSubject& subject, Time wall_time);
  Account& open(const std::string& key, const Budget& budget, Time wall_time);

  const Options& options_;
  AccountBackend& backend_;
  std::deque<Account> accounts_;  // a deque, so that addresses do not change
  absl::flat_hash_map<std::string, Account*> by_key_;
  // Caches the results of accounts_of().
  absl::flat_hash_map<std::uint64_t, std::shared_ptr<const AccountSet>> by_subject_;
  absl::flat_hash_map<std::string, LimitState> restored_;  // states of accounts that are not open yet
  std::uint64_t overflows_ = 0;
};

}  // namespace thornwick::budgets
