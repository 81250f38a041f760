// The failure detector's random numbers: a sequence that is determined by its seed, and equal on every
// machine.
#pragma once

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace thornwick::membership {

// SplitMix64 over a counter (Steele, Lea and Flood 2014). A copy continues with the same numbers as the
// original.
class RandomSequence {
 public:
  explicit RandomSequence(std::uint64_t seed) : counter_(seed) {}

  std::uint64_t draw();
  // Returns a number between 0 and 1, both excluded.
  double unit();
  // Returns an index below `count`, which has to be positive.
  std::size_t below(std::size_t count);
  // Puts the elements into a random order (Fisher-Yates).
  template <typename Element>
  void shuffle(std::vector<Element>& elements) {
    for (std::size_t i = elements.size(); i > 1; --i) std::swap(elements[i - 1], elements[below(i)]);
  }

 private:
  std::uint64_t counter_;
};

}  // namespace thornwick::membership
