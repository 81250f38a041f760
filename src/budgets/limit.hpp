// One limit on usage: a token bucket, or a calendar window (UTC). Integer arithmetic that never overflows. A
// clock that steps, forwards or backwards, never yields more than the limit allows. No I/O, and no dependency
// on the rest of this folder.
//
// Buckets: Turner 1986, "New directions in communications"; RFC 2697 has the arithmetic without loss of
// fractions.
#pragma once

#include <cstdint>
#include <optional>

#include "thornwick/routing_policy.hpp"

namespace thornwick::budgets {

// The unit of all amounts in this folder: a thousandth of a token at price 1.
using Units = std::int64_t;
inline constexpr Units kUnitsPerToken = 1000;
inline constexpr double in_tokens(Units units) { return static_cast<double>(units) / kUnitsPerToken; }
// 1e15 tokens. Sums and products saturate here and at the negative of this value.
inline constexpr Units kMaxUnits = 1'000'000'000'000'000'000;

enum class LimitKind { bucket, minute, hour, day };
// The length of a window in microseconds; 0 for a bucket.
Time window_length(LimitKind kind);

struct LimitRule {
  LimitKind kind = LimitKind::minute;
  Units amount = 0;  // of each window, or the capacity of a bucket; 0..kMaxUnits
  Units per_s = 0;   // refill of a bucket; 0..kMaxUnits
  bool operator==(const LimitRule&) const = default;
};

// The state of a limit, as recorded for the next start of the router.
struct LimitState {
  // The rule's amount at that time. Under a rule that has changed since, the used amount is kept, not the
  // remaining one.
  Units amount = 0;
  Units remaining = 0;
  Time updated_at = 0;  // bucket: when `remaining` was valid; window: its start
  bool operator==(const LimitState&) const = default;
};

// All times are wall-clock times in microseconds since 1970, durations in microseconds.
class Limit {
 public:
  // A limit that is full at `wall_time`.
  Limit(const LimitRule& rule, Time wall_time);
  // A limit restored from a recorded state, possibly under another rule.
  Limit(const LimitRule& rule, const LimitState& state, Time wall_time);

  const LimitRule& rule() const { return rule_; }
  // The amount that remains; below 0 if the limit is overdrawn, and never above the rule's amount.
  Units remaining(Time wall_time);
  // Takes `units` (0 or more) even if less remains.
  void take(Units units, Time wall_time);
  // Refunds units that were taken at `taken_at`. Units of an earlier window are not refunded.
  void refund(Units units, Time wall_time, Time taken_at);
  // The time from `wall_time` until `units` remain if nothing else is taken; none if that never happens.
  std::optional<Time> time_until(Units units, Time wall_time);
  // The time until the limit is full again; 0 if that never happens.
  Time time_until_full(Time wall_time);
  LimitState state(Time wall_time);

 private:
  void advance_to(Time wall_time);

  LimitRule rule_;
  Units remaining_ = 0;
  Time updated_at_ = 0;        // bucket: the time up to which it is refilled; window: its start
  Time refill_remainder_ = 0;  // bucket: refill of less than a unit, in millionths of a unit
};

// Sum and product, limited to -kMaxUnits..kMaxUnits.
Units saturating_sum(Units left, Units right);
Units saturating_product(Units left, Units right);

}  // namespace thornwick::budgets
