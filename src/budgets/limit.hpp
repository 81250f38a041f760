// One limit on what may be used: a token bucket, or a calendar window (UTC). Integer arithmetic that never
// overflows; a clock that steps, forwards or backwards, never makes room that the limit does not give.
// Depends on nothing else here, and does no I/O.
//
// Buckets: Turner 1986, "New directions in communications"; RFC 2697 has the arithmetic without loss of
// fractions.
#pragma once

#include <cstdint>
#include <optional>

#include "thornwick/routing_policy.hpp"

namespace thornwick::budgets {

// Thousandths of a token at price 1: what is counted in this whole module.
using Units = std::int64_t;
inline constexpr Units kUnitsPerToken = 1000;
inline constexpr double in_tokens(Units units) { return static_cast<double>(units) / kUnitsPerToken; }
// 1e15 tokens: sums and products are cut here, and below 0 at its negative.
inline constexpr Units kMaxUnits = 1'000'000'000'000'000'000;

enum class LimitKind { bucket, minute, hour, day };
// The length of a window in microseconds; of a bucket 0.
Time window_length(LimitKind kind);

struct LimitRule {
  LimitKind kind = LimitKind::minute;
  Units amount = 0;  // of each window; of a bucket its capacity. 0..kMaxUnits
  Units per_s = 0;   // of a bucket: its refill each second. 0..kMaxUnits
  bool operator==(const LimitRule&) const = default;
};

// What is recorded of a limit when the router stops.
struct LimitState {
  // Of the rule at that time: under a rule that has changed since, what was used counts, not what was left.
  Units amount = 0;
  Units remaining = 0;
  Time updated_at = 0;  // when `remaining` was true; a window's beginning
  bool operator==(const LimitState&) const = default;
};

// All times are wall-clock times in microseconds since 1970, durations in microseconds.
class Limit {
 public:
  // Full, as of `wall_time`.
  Limit(const LimitRule& rule, Time wall_time);
  // As it was recorded, under a rule that may be another now.
  Limit(const LimitRule& rule, const LimitState& state, Time wall_time);

  const LimitRule& rule() const { return rule_; }
  // Below 0: overdrawn. Never above the rule's amount.
  Units remaining(Time wall_time);
  // Takes, whatever is left. `units` is 0 or more.
  void take(Units units, Time wall_time);
  // Gives back what was taken at `taken_at`; of an earlier window there is nothing to give back to.
  void give_back(Units units, Time wall_time, Time taken_at);
  // The time from `wall_time` on until so much is left if nothing else is taken; none: it never will be.
  std::optional<Time> time_until(Units units, Time wall_time);
  // The time until the limit is full again; 0 where it never will be.
  Time time_until_full(Time wall_time);
  LimitState state(Time wall_time);

 private:
  void advance_to(Time wall_time);

  LimitRule rule_;
  Units remaining_ = 0;
  Time updated_at_ = 0;        // bucket: up to when it is refilled; window: its beginning
  Time refill_remainder_ = 0;  // bucket: refill that makes no whole unit yet, in millionths of a unit
};

// Sums and products, cut at kMaxUnits and its negative.
Units saturating_sum(Units left, Units right);
Units saturating_product(Units left, Units right);

}  // namespace thornwick::budgets
