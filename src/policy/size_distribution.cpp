#include "policy/size_distribution.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace thornwick {

SizeDistribution::SizeDistribution(std::vector<Sample> samples) : sorted_(std::move(samples)) {
  std::sort(sorted_.begin(), sorted_.end(), [](auto& left, auto& right) { return left.size < right.size; });
  double sum = 0;
  for (Sample& sample : sorted_) {
    sum += sample.work;
    sample.work = sum;
  }
  for (Sample& sample : sorted_) sample.work /= sum;
  mean_work_ = sum / static_cast<double>(sorted_.size());
}

double SizeDistribution::work_below(double size) const {
  const auto first = std::lower_bound(sorted_.begin(), sorted_.end(), size,
                                      [](const Sample& sample, double value) { return sample.size < value; });
  return first == sorted_.begin() ? 0 : std::prev(first)->work;
}

double SizeDistribution::size_at_fraction(double fraction) const {
  const auto first = std::lower_bound(sorted_.begin(), sorted_.end(), fraction,
                                      [](const Sample& sample, double value) { return sample.work < value; });
  return first == sorted_.end() ? sorted_.back().size : first->size;
}

}  // namespace thornwick
