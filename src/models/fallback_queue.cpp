#include "models/fallback_queue.hpp"

#include <algorithm>

namespace thornwick::models {

void FallbackQueue::push_fallbacks_of(const Catalogue& catalogue, ModelId model, FallbackReason reason) {
  const auto& fallbacks = catalogue.at(model).fallbacks;
  for (std::size_t remaining = fallbacks.size(); remaining > 0; --remaining) {
    const Fallback& fallback = fallbacks[remaining - 1];
    const ModelId target = catalogue.find(fallback.target);
    const bool applies = (fallback.reasons & static_cast<std::uint8_t>(reason)) != 0;
    if (target != 0 && applies) candidates_.push_front({target, reason, fallback.min_remaining_time});
  }
}

std::optional<FallbackCandidate> FallbackQueue::pop() {
  while (!candidates_.empty()) {
    const FallbackCandidate candidate = candidates_.front();
    candidates_.pop_front();
    if (std::find(tried_.begin(), tried_.end(), candidate.model) == tried_.end()) return candidate;
  }
  return std::nullopt;
}

}  // namespace thornwick::models
