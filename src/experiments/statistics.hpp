// Means with their confidence intervals, and paired differences of two policies on the same days.
#pragma once

#include <cstddef>
#include <vector>

namespace thornwick::experiments {

struct Estimate {
  std::size_t count = 0;
  double mean = 0;
  // Half the width of the 95 % confidence interval (Student's t); infinite with fewer than two values.
  double half_width = 0;
};
Estimate estimate(const std::vector<double>& values);

struct Difference {
  Estimate mean_difference;  // mean of second minus first, day by day
  double p_value = 1;        // p-value of the two-sided paired t-test
};
// Compares two samples, which must be in the order of the same days. Throws ExperimentError(unequal_samples)
// if their lengths differ.
Difference paired_difference(const std::vector<double>& first, const std::vector<double>& second);

}  // namespace thornwick::experiments
