// What requests and attempts cost: tokens times a model's prices.
//
// What an attempt is charged:
// - an answer with the replica's usage report: what the report says, at the model's prices;
// - an attempt that never ran (full, not connected, not sent): nothing;
// - an attempt that may have run and reported no usage: its prompt as estimated, and the text that came, four
//   characters a token. The replica has read that prompt or may yet, and nobody can tell how much more it
//   generated.
#pragma once

#include <cstdint>

#include "budgets/limit.hpp"
#include "thornwick/routing_policy.hpp"

namespace thornwick::budgets {

// Units for each token.
struct Price {
  Units prompt = kUnitsPerToken;     // read anew
  Units cached = kUnitsPerToken;     // of the prompt, found in the replica's cache
  Units generated = kUnitsPerToken;  // of the answer
  bool operator==(const Price&) const = default;
};

// Whole tokens of one attempt. `cached` are part of `prompt`.
struct TokenCounts {
  std::uint64_t prompt = 0;
  std::uint64_t cached = 0;
  std::uint64_t generated = 0;
  bool reported = false;  // by the replica, else estimated
};

// What so many tokens cost; cut at kMaxUnits. More cached tokens than prompt tokens count as the prompt.
Units cost_of(std::uint64_t prompt, std::uint64_t cached, std::uint64_t generated, const Price& price);
// The most that a request may cost, wherever it runs.
Units max_cost_of(const Request& request, const Price& price);
// The tokens that an attempt is charged by the rules above. Meaningless for one that never ran.
TokenCounts charged_tokens(const Request& request, const AttemptResult& result);

}  // namespace thornwick::budgets
