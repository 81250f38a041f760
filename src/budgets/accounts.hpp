// Quota accounts: each member, model or priority class has accounts with a limit and the amount used so far.
// An amount is reserved on all accounts of a request or on none, and is settled later with the amount that
// was used.
//
// Accounts (this file) holds the reservations. AccountDirectory holds the accounts. An AccountBackend counts
// usage: in this process (surviving a kill through a journal, see durability_mark.hpp), or in a quota store
// that several routers share.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "budgets/account.hpp"
#include "budgets/account_backend.hpp"
#include "budgets/account_directory.hpp"
#include "budgets/budget.hpp"
#include "budgets/journal.hpp"
#include "budgets/limit.hpp"
#include "budgets/quota_store.hpp"
#include "budgets/usage_change.hpp"

namespace thornwick::budgets {

using ReservationId = std::uint64_t;  // 0: none

struct Grant {
  ReservationId id = 0;
  double weight_factor = 1;      // of the request; below 1 if it exceeds a soft limit
  std::optional<Denial> denial;  // if set, `id` is 0 and nothing was reserved
};

// The hard limit of a request that has the lowest remaining fraction, as reported to its client.
struct QuotaStatus {
  bool has_hard_limit = false;  // false: the other members are meaningless
  std::string account;
  Units limit = 0;
  Units remaining = 0;
  Time reset_after = 0;  // microseconds until the limit is full again
};

// Counts of requests, unless stated otherwise.
struct Metrics {
  std::uint64_t granted = 0;
  std::uint64_t denied = 0;                 // because a limit was exceeded
  std::uint64_t denied_awaiting_store = 0;  // see Denial::awaiting_store
  std::uint64_t over_soft_limit = 0;
  std::uint64_t nonzero_charges = 0;    // settled reservations with a charge above 0
  Units reserved_units = 0;             // in open reservations
  Units charged_units = 0;              // since the start of the router
  std::uint64_t on_shared_account = 0;  // for which no separate account could be opened
};

// All times are wall-clock times in microseconds since 1970. Amounts are clamped to 0..kMaxUnits.
class Accounts {
 public:
  // Throws std::invalid_argument if the options are invalid. Owns neither the journal nor the quota store;
  // each may be null, and otherwise must outlive this object. With a quota store the limits apply to several
  // routers together: the store counts usage, and the journal is not used.
  explicit Accounts(const Options& options, Journal* journal = nullptr, QuotaStore* quota_store = nullptr);
  Accounts(const Accounts&) = delete;
  Accounts& operator=(const Accounts&) = delete;

  // Opens the accounts of all names in the options unless there are too many combinations, so that a quota
  // store can lease quota before the first request arrives.
  void open_all(Time wall_time) { directory_.open_all(wall_time); }
  // Replaces the limits. Usage of budgets that remain (same name and kind of limit) and open reservations are
  // kept. Throws std::invalid_argument, and then changes nothing, if the options are invalid.
  void replace_options(const Options& options, Time wall_time);

  [[nodiscard]] Grant reserve(const QuotaSubject& subject, Units amount, Time wall_time);
  // Ends a reservation and charges `used`, whatever amount was reserved. Ignores an unknown id.
  void settle(ReservationId id, Units used, Time wall_time);
  // The amount of an open reservation; 0 if there is no such reservation.
  Units reserved(ReservationId id) const;
  QuotaStatus quota_status(const QuotaSubject& subject, Time wall_time);

  // Restores an account from its journal record. Must be called before the first request.
  void restore(const std::string& key, const LimitState& state) { directory_.restore(key, state); }
  // While another process of this router counts the same accounts (usage_change.hpp). Without effect on a
  // quota store, which counts for all of them.

  // Sets what is called after each change of usage in this process.
  void observe(const UsageObserver& observer) { backend_->observe(observer); }
  std::vector<AccountState> states(Time wall_time) { return directory_.states(wall_time); }
  // Whether an account has been used here, or restored.
  bool knows(const std::string& key) const { return directory_.knows(key); }
  // Adds what was used here since the start to the state that another process had of an account.
  void merge(const AccountState& account, Time wall_time) {
    directory_.merge(account.key, account.state, wall_time);
  }
  // Applies a change that another process has made.
  void apply(const UsageChange& change, Time wall_time) { directory_.apply(change, wall_time); }
  // Must be called when the journal has opened after the construction (JournalState).
  void on_journal_opened(Time wall_time);

  // Records the exact state of every account before a planned stop. Returns false if a record was not
  // accepted.
  bool persist_all(Time wall_time);

  // The state of an account, as counted by this router.
  struct Summary {
    std::string key;
    Units limit = 0;
    Units remaining = 0;  // below 0: overdrawn
    Time reset_after = 0;
    bool hard = true;
  };
  // Sorted by key, without the accounts of removed budgets.
  std::vector<Summary> summaries(Time wall_time);

  Metrics metrics() const;
  std::size_t size() const { return directory_.size(); }
  // Number of reservations that are not settled yet.
  std::size_t open_reservations() const { return reservations_.size(); }

 private:
  Options options_;
  std::unique_ptr<AccountBackend> backend_;
  AccountDirectory directory_;
  absl::flat_hash_map<ReservationId, Reservation> reservations_;
  ReservationId last_id_ = 0;
  Metrics metrics_;
};

}  // namespace thornwick::budgets
