// Exports what a policy has learned, for a successor, and imports what a predecessor has exported.
#pragma once

#include <cstddef>

#include "policy/policy_state.hpp"
#include "thornwick/routing_policy.hpp"

namespace thornwick {

// The bounds that the policy keeps while it learns. Imported states are limited to the same bounds.
struct LearnedStateLimits {
  std::size_t max_samples = 0;
  std::size_t max_prefixes = 0;
  double min_speed_factor = 0;   // 0..1; lower bound of the speed factors of replicas and kinds
  double max_load_shedding = 0;  // 0..1
};

// Returns a copy of everything that a successor can use. Removed replicas are not included.
[[nodiscard]] LearnedState export_learned_state(const PolicyState& state);

// Adds a learned state to a policy that knows the endpoint list and has learned nothing yet. Every value is
// checked, because the state may come from a file or from another process. Skipped are values that are not
// finite or are out of range, samples and prefixes beyond the limits, replicas that are not listed, and
// replicas that have restarted since.
void import_learned_state(PolicyState& state, const LearnedState& learned, const LearnedStateLimits& limits);

}  // namespace thornwick
