#include "budgets/durability_mark.hpp"

#include <algorithm>

namespace thornwick::budgets {
namespace {

// In blocks: the usage that a new mark states beyond the actual usage, and the amount before the durable mark
// below which the next mark is written.
constexpr Units kBlocksAhead = 2;
constexpr Units kMinBlocksBeforeMark = 1;

}  // namespace

void DurabilityMark::promote_durable_mark(const Journal& journal) {
  if (!pending_mark_ || journal.last_durable_record() < pending_mark_->record_number) return;
  durable_mark_ = pending_mark_->limit;
  pending_mark_.reset();
}

bool DurabilityMark::covers(Limit& current, Units amount, Units block_units, const Journal& journal,
                            Time wall_time) {
  promote_durable_mark(journal);
  return current.remaining(wall_time) - amount >=
         durable_mark_.remaining(wall_time) - std::max(block_units, amount);
}

void DurabilityMark::advance(const std::string& key, Limit& current, Units block_units, Journal& journal,
                             Time wall_time) {
  promote_durable_mark(journal);
  if (pending_mark_) return;
  const Units units_before_mark = current.remaining(wall_time) - durable_mark_.remaining(wall_time);
  if (units_before_mark >= kMinBlocksBeforeMark * block_units) return;
  Limit ahead = current;
  ahead.take(kBlocksAhead * block_units, wall_time);
  const std::uint64_t record_number = journal.append(key, ahead.state(wall_time));
  if (record_number != 0) pending_mark_ = PendingMark{ahead, record_number};
}

void DurabilityMark::change_rule(const LimitRule& rule, Time wall_time) {
  durable_mark_ = Limit(rule, durable_mark_.state(wall_time), wall_time);
  if (pending_mark_) pending_mark_->limit = Limit(rule, pending_mark_->limit.state(wall_time), wall_time);
}

}  // namespace thornwick::budgets
