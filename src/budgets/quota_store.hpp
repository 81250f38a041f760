// The interface of a quota store, which counts the usage of limits for several routers together. Accounts use
// it instead of counting in this process.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "budgets/limit.hpp"

namespace thornwick::budgets {

// A router leases quota from the group ahead of use; a reservation takes from the lease and never waits.
// Amounts are 0 or more; times are wall-clock times in microseconds since 1970, durations in microseconds.
class QuotaStore {
 public:
  using AccountIndex = std::uint32_t;  // in the order of opening, from 0

  struct QuotaStatus {
    Units remaining = 0;              // of the limit of all routers, as far as this router knows
    Time reset_after = 0;             // until the limit is full again
    std::optional<Time> retry_after;  // until `requested` may remain; none: never
    bool awaiting_lease = false;      // `requested` remains, but is not leased to this router yet
  };

  virtual ~QuotaStore() = default;
  // Opens an account. `key` is the same on all routers.
  virtual AccountIndex open(const std::string& key, const LimitRule& rule) = 0;
  virtual void change(AccountIndex account, const LimitRule& rule) = 0;
  // Takes `units` from the lease of this router. Returns false if nothing was taken; the store then requests
  // a larger lease.
  [[nodiscard]] virtual bool reserve(AccountIndex account, Units units, Time wall_time) = 0;
  // Ends a reservation made at `reserved_at` and charges `used`. `reserved` is 0 if nothing was reserved.
  virtual void settle(AccountIndex account, Units reserved, Units used, Time reserved_at, Time wall_time) = 0;
  // The status of an account. `retry_after` and `awaiting_lease` refer to a reservation of `requested`.
  virtual QuotaStatus quota_status(AccountIndex account, Units requested, Time wall_time) = 0;
};

}  // namespace thornwick::budgets
