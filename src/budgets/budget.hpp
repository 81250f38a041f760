// The operator's budgets: which requests a limit applies to, and the options of the accounts that count
// against them. Plain data; depends on limit.hpp only.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "budgets/limit.hpp"

namespace thornwick::budgets {

// Values of a budget's member, model and class besides a number.
inline constexpr std::uint16_t kSeparateAccounts = 0xffff;  // every number has an account of its own
inline constexpr std::uint16_t kSharedAccount = 0xfffe;     // all numbers share one account

// One [[budget]] of the operator's file.
struct Budget {
  std::string name;  // in logs, headers and tools; unique
  std::uint16_t member =
      kSeparateAccounts;  // a number, kSeparateAccounts or kSharedAccount; so are the next two
  std::uint16_t model = kSharedAccount;
  std::uint16_t priority_class = kSharedAccount;
  LimitRule rule;
  bool hard = true;  // a soft budget refuses nothing: requests beyond it get less weight
  bool operator==(const Budget&) const = default;
};

// Whose request it is: indices into the settings' lists of members and classes, and the model's number in the
// catalogue (0: none).
struct QuotaSubject {
  std::uint16_t member = 0;
  std::uint16_t model = 0;
  std::uint16_t priority_class = 0;
};

struct Options {
  std::vector<Budget> budgets;
  // Names by number, for the accounts' keys; models from number 1 on.
  std::vector<std::string> members;
  std::vector<std::string> models;
  std::vector<std::string> classes;
  // Without a quota store each limit is divided between routers: this is router `router_index` (from 1) of
  // `router_count`.
  std::uint32_t router_index = 1;
  std::uint32_t router_count = 1;
  double block_fraction = 0.02;    // above 0, up to 1: of a limit, what may be granted ahead of the journal
  double soft_limit_weight = 0.1;  // weight factor of a request beyond a soft limit
  std::size_t max_accounts = 65'536;  // beyond: requests share the last account of their budget
  bool operator==(const Options&) const = default;
};

// Throws std::invalid_argument where options make no sense.
void validate(const Options& options);

// Whether a subject's requests count against a budget.
bool applies(const Budget& budget, const QuotaSubject& subject);

// The key of the account that counts a subject's requests against a budget: "name|member|model|class".
std::string account_key(const Options& options, const Budget& budget, const QuotaSubject& subject);

// This router's share of a rule. What does not divide evenly goes to the routers with the lowest indices.
LimitRule router_share(const Options& options, const LimitRule& rule);

}  // namespace thornwick::budgets
