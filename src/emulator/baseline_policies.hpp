// Baseline policies to compare the routing policy with. They make the routing policy's decisions from the
// little information that the textbook algorithms use. None of the baseline policies is used on sockets.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "core/decider.hpp"

namespace thornwick::emulator {

struct BaselineSettings {
  std::uint64_t seed = 1;
  std::uint32_t attempts = 5;   // maximum number of attempts for a request
  std::vector<double> cutoffs;  // for "sita": the upper edges, in work, of all size intervals but the last
};

// The names are random, round-robin, least-outstanding, two-choices, rendezvous, weighted-rendezvous and
// sita.
const std::vector<std::string>& baseline_policy_names();

// Throws std::invalid_argument if `name` is not one of baseline_policy_names().
std::unique_ptr<core::Decider> make_baseline_policy(const std::string& name,
                                                    const BaselineSettings& settings);

}  // namespace thornwick::emulator
