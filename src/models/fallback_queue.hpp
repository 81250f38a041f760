// The models that may take one request in place of those that could not serve it.
#pragma once

#include <deque>
#include <optional>
#include <vector>

#include "models/catalogue.hpp"

namespace thornwick::models {

struct FallbackCandidate {
  ModelId model = 0;
  FallbackReason why = FallbackReason::no_ready_replica;
  Time min_remaining_time = 0;  // microseconds that the client must still wait at least
};

class FallbackQueue {
 public:
  // No candidate leads to this model any more.
  void mark_tried(ModelId model) { tried_.push_back(model); }
  // The fallbacks of a model that cannot serve the request for that reason, before all that are queued.
  void push_fallbacks_of(const Catalogue& catalogue, ModelId model, FallbackReason why);
  bool empty() const { return candidates_.empty(); }
  // The next candidate whose model was not tried; none is left: nullopt.
  [[nodiscard]] std::optional<FallbackCandidate> pop();

 private:
  std::deque<FallbackCandidate> candidates_;
  std::vector<ModelId> tried_;
};

}  // namespace thornwick::models
