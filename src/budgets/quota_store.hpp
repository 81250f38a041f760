// Where what is left of a limit is kept for several routers together: what accounts ask instead of counting
// by themselves.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "budgets/limit.hpp"

namespace thornwick::budgets {

// A router leases quota from the group ahead of use; reserving takes from the lease and never waits. Amounts
// are 0 or more; times are wall-clock times in microseconds since 1970, durations in microseconds.
class QuotaStore {
 public:
  using AccountIndex = std::uint32_t;  // of an account, in the order of opening from 0 on

  struct QuotaStatus {
    Units remaining = 0;              // of the whole limit, as far as this router knows
    Time reset_after = 0;             // until all of it is there again
    std::optional<Time> retry_after;  // until so much may be there; none: never
    bool awaiting_lease = false;      // so much is left, but not leased to this router yet
  };

  virtual ~QuotaStore() = default;
  // `key` is the same on all routers.
  virtual AccountIndex open(const std::string& key, const LimitRule& rule) = 0;
  virtual void change(AccountIndex account, const LimitRule& rule) = 0;
  // Takes from what is leased to this router. False: nothing was taken, and more is asked for.
  [[nodiscard]] virtual bool reserve(AccountIndex account, Units units, Time wall_time) = 0;
  // Ends a reservation made at `reserved_at`; with `reserved` 0 it charges what was not reserved.
  virtual void settle(AccountIndex account, Units reserved, Units used, Time reserved_at, Time wall_time) = 0;
  // `requested` is what `retry_after` and `awaiting_lease` are about.
  virtual QuotaStatus quota_status(AccountIndex account, Units requested, Time wall_time) = 0;
};

}  // namespace thornwick::budgets
