// Integer readings of the counters that a cached copy stores: the odometer of its replica, and the time of
// last use.
//
// A replica's odometer counts the tokens that this router made the replica read or generate. The age of a
// copy is the distance that the odometer has advanced since the copy was used. Both readings are 32 bits wide
// to keep an entry small.
#pragma once

#include <algorithm>
#include <cstdint>

#include "thornwick/time.hpp"

namespace thornwick::affinity {

inline constexpr double kTokensPerOdometerUnit = 64;

// The reading for a total of `sent_tokens`, in units of 64 tokens. Wraps after 2^32 units; negative totals
// read 0.
inline std::uint32_t odometer_reading(double sent_tokens) {
  return static_cast<std::uint32_t>(
      static_cast<std::uint64_t>(std::max(0.0, sent_tokens) / kTokensPerOdometerUnit));
}

// Full seconds of a clock in microseconds; 0 for times before its zero.
inline std::uint32_t whole_seconds(Time now) {
  return static_cast<std::uint32_t>(std::max<Time>(0, now) / 1'000'000);
}

// Full tokens, limited to the range of the stored counters: 0 to 4e9.
inline std::uint32_t whole_tokens(double tokens) {
  return static_cast<std::uint32_t>(std::clamp(tokens, 0.0, 4e9));
}

}  // namespace thornwick::affinity
