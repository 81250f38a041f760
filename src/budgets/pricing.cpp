#include "budgets/pricing.hpp"

#include <algorithm>
#include <cmath>

namespace thornwick::budgets {
namespace {

constexpr double kCharactersPerToken = 4;
constexpr double kMaxTokens = 1e12;  // of one request; larger counts are clamped

std::uint64_t whole_tokens(double tokens) {
  return static_cast<std::uint64_t>(std::ceil(std::clamp(tokens, 0.0, kMaxTokens)));
}

Units priced(std::uint64_t tokens, Units price) {
  return saturating_product(static_cast<Units>(std::min<std::uint64_t>(tokens, kMaxUnits)), price);
}

}  // namespace

Units cost_of(std::uint64_t prompt, std::uint64_t cached, std::uint64_t generated, const Price& price) {
  cached = std::min(cached, prompt);
  const Units input = saturating_sum(priced(prompt - cached, price.prompt), priced(cached, price.cached));
  return saturating_sum(input, priced(generated, price.generated));
}

Units max_cost_of(const Request& request, const Price& price) {
  const std::uint64_t prompt = whole_tokens(request.prompt_tokens);
  // Cached tokens may cost more than other prompt tokens.
  const Units input = std::max(cost_of(prompt, 0, 0, price), cost_of(prompt, prompt, 0, price));
  return saturating_sum(input, cost_of(0, 0, whole_tokens(request.max_tokens), price));
}

TokenCounts charged_tokens(const Request& request, const AttemptResult& result) {
  TokenCounts tokens;
  tokens.reported = result.has_usage && result.outcome == Outcome::served;
  if (tokens.reported) {
    tokens.prompt = whole_tokens(result.prompt_tokens);
    tokens.cached = std::min(tokens.prompt, whole_tokens(result.cached_tokens));
    tokens.generated = whole_tokens(result.generated_tokens);
  } else {
    tokens.prompt = whole_tokens(request.prompt_tokens);
    tokens.generated = whole_tokens(result.answer_characters / kCharactersPerToken);
  }
  return tokens;
}

}  // namespace thornwick::budgets
