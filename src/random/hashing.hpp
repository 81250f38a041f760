// Deterministic hashing and pseudo-random numbers: equal seeds give equal decisions on every platform.
// Depends only on the standard library.
#pragma once

#include <cstdint>

namespace thornwick {

// One step of SplitMix64 (Steele, Lea and Flood, OOPSLA 2014): a bijection that spreads any change of the
// input over all bits.
inline std::uint64_t mix(std::uint64_t value) {
  value += 0x9e3779b97f4a7c15ULL;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

// Returns a number between 0 and 1, both excluded, for 64 random bits.
inline double unit_interval(std::uint64_t bits) {
  return (static_cast<double>(bits >> 11) + 0.5) * 0x1.0p-53;
}

}  // namespace thornwick
