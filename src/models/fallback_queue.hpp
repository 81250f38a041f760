// The models that one request may fall back to.
#pragma once

#include <deque>
#include <optional>
#include <vector>

#include "models/catalogue.hpp"

namespace thornwick::models {

struct FallbackCandidate {
  ModelId model = 0;
  FallbackReason reason = FallbackReason::no_ready_replica;
  Time min_remaining_time = 0;  // microseconds that must remain until the deadline
};

class FallbackQueue {
 public:
  // Excludes this model from the candidates.
  void mark_tried(ModelId model) { tried_.push_back(model); }
  // Queues the fallbacks of a model that cannot serve the request for this reason, ahead of all queued
  // candidates.
  void push_fallbacks_of(const Catalogue& catalogue, ModelId model, FallbackReason reason);
  bool empty() const { return candidates_.empty(); }
  // Removes and returns the next candidate whose model was not tried; nullopt if there is none.
  [[nodiscard]] std::optional<FallbackCandidate> pop();

 private:
  std::deque<FallbackCandidate> candidates_;
  std::vector<ModelId> tried_;
};

}  // namespace thornwick::models
