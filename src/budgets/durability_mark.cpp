#include "budgets/durability_mark.hpp"

#include <algorithm>

namespace thornwick::budgets {
void DurabilityMark::promote_durable_mark(const Journal& journal) {
  if (!pending_mark_ || journal.last_durable_record() < pending_mark_->record_number) return;
  durable_mark_ = pending_mark_->limit;
  pending_mark_.reset();
}

bool DurabilityMark::covers(Limit& current, Units amount, Units block_units, const Journal& journal,
                            Time wall_time) {
  promote_durable_mark(journal);
  largest_amount_ = std::max(largest_amount_, std::min(amount, current.rule().amount));
  return current.remaining(wall_time) - amount >= durable_mark_.remaining(wall_time) - block_units;
}

void DurabilityMark::advance(const std::string& key, Limit& current, Units block_units, Journal& journal,
                             Time wall_time) {
  promote_durable_mark(journal);
  if (pending_mark_) return;
  const Units units_before_mark = current.remaining(wall_time) - durable_mark_.remaining(wall_time);
  const Units step = std::max(block_units, largest_amount_);
  if (units_before_mark >= step) return;
  Limit ahead = current;
  ahead.take(saturating_sum(step, block_units), wall_time);
  const std::uint64_t record_number = journal.append(key, ahead.state(wall_time));
  if (record_number != 0) pending_mark_ = PendingMark{ahead, record_number};
}

void DurabilityMark::change_rule(const LimitRule& rule, Time wall_time) {
  durable_mark_ = Limit(rule, durable_mark_.state(wall_time), wall_time);
  if (pending_mark_) pending_mark_->limit = Limit(rule, pending_mark_->limit.state(wall_time), wall_time);
}

}  // namespace thornwick::budgets
