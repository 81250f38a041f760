// The cost of requests and attempts: tokens times the prices of a model.
//
// What an attempt is charged:
// - an answer with the replica's usage report: the reported tokens at the model's prices;
// - an attempt that never ran (rejected as full, not connected, not sent): nothing;
// - an attempt that may have run and reported no usage: its estimated prompt tokens, and the received text at
//   four characters a token. The replica has read that prompt or may still read it, and the number of further
//   tokens that it generated is unknown.
#pragma once

#include <cstdint>

#include "budgets/limit.hpp"
#include "thornwick/routing_policy.hpp"

namespace thornwick::budgets {

// Prices in units per token.
struct Price {
  Units prompt = kUnitsPerToken;     // a prompt token that is not cached
  Units cached = kUnitsPerToken;     // a prompt token found in the replica's cache
  Units generated = kUnitsPerToken;  // a token of the answer
  bool operator==(const Price&) const = default;
};

// Whole tokens of one attempt. `prompt` includes `cached`.
struct TokenCounts {
  std::uint64_t prompt = 0;
  std::uint64_t cached = 0;
  std::uint64_t generated = 0;
  bool reported = false;  // true: by the replica; false: estimated
};

// The cost of these tokens, at most kMaxUnits. `cached` is limited to `prompt`.
Units cost_of(std::uint64_t prompt, std::uint64_t cached, std::uint64_t generated, const Price& price);
// The maximum cost of a request, whichever replica serves it.
Units max_cost_of(const Request& request, const Price& price);
// The tokens that an attempt is charged for, by the rules above. Meaningless for an attempt that never ran.
TokenCounts charged_tokens(const Request& request, const AttemptResult& result);

}  // namespace thornwick::budgets
