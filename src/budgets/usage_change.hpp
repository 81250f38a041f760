// What one process tells another one of the accounts that both count while one replaces the other: the state
// of an account, and each later change of its usage. Times are wall-clock times in microseconds since 1970.
#pragma once

#include <functional>
#include <string>

#include "budgets/limit.hpp"

namespace thornwick::budgets {

struct AccountState {
  std::string key;
  LimitState state;
};

struct UsageChange {
  std::string key;
  Units units = 0;    // taken; below 0: refunded
  Time taken_at = 0;  // when the units were taken that are refunded
};

using UsageObserver = std::function<void(const UsageChange&)>;

}  // namespace thornwick::budgets
