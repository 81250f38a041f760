#include "budgets/durability_mark.hpp"

#include <algorithm>

namespace thornwick::budgets {
namespace {

// In blocks: how far a new mark is ahead of what is used, and how much of that is left when the next one is
// written.
constexpr Units kBlocksAhead = 2;
constexpr Units kBlocksLeftAtNextMark = 1;

}  // namespace

void DurabilityMark::accept_durable(const Journal& journal) {
  if (!pending_ || journal.last_durable_record() < pending_->number) return;
  durable_ = pending_->limit;
  pending_.reset();
}

bool DurabilityMark::covers(Limit& current, Units amount, Units block, const Journal& journal,
                            Time wall_time) {
  accept_durable(journal);
  return current.remaining(wall_time) - amount >= durable_.remaining(wall_time) - std::max(block, amount);
}

void DurabilityMark::advance(const std::string& key, Limit& current, Units block, Journal& journal,
                             Time wall_time) {
  accept_durable(journal);
  if (pending_) return;
  const Units left_to_mark = current.remaining(wall_time) - durable_.remaining(wall_time);
  if (left_to_mark >= kBlocksLeftAtNextMark * block) return;
  Limit ahead = current;
  ahead.take(kBlocksAhead * block, wall_time);
  const std::uint64_t number = journal.append(key, ahead.state(wall_time));
  if (number != 0) pending_ = Pending{ahead, number};
}

void DurabilityMark::change_rule(const LimitRule& rule, Time wall_time) {
  durable_ = Limit(rule, durable_.state(wall_time), wall_time);
  if (pending_) pending_->limit = Limit(rule, pending_->limit.state(wall_time), wall_time);
}

}  // namespace thornwick::budgets
