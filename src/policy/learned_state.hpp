// Exports what a policy has learned for a successor, and imports what a predecessor has exported.
#pragma once

#include <cstddef>

#include "policy/policy_state.hpp"
#include "thornwick/routing_policy.hpp"

namespace thornwick {

// The bounds within which the policy itself learns. An imported state is cut to them.
struct LearnedStateLimits {
  std::size_t max_samples = 0;
  std::size_t max_prefixes = 0;
  double min_pace = 0;           // 0..1; of replicas and of their kinds
  double max_load_shedding = 0;  // 0..1
};

// A copy of everything that a successor can use. It has no replicas that are gone.
[[nodiscard]] LearnedState export_learned_state(const PolicyState& state);

// Adds a learned state to a policy that knows the endpoint list and has learned nothing yet. Every value is
// checked, because the state may come from a file or from another process. Passed over: values that are not
// finite or out of range, samples and prefixes beyond the limits, replicas that are not listed, and replicas
// that have restarted since.
void import_learned_state(PolicyState& state, const LearnedState& learned, const LearnedStateLimits& limits);

}  // namespace thornwick
