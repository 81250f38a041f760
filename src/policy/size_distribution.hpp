// The empirical distribution of work over request sizes. A data structure; what is made of it is decided in
// work_distribution.cpp.
#pragma once

#include <vector>

namespace thornwick {

// The size of a request (prompt tokens and answer limit) and the work that it meant.
struct Sample {
  double size = 0;
  double work = 0;
};

// Immutable. Sizes are in tokens, work in the unit of Request::work_hint.
class SizeDistribution {
 public:
  // An empty distribution.
  SizeDistribution() = default;
  // Requires at least one sample, and work above 0 in each.
  explicit SizeDistribution(std::vector<Sample> samples);

  bool is_empty() const { return sorted_.empty(); }
  // The part of all work that requests smaller than `size` make up, 0..1; 0 if empty.
  double work_below(double size) const;
  // The least sample size up to which requests make up that part (0..1) of all work. Must not be empty.
  double size_reaching(double part) const;
  // The mean work of a sample; 0 if empty.
  double mean_work() const { return mean_work_; }

 private:
  std::vector<Sample> sorted_;  // by size; `work` is the part of all work up to and including it
  double mean_work_ = 0;
};

}  // namespace thornwick
