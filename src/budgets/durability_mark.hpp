// Limits how far the grants of an account run ahead of its durable journal record.
//
// The newest journal record of an account, its mark, states more usage than there is: by a block, and by
// another block or the largest amount that was asked for. At most one block is granted beyond the newest
// durable mark, whatever the size of one request; a larger request waits for a mark that covers it. So after
// a kill at any moment at most one block of a limit is granted twice, and what the mark was ahead is lost
// until the limit refills.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "budgets/journal.hpp"
#include "budgets/limit.hpp"

namespace thornwick::budgets {

// The marks of one account. Amounts of a block are in units. All times are wall-clock times in microseconds
// since 1970.
class DurabilityMark {
 public:
  // `restored`: the account's state when the router started, which is also what a later start would restore.
  explicit DurabilityMark(const Limit& restored) : durable_mark_(restored) {}

  // Whether `amount` may be granted from `current` now: at most one block may lie beyond the newest durable
  // mark. Later marks are far enough ahead for such an amount.
  [[nodiscard]] bool covers(Limit& current, Units amount, Units block_units, const Journal& journal,
                            Time wall_time);
  // Appends the next mark if less than one block, or the largest amount, remains before the durable mark and
  // no other mark is pending.
  void advance(const std::string& key, Limit& current, Units block_units, Journal& journal, Time wall_time);
  // Called after the account's limit was given another rule.
  void change_rule(const LimitRule& rule, Time wall_time);

 private:
  struct PendingMark {
    Limit limit;
    std::uint64_t record_number = 0;  // number of the journal record
  };
  void promote_durable_mark(const Journal& journal);

  Units largest_amount_ = 0;                 // that was asked for
  Limit durable_mark_;                       // the newest mark that is known to be durable
  std::optional<PendingMark> pending_mark_;  // a mark that the journal accepted and that is not durable yet
};

}  // namespace thornwick::budgets
