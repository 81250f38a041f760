// Which accounts exist and which of them a subject's requests count against. Opens accounts on first use,
// with what was restored of them; their number is bounded.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>

#include "budgets/account.hpp"
#include "budgets/account_backend.hpp"
#include "budgets/budget.hpp"

namespace thornwick::budgets {

// Times are wall-clock times in microseconds since 1970.
class AccountDirectory {
 public:
  // Neither is owned, both outlive it.
  AccountDirectory(const Options& options, AccountBackend& backend) : options_(options), backend_(backend) {}

  std::shared_ptr<const AccountSet> accounts_of(const QuotaSubject& subject, Time wall_time);
  // Opens the accounts of all names in the options; none if there are too many combinations.
  void open_all(Time wall_time);
  // The options have been replaced. Accounts of budgets that stay (same name and kind) go on under the new
  // rule; the others stay for what is reserved on them, and no new request finds them.
  void on_options_changed(Time wall_time);
  // An account's state before the start of the router; used when the account is opened.
  void restore(const std::string& key, const LimitState& state);

  // All accounts, also those of budgets that are gone.
  std::deque<Account>& all() { return accounts_; }
  // The accounts that requests can find, by key.
  std::map<std::string, Account*> active() const { return {by_key_.begin(), by_key_.end()}; }
  std::size_t size() const { return accounts_.size(); }
  // How often no account of its own could be opened for a subject.
  std::uint64_t overflows() const { return overflows_; }

 private:
  Account& account_of(const Budget& budget, const QuotaSubject& subject, Time wall_time);
  Account& open(const std::string& key, const Budget& budget, Time wall_time);
  const Budget* budget_of(const Account& account) const;

  const Options& options_;
  AccountBackend& backend_;
  std::deque<Account> accounts_;  // addresses stay
  absl::flat_hash_map<std::string, Account*> by_key_;
  absl::flat_hash_map<std::uint64_t, std::shared_ptr<const AccountSet>> by_subject_;  // a cache
  absl::flat_hash_map<std::string, LimitState> restored_;  // of accounts that are not open yet
  std::uint64_t overflows_ = 0;
};

}  // namespace thornwick::budgets
