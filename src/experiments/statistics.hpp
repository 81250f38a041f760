// Means with their confidence, and paired differences of two policies on the same days.
#pragma once

#include <string>
#include <vector>

namespace thornwick::experiments {

struct Estimate {
  std::size_t count = 0;
  double mean = 0;
  double half = 0;  // of the 95 % confidence interval (Student's t); infinite with fewer than two values
};
Estimate estimate(const std::vector<double>& values);

struct Difference {
  Estimate by;        // second less first, day by day
  double chance = 1;  // that a difference so large comes up between equals (paired t test, two sides)
};
// Both in the order of the same days. Throws std::invalid_argument if they are not as many.
Difference paired(const std::vector<double>& first, const std::vector<double>& second);

}  // namespace thornwick::experiments
