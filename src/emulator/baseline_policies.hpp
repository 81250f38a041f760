// Policies to compare the routing policy with. They decide what it decides, with as little information as
// textbooks give them. None of them is used on sockets.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "core/decider.hpp"

namespace thornwick::emulator {

struct BaselineSettings {
  std::uint64_t seed = 1;
  std::uint32_t attempts = 5;   // of a request, at most
  std::vector<double> cutoffs;  // for "sita": the upper edges of all size intervals but the last, in work
};

// random, round-robin, least-outstanding, two-choices, rendezvous, weighted-rendezvous, sita
const std::vector<std::string>& baseline_policy_names();

// Throws std::invalid_argument for any other name.
std::unique_ptr<core::Decider> make_baseline_policy(const std::string& name,
                                                    const BaselineSettings& settings);

}  // namespace thornwick::emulator
