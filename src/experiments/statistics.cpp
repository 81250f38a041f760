#include "experiments/statistics.hpp"

#include <boost/math/distributions/students_t.hpp>
#include <cmath>
#include <limits>
#include <stdexcept>

namespace thornwick::experiments {
namespace {

constexpr double kConfidence = 0.95;

// Of the mean.
double standard_error(const std::vector<double>& values, double mean) {
  double squares = 0;
  for (const double v : values) squares += (v - mean) * (v - mean);
  const auto n = static_cast<double>(values.size());
  return std::sqrt(squares / (n - 1) / n);
}

}  // namespace

Estimate estimate(const std::vector<double>& values) {
  Estimate e{values.size(), 0, std::numeric_limits<double>::infinity()};
  for (const double v : values) e.mean += v / static_cast<double>(values.size());
  if (values.size() < 2) return e;
  const boost::math::students_t law(static_cast<double>(values.size() - 1));
  e.half = boost::math::quantile(law, (1 + kConfidence) / 2) * standard_error(values, e.mean);
  return e;
}

Difference paired(const std::vector<double>& first, const std::vector<double>& second) {
  if (first.size() != second.size()) throw std::invalid_argument("a paired test of unlike numbers of days");
  std::vector<double> by;
  for (std::size_t i = 0; i < first.size(); ++i) by.push_back(second[i] - first[i]);
  Difference d{estimate(by), 1};
  if (by.size() < 2) return d;
  const double error = standard_error(by, d.by.mean);
  if (error <= 0) return d.chance = d.by.mean == 0 ? 1 : 0, d;
  const boost::math::students_t law(static_cast<double>(by.size() - 1));
  d.chance = 2 * boost::math::cdf(boost::math::complement(law, std::abs(d.by.mean) / error));
  return d;
}

}  // namespace thornwick::experiments
