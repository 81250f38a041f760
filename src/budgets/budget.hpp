// The operator's budgets: which requests a limit applies to, and the options of the accounts. Plain data;
// depends only on limit.hpp.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "budgets/limit.hpp"

namespace thornwick::budgets {

// Special values of Budget::member, Budget::model and Budget::priority_class.
inline constexpr std::uint16_t kSeparateAccounts = 0xffff;  // each number has a separate account
inline constexpr std::uint16_t kSharedAccount = 0xfffe;     // all numbers share one account

// One [[budget]] table of the operator's file.
struct Budget {
  std::string name;                          // in logs, headers and tools; unique
  std::uint16_t member = kSeparateAccounts;  // a number or one of the values above
  std::uint16_t model = kSharedAccount;
  std::uint16_t priority_class = kSharedAccount;
  LimitRule rule;
  bool hard = true;  // a soft budget rejects nothing; requests beyond it get less weight
  bool operator==(const Budget&) const = default;
};

// What a request is counted by: indices into the lists of members and priority classes in the settings, and
// the number of the model in the catalogue (0: none).
struct QuotaSubject {
  std::uint16_t member = 0;
  std::uint16_t model = 0;
  std::uint16_t priority_class = 0;
};

struct Options {
  std::vector<Budget> budgets;
  // Names by number, used in the accounts' keys. Models are numbered from 1.
  std::vector<std::string> members;
  std::vector<std::string> models;
  std::vector<std::string> classes;
  // Without a quota store each limit is divided between the routers; this is router number `router_index`
  // (from 1) of `router_count`.
  std::uint32_t router_index = 1;
  std::uint32_t router_count = 1;
  double block_fraction = 0.02;       // of a limit; may be granted ahead of the journal; above 0, at most 1
  double soft_limit_weight = 0.1;     // weight factor of a request beyond a soft limit
  std::size_t max_accounts = 65'536;  // beyond these, a budget's other subjects share one account
  bool operator==(const Options&) const = default;
};

// Throws std::invalid_argument if an option is out of range or two budgets have the same name.
void validate(const Options& options);

// Whether a subject's requests count against a budget.
bool applies(const Budget& budget, const QuotaSubject& subject);

// The key of the account that counts a subject's requests against a budget: "name|member|model|class".
std::string account_key(const Options& options, const Budget& budget, const QuotaSubject& subject);

// This router's share of a rule. A remainder of the division goes to the routers with the lowest indices.
LimitRule router_share(const Options& options, const LimitRule& rule);

}  // namespace thornwick::budgets
