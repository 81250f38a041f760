// The state that a decider has of each request without a final answer.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <utility>

#include "thornwick/routing_policy.hpp"

namespace thornwick::core {

// Maps request ids to states. Pointers and references are valid until the next call of put or erase.
template <typename State>
class OpenRequests {
 public:
  // Returns null if the request is not open, or not any more.
  [[nodiscard]] State* find(RequestId id) {
    const auto found = states_.find(id);
    return found == states_.end() ? nullptr : &found->second;
  }
  // Adds a state, or replaces the one of the same id.
  State& put(RequestId id, State state) {
    return states_.insert_or_assign(id, std::move(state)).first->second;
  }
  void erase(RequestId id) { states_.erase(id); }
  std::size_t size() const { return states_.size(); }

 private:
  absl::flat_hash_map<RequestId, State> states_;
};

}  // namespace thornwick::core
