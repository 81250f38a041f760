// Deterministic random integers for recordings: SplitMix64, with equal results on every platform.
#pragma once

#include <cstdint>

namespace thornwick::recordings {

// A sequence of random integers.
class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : state_(seed) {}

  std::uint64_t next() {
    state_ += 0x9e3779b97f4a7c15ULL;
    std::uint64_t value = state_;
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
  }

  // Returns a number with 0 <= number < bound.
  std::uint64_t below(std::uint64_t bound) { return next() % bound; }

  // Returns a number with low <= number <= high.
  std::int64_t between(std::int64_t low, std::int64_t high) {
    return low + static_cast<std::int64_t>(below(static_cast<std::uint64_t>(high - low + 1)));
  }

  // Returns true with a probability of `chance` percent.
  bool percent(std::uint64_t chance) { return below(100) < chance; }

 private:
  std::uint64_t state_;
};

}  // namespace thornwick::recordings
