// A histogram with a high dynamic range. Values below 128 are exact, larger ones are within 1/128 (0.8 %).
// Memory use grows with the logarithm of the largest value, not with the number of values.
#pragma once

#include <algorithm>
#include <bit>
#include <cmath>
#include <cstdint>
#include <vector>

namespace thornwick::emulator {

class Histogram {
 public:
  // Maximum relative error of quantile().
  static constexpr double kError = 1.0 / 128;

  // Negative values count as 0.
  void add(std::int64_t value, std::uint64_t count = 1) {
    const std::size_t bucket = bucket_of(static_cast<std::uint64_t>(std::max<std::int64_t>(0, value)));
    if (bucket >= counts_.size()) counts_.resize(bucket + 1);
    counts_[bucket] += count;
    total_ += count;
    sum_ += static_cast<double>(value) * static_cast<double>(count);
  }

  void add(const Histogram& other) {
    counts_.resize(std::max(counts_.size(), other.counts_.size()));
    for (std::size_t i = 0; i < other.counts_.size(); ++i) counts_[i] += other.counts_[i];
    total_ += other.total_;
    sum_ += other.sum_;
  }

  // Returns the number of values.
  std::uint64_t total() const { return total_; }

  // Returns the exact mean; 0 if there are no values.
  double mean() const { return total_ == 0 ? 0 : sum_ / static_cast<double>(total_); }

  // Returns the middle of the bucket of the smallest value that at least this fraction (0..1) of all values
  // does not exceed; 0 if there are no values.
  double quantile(double fraction) const {
    if (total_ == 0) return 0;
    const auto rank = std::max<std::uint64_t>(
        1, static_cast<std::uint64_t>(std::ceil(fraction * static_cast<double>(total_))));
    std::uint64_t counted = 0;
    for (std::size_t i = 0; i < counts_.size(); ++i) {
      counted += counts_[i];
      if (counted >= rank) return middle_of(i);
    }
    return middle_of(counts_.size() - 1);
  }

 private:
  // There are 128 buckets for the values below 128, and 64 more for each doubling.
  static std::size_t bucket_of(std::uint64_t value) {
    if (value < 128) return static_cast<std::size_t>(value);
    const unsigned shift = static_cast<unsigned>(std::bit_width(value)) - 7;
    return std::size_t{64} * shift + static_cast<std::size_t>(value >> shift);
  }

  static double middle_of(std::size_t bucket) {
    if (bucket < 128) return static_cast<double>(bucket);
    const std::size_t shift = bucket / 64 - 1;
    return std::ldexp(static_cast<double>(bucket - 64 * shift) + 0.5, static_cast<int>(shift));
  }

  std::vector<std::uint64_t> counts_;
  std::uint64_t total_ = 0;
  double sum_ = 0;
};

}  // namespace thornwick::emulator
