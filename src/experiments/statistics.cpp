#include "experiments/statistics.hpp"

#include <boost/math/distributions/students_t.hpp>
#include <cmath>
#include <limits>

#include "experiments/error.hpp"

namespace thornwick::experiments {
namespace {

constexpr double kConfidence = 0.95;

double standard_error_of_mean(const std::vector<double>& values, double mean) {
  double squares = 0;
  for (const double value : values) squares += (value - mean) * (value - mean);
  const auto count = static_cast<double>(values.size());
  return std::sqrt(squares / (count - 1) / count);
}

double degrees_of_freedom(std::size_t count) { return static_cast<double>(count - 1); }

}  // namespace

Estimate estimate(const std::vector<double>& values) {
  Estimate result{values.size(), 0, std::numeric_limits<double>::infinity()};
  for (const double value : values) result.mean += value / static_cast<double>(values.size());
  if (values.size() < 2) return result;
  const boost::math::students_t distribution(degrees_of_freedom(values.size()));
  const double quantile = boost::math::quantile(distribution, (1 + kConfidence) / 2);
  result.half_width = quantile * standard_error_of_mean(values, result.mean);
  return result;
}

Difference paired_difference(const std::vector<double>& first, const std::vector<double>& second) {
  if (first.size() != second.size()) {
    throw ExperimentError(ErrorKind::unequal_samples, "a paired test of unlike numbers of days");
  }
  std::vector<double> differences;
  differences.reserve(first.size());
  for (std::size_t i = 0; i < first.size(); ++i) differences.push_back(second[i] - first[i]);
  Difference result{estimate(differences), 1};
  if (differences.size() < 2) return result;
  const double mean = result.mean_difference.mean;
  const double error = standard_error_of_mean(differences, mean);
  if (error <= 0) {
    result.p_value = mean == 0 ? 1 : 0;
    return result;
  }
  const boost::math::students_t distribution(degrees_of_freedom(differences.size()));
  result.p_value = 2 * boost::math::cdf(boost::math::complement(distribution, std::abs(mean) / error));
  return result;
}

}  // namespace thornwick::experiments
