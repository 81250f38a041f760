// An account, the reservations on several accounts, and the reason why a reservation was denied: plain data
// that Accounts and its backends share.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "budgets/durability_mark.hpp"
#include "budgets/limit.hpp"
#include "budgets/quota_store.hpp"

namespace thornwick::budgets {

struct Account {
  std::string key;  // "budget|member|model|class"
  bool hard = true;
  Limit limit;                                 // with a quota store only the rule is used
  DurabilityMark mark;                         // used only with a journal
  QuotaStore::AccountIndex store_account = 0;  // the account's index in the quota store, if there is one
};

// The accounts that one request counts against. AccountDirectory owns them; their addresses do not change.
using AccountSet = std::vector<Account*>;

// The reason why nothing was reserved: the account that delays the request the longest.
struct Denial {
  std::string account;
  Units limit = 0;
  Units remaining = 0;
  std::optional<Time> retry_after;  // microseconds; none: the limit never has that much
  Time reset_after = 0;             // microseconds until the limit is full again
  // The remaining amount suffices, but the journal or the quota store has not confirmed it yet.
  bool awaiting_store = false;
};

// The amount that is reserved for a request until it is settled.
struct Reservation {
  std::shared_ptr<const AccountSet> accounts;
  AccountSet uncovered;  // soft ones among `accounts` on which the quota store reserved nothing
  Units amount = 0;
  Time reserved_at = 0;
};

}  // namespace thornwick::budgets
