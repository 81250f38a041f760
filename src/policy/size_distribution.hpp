// The empirical distribution of work over request sizes. This is a data structure only; work_distribution.cpp
// decides how it is used.
#pragma once

#include <vector>

namespace thornwick {

// The size of a request (prompt tokens plus answer limit) and its work.
struct Sample {
  double size = 0;
  double work = 0;
};

// An immutable distribution. Sizes are in tokens, work is in the unit of Request::work_hint.
class SizeDistribution {
 public:
  // Creates an empty distribution.
  SizeDistribution() = default;
  // Requires at least one sample, and that the work of each sample is above 0.
  explicit SizeDistribution(std::vector<Sample> samples);

  bool is_empty() const { return sorted_.empty(); }
  // Returns the fraction (0..1) of all work that requests smaller than `size` make up; 0 if empty.
  double work_below(double size) const;
  // Returns the smallest sample size up to which requests make up at least that fraction (0..1) of all work.
  // Must not be empty.
  double size_at_fraction(double fraction) const;
  // Returns the mean work of a sample; 0 if empty.
  double mean_work() const { return mean_work_; }

 private:
  std::vector<Sample> sorted_;  // by size; `work` is the fraction of all work up to and including the sample
  double mean_work_ = 0;
};

}  // namespace thornwick
