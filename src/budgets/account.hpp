// One account, and what is reserved and denied on several of them. Plain data that Accounts and its backends
// share.
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
  Limit limit;                                 // with a quota store only its rule counts
  DurabilityMark mark;                         // used with a journal only
  QuotaStore::AccountIndex store_account = 0;  // of the quota store, if there is one
};

// The accounts of one request. AccountDirectory owns them; their addresses stay as they are.
using AccountSet = std::vector<Account*>;

// Why nothing was reserved: the account that holds the request back for longest.
struct Denial {
  std::string account;
  Units limit = 0;
  Units remaining = 0;
  std::optional<Time> retry_after;  // microseconds; none: so much is never there
  Time reset_after = 0;             // microseconds until all of the limit is there again
  // There is room within the limit, but the journal or the quota store has not confirmed it yet.
  bool awaiting_store = false;
};

// What is reserved for a request until it is settled.
struct Reservation {
  std::shared_ptr<const AccountSet> accounts;
  AccountSet uncovered;  // soft accounts of them on which the quota store reserved nothing
  Units amount = 0;
  Time reserved_at = 0;
};

}  // namespace thornwick::budgets
