#include "budgets/limit.hpp"

#include <algorithm>

namespace thornwick::budgets {
namespace {

constexpr Time kSecond = seconds(1);

__extension__ using Wide = __int128;  // holds intermediate results without overflow

Units clamped(Wide value) { return static_cast<Units>(std::clamp<Wide>(value, -kMaxUnits, kMaxUnits)); }

// Rounds down, also for times before 1970.
Time window_start(Time wall_time, Time length) {
  const Time remainder = wall_time % length;
  return wall_time - (remainder < 0 ? remainder + length : remainder);
}

}  // namespace

Time window_length(LimitKind kind) {
  switch (kind) {
    case LimitKind::bucket: return 0;
    case LimitKind::minute: return seconds(60);
    case LimitKind::hour: return seconds(3600);
    case LimitKind::day: break;
  }
  return seconds(86'400);
}

Units saturating_sum(Units left, Units right) { return clamped(static_cast<Wide>(left) + right); }
Units saturating_product(Units left, Units right) { return clamped(static_cast<Wide>(left) * right); }

Limit::Limit(const LimitRule& rule, Time wall_time)
    : Limit(rule, {rule.amount, rule.amount, wall_time}, wall_time) {}

Limit::Limit(const LimitRule& rule, const LimitState& state, Time wall_time)
    : rule_(rule),
      remaining_(
          std::min(rule.amount, saturating_sum(rule.amount, saturating_sum(state.remaining, -state.amount)))),
      updated_at_(state.updated_at) {
  if (rule_.kind != LimitKind::bucket)
    updated_at_ = window_start(state.updated_at, window_length(rule_.kind));
  advance_to(wall_time);
}

// If the clock steps backwards, the remaining amount is unchanged and time continues from the new reading. If
// the clock steps forwards by mistake, the limit grants once what that time would have granted.
void Limit::advance_to(Time wall_time) {
  if (rule_.kind != LimitKind::bucket) {
    const Time current_window = window_start(wall_time, window_length(rule_.kind));
    if (current_window > updated_at_) remaining_ = rule_.amount;
    updated_at_ = current_window;
    return;
  }
  if (wall_time <= updated_at_) {
    updated_at_ = wall_time;
    return;
  }
  const Wide refill = static_cast<Wide>(wall_time - updated_at_) * rule_.per_s + refill_remainder_;
  updated_at_ = wall_time;
  remaining_ = static_cast<Units>(std::min<Wide>(rule_.amount, remaining_ + refill / kSecond));
  refill_remainder_ = remaining_ >= rule_.amount ? 0 : static_cast<Time>(refill % kSecond);
}

Units Limit::remaining(Time wall_time) {
  advance_to(wall_time);
  return remaining_;
}

void Limit::take(Units units, Time wall_time) {
  advance_to(wall_time);
  remaining_ = saturating_sum(remaining_, -std::max<Units>(0, units));
}

void Limit::refund(Units units, Time wall_time, Time taken_at) {
  advance_to(wall_time);
  if (rule_.kind != LimitKind::bucket && window_start(taken_at, window_length(rule_.kind)) != updated_at_)
    return;
  remaining_ = std::min(rule_.amount, saturating_sum(remaining_, std::max<Units>(0, units)));
}

std::optional<Time> Limit::time_until(Units units, Time wall_time) {
  advance_to(wall_time);
  if (remaining_ >= units) return 0;
  if (units > rule_.amount) return std::nullopt;
  if (rule_.kind != LimitKind::bucket) return updated_at_ + window_length(rule_.kind) - wall_time;
  if (rule_.per_s <= 0) return std::nullopt;
  const Wide missing = static_cast<Wide>(units - remaining_) * kSecond - refill_remainder_;
  const Wide time = (missing + rule_.per_s - 1) / rule_.per_s;  // rounded up
  return static_cast<Time>(std::min<Wide>(time, kMaxUnits));
}

Time Limit::time_until_full(Time wall_time) { return time_until(rule_.amount, wall_time).value_or(0); }

LimitState Limit::state(Time wall_time) {
  advance_to(wall_time);
  return {rule_.amount, remaining_, rule_.kind == LimitKind::bucket ? wall_time : updated_at_};
}

}  // namespace thornwick::budgets
