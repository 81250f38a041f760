#include "models/fallback_queue.hpp"

#include <algorithm>

namespace thornwick::models {

void FallbackQueue::push_fallbacks_of(const Catalogue& catalogue, ModelId model, FallbackReason why) {
  const auto& fallbacks = catalogue.at(model).fallbacks;
  for (std::size_t next = fallbacks.size(); next > 0; --next) {
    const Fallback& fallback = fallbacks[next - 1];
    const ModelId to = catalogue.find(fallback.target);
    const bool applies = (fallback.reasons & static_cast<std::uint8_t>(why)) != 0;
    if (to != 0 && applies) candidates_.push_front({to, why, fallback.min_remaining_time});
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
