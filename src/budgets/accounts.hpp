// Who may use how much, and what each has used: accounts of members, models and classes, each with its limit.
// An amount is reserved on all accounts of a request or on none, and settled later by what was used.
//
// Accounts (this file) has the reservations; AccountDirectory knows which accounts there are; an
// AccountBackend counts, by itself (surviving a kill through a journal, see durability_mark.hpp) or at a
// quota store that several routers share.
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

namespace thornwick::budgets {

using ReservationId = std::uint64_t;  // 0: none

struct Grant {
  ReservationId id = 0;
  double weight_factor = 1;      // of the request: less than 1 beyond a soft limit
  std::optional<Denial> denial;  // then id is 0, and nothing was reserved
};

// The tightest of a request's hard limits, for its client.
struct QuotaStatus {
  bool any = false;  // false: no hard limit applies, and the rest means nothing
  std::string account;
  Units limit = 0;
  Units remaining = 0;
  Time reset_after = 0;  // microseconds until all of it is there again
};

// Requests, unless said otherwise.
struct Metrics {
  std::uint64_t granted = 0;
  std::uint64_t denied = 0;                 // for want of quota
  std::uint64_t denied_awaiting_store = 0;  // see Denial::awaiting_store
  std::uint64_t over_soft_limit = 0;
  std::uint64_t nonzero_charges = 0;    // above 0
  Units reserved_units = 0;             // open now
  Units charged_units = 0;              // ever
  std::uint64_t on_shared_account = 0;  // that found no account of their own
};

// All times are wall-clock times in microseconds since 1970; amounts are cut to 0..kMaxUnits.
class Accounts {
 public:
  // Throws std::invalid_argument where options make no sense. Neither the journal nor the quota store is
  // owned, both outlive it, either may be null. With a quota store limits are several routers' together: it
  // counts, and the journal is not used.
  explicit Accounts(const Options& options, Journal* journal = nullptr, QuotaStore* quota_store = nullptr);
  Accounts(const Accounts&) = delete;
  Accounts& operator=(const Accounts&) = delete;

  // Opens the accounts of all that the options name, as far as they are few: so a quota store can lease quota
  // before the first request comes.
  void open_all(Time wall_time) { directory_.open_all(wall_time); }
  // New limits under way: what was used of those that stay (same name and kind) remains used. Reservations
  // stay. Throws std::invalid_argument, and then changes nothing, where options make no sense.
  void replace_options(const Options& options, Time wall_time);

  [[nodiscard]] Grant reserve(const QuotaSubject& subject, Units amount, Time wall_time);
  // Ends a reservation: `used` is charged, whatever was reserved. An unknown id is ignored.
  void settle(ReservationId id, Units used, Time wall_time);
  // The amount of an open reservation, else 0.
  Units reserved(ReservationId id) const;
  QuotaStatus quota_status(const QuotaSubject& subject, Time wall_time);

  // What the journal had of an account; before the first request.
  void restore(const std::string& key, const LimitState& state) { directory_.restore(key, state); }
  // Records every account exactly as it is, for a planned stop. False: a record was not taken.
  bool persist_all(Time wall_time);

  // An account as this router counts it.
  struct Summary {
    std::string key;
    Units limit = 0;
    Units remaining = 0;  // below 0: overdrawn
    Time reset_after = 0;
    bool hard = true;
  };
  // Sorted by key; without accounts of budgets that are gone.
  std::vector<Summary> summaries(Time wall_time);

  Metrics metrics() const;
  std::size_t size() const { return directory_.size(); }
  // Reservations that are not settled yet.
  std::size_t open() const { return reservations_.size(); }

 private:
  Options options_;
  std::unique_ptr<AccountBackend> backend_;
  AccountDirectory directory_;
  absl::flat_hash_map<ReservationId, Reservation> reservations_;
  ReservationId last_id_ = 0;
  Metrics metrics_;
};

}  // namespace thornwick::budgets
