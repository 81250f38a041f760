// Options of the failure detector.
#pragma once

#include <cstddef>
#include <cstdint>

#include "thornwick/routing_policy.hpp"

namespace thornwick::membership {

struct Options {
  // Microseconds between two ordinary probes. The default causes 0.83 messages a second, answers included.
  Time period = milliseconds(2'400);
  // The number of members that are asked to probe a member that does not answer (SWIM's k).
  std::size_t helper_count = 3;
  // A member is suspected, and the suspicion announced, when the probability that message loss alone explains
  // the missing answers of any member of the group, at the loss that this router measures, is below this
  // value.
  double suspicion_probability = 1e-2;
  // A member counts as failed when the probability that message loss alone explains its missing answers is
  // below this value.
  double failure_probability = 1e-8;
  // False selects plain SWIM, which suspects a member after one failed round, and sets the member to failed
  // after `rounds_until_failure`, whatever the loss is.
  bool adaptive = true;
  std::size_t rounds_until_failure = 5;
  // Lifeguard's local health multiplier: a router that misses answers waits longer for later answers.
  bool local_health = false;
  // Lifeguard's buddy system: a probe of a suspected member carries the suspicion as its first claim.
  bool buddy_system = true;
  // The fraction of the ordinary probes that go to members that have failed or left, to detect their return.
  double absent_probe_fraction = 0.25;
  // The incarnation with which a member refutes a claim that has the incarnation `claimed`. Tests replace
  // this function.
  std::uint64_t (*refuting_incarnation)(std::uint64_t claimed) = [](std::uint64_t claimed) {
    return claimed + 1;
  };
};

// The incarnation with which a process starts, which is above all incarnations of earlier starts under its
// name.
inline constexpr std::uint64_t first_incarnation(std::uint32_t start_number) {
  return std::uint64_t{start_number} << 20;
}

}  // namespace thornwick::membership
