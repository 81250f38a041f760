// Tunables of the failure detector.
#pragma once

#include <cstddef>
#include <cstdint>

#include "thornwick/routing_policy.hpp"

namespace thornwick::membership {

struct Options {
  // Microseconds between two ordinary probes: with the answers, 0.83 messages a second.
  Time period = milliseconds(2'400);
  // The number of members that are asked to probe one that does not answer (SWIM's k).
  std::size_t helpers = 3;
  // A silent member is suspected, and the suspicion announced, when the probability that message loss alone
  // explains its silence is below this value, for the whole group and at the loss that this router measures.
  double suspicion_probability = 1e-2;
  // A silent member is called gone when that probability is below this value.
  double failure_probability = 1e-8;
  // False selects plain SWIM, which suspects a member after one round and calls it gone after `rounds`,
  // whatever the loss is.
  bool adaptive = true;
  std::size_t rounds = 5;
  // Lifeguard's local health multiplier: a router that misses answers waits longer for later ones.
  bool local_health = false;
  // Lifeguard's buddy system: a probe of a suspected member tells it of the suspicion first.
  bool buddy_system = true;
  // The fraction of the ordinary probes that go to members that are gone, to detect their return.
  double gone_probe_fraction = 0.25;
  // The incarnation with which a member refutes a claim that has incarnation `claimed`. Tests replace it.
  std::uint64_t (*refuting_incarnation)(std::uint64_t claimed) = [](std::uint64_t claimed) {
    return claimed + 1;
  };
};

// The incarnation with which a process begins. It is above all incarnations of earlier starts under its name.
inline constexpr std::uint64_t first_incarnation(std::uint32_t start_number) {
  return std::uint64_t{start_number} << 20;
}

}  // namespace thornwick::membership
