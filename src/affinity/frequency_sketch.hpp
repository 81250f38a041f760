// An estimate of how often each key was used recently: a count-min sketch (Cormode and Muthukrishnan 2005)
// with four-bit counters, sixteen to a 64-bit word, as in TinyLFU (Einziger et al. 2017, section 3.2).
//
// TinyLFU halves all counters at once after a sample, which is a pause of milliseconds with a million
// entries. This sketch halves the counters of the next word in turn after every few additions, so that over a
// sample each counter is halved once as well.
#pragma once

#include <algorithm>
#include <bit>
#include <cstdint>
#include <vector>

namespace thornwick::affinity {

class FrequencySketch {
 public:
  // Reserves eight counters for each entry, rounded up to a power of two.
  explicit FrequencySketch(std::size_t entries)
      : words_(std::bit_ceil(std::max<std::size_t>(entries / 2, 4))) {}

  // Counts a use of the key with this hash.
  void add(std::uint64_t hash) {
    for (unsigned row = 0; row < kRows; ++row) {
      const CounterPosition counter = position(hash, row);
      if (value(counter) < kMaxCount) words_[counter.word] += std::uint64_t{1} << counter.shift;
    }
    ++additions_since_halving_;
    if (additions_since_halving_ < kAdditionsPerHalving) return;
    additions_since_halving_ = 0;
    next_word_ = (next_word_ + 1) % words_.size();
    words_[next_word_] = (words_[next_word_] >> 1) & kHalvedCounters;
  }

  // The number of recent uses of the key with this hash, 0 to 15. Too high if other keys share all of its
  // counters, never too low.
  unsigned estimate(std::uint64_t hash) const {
    unsigned min_count = kMaxCount;
    for (unsigned row = 0; row < kRows; ++row) {
      min_count = std::min(min_count, value(position(hash, row)));
    }
    return min_count;
  }

  std::size_t bytes() const { return words_.size() * sizeof(std::uint64_t); }

 private:
  static constexpr unsigned kRows = 4;  // counters of each key
  static constexpr unsigned kCounterBits = 4;
  static constexpr unsigned kMaxCount = 15;
  // Keeps the halves of a word's counters apart after a shift by one bit.
  static constexpr std::uint64_t kHalvedCounters = 0x7777777777777777ULL;
  // The sample is ten additions for each entry, and a word serves two entries.
  static constexpr std::size_t kAdditionsPerHalving = 20;

  struct CounterPosition {
    std::size_t word;
    unsigned shift;  // of the counter's lowest bit
  };

  CounterPosition position(std::uint64_t hash, unsigned row) const {
    const std::uint64_t row_hash = std::rotl(hash, static_cast<int>(16 * row)) * 0x9e3779b97f4a7c15ULL;
    return {static_cast<std::size_t>(row_hash >> 20) & (words_.size() - 1),
            static_cast<unsigned>(row_hash >> 60) * kCounterBits};
  }

  unsigned value(const CounterPosition& counter) const {
    return static_cast<unsigned>((words_[counter.word] >> counter.shift) & kMaxCount);
  }

  std::vector<std::uint64_t> words_;
  std::size_t additions_since_halving_ = 0;
  std::size_t next_word_ = 0;  // word whose counters were halved last
};

}  // namespace thornwick::affinity
