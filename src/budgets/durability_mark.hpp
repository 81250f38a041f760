// Keeps what an account grants close to what the journal has on disk.
//
// The journal's newest record of an account, its mark, says that more is used than really is (two blocks
// ahead). What is granted beyond the newest durable mark is one block at the most; so after a kill at any
// moment no more than one block of a limit is granted twice, and up to two are lost until the limit refills.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "budgets/journal.hpp"
#include "budgets/limit.hpp"

namespace thornwick::budgets {

// The marks of one account. All times are wall-clock times in microseconds since 1970.
class DurabilityMark {
 public:
  // `restored`: the account's state at the start of the router, which is what a later start would find.
  explicit DurabilityMark(const Limit& restored) : durable_(restored) {}

  // Whether `amount` may be granted from `current` now: at most one block (or one larger amount) lies beyond
  // the newest durable mark.
  [[nodiscard]] bool covers(Limit& current, Units amount, Units block, const Journal& journal,
                            Time wall_time);
  // Appends the next mark once less than a block is left up to the durable one, and none is on its way.
  void advance(const std::string& key, Limit& current, Units block, Journal& journal, Time wall_time);
  // The account's limit has another rule from now on.
  void change_rule(const LimitRule& rule, Time wall_time);

 private:
  struct Pending {
    Limit limit;
    std::uint64_t number = 0;  // of the journal's record
  };
  void accept_durable(const Journal& journal);

  Limit durable_;                   // the newest mark that is known to be durable
  std::optional<Pending> pending_;  // one that the journal has taken and not yet made durable
};

}  // namespace thornwick::budgets
