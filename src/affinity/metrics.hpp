// Counters of the affinity table. They only grow, and are lost when the router stops.
#pragma once

#include <cstdint>

namespace thornwick::affinity {

struct Metrics {
  std::uint64_t hints = 0;           // requests that the routing policy got a cache hint for
  std::uint64_t hits = 0;            // answers that found the copy that was expected
  std::uint64_t misses = 0;          // answers that did not find the copy that was expected
  std::uint64_t outdated = 0;        // answers whose expected copy was invalidated before they completed
  std::uint64_t fleet_losses = 0;    // times that all copies of the fleet were invalidated
  std::uint64_t replica_losses = 0;  // times that a trusted replica's copies were invalidated
  std::uint64_t recoveries = 0;      // times that a replica on probation became trusted
  std::uint64_t expired = 0;         // entries that were dropped because no copy of theirs was valid
  double expected_tokens = 0;        // prompt tokens expected in caches, of all complete answers
  double found_tokens = 0;           // prompt tokens found in caches, of all complete answers
  double prompt_tokens = 0;          // prompt tokens of all complete answers
};

}  // namespace thornwick::affinity
