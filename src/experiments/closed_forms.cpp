#include "experiments/closed_forms.hpp"

#include <boost/math/tools/roots.hpp>
#include <cmath>

#include "experiments/error.hpp"

namespace thornwick::experiments {
namespace {

constexpr double kObservedJobs =
    10;  // number of jobs that must be at least as large as a size that counts as observable
constexpr double kZeroExponent =
    1e-12;  // exponents nearer to 0 make the integral of x^(exponent-1) a logarithm
constexpr double kSearchStart = 1e-9;  // fraction of the mean at which the search for the minimum size begins
constexpr std::uintmax_t kMaxSolverSteps = 200;
constexpr int kSolverBits = 50;

bool is_zero(double exponent) { return std::abs(exponent) < kZeroExponent; }

}  // namespace

double BoundedPareto::moment(double power, double low, double high) const {
  const double scale = alpha * std::pow(min_size, alpha) / (1 - std::pow(min_size / max_size, alpha));
  const double exponent = power - alpha;
  if (is_zero(exponent)) return scale * std::log(high / low);
  return scale * (std::pow(high, exponent) - std::pow(low, exponent)) / exponent;
}

BoundedPareto bounded_pareto_with_mean(double alpha, double max_size, double mean) {
  const auto mean_error = [&](double log_min_size) {
    return BoundedPareto{alpha, std::exp(log_min_size), max_size}.moment(1) - mean;
  };
  const double low = std::log(mean * kSearchStart);
  const double high = std::log(mean);
  const bool in_range = mean > 0 && mean < max_size;
  if (!in_range || mean_error(low) > 0) {
    throw ExperimentError(ErrorKind::bad_sizes, "no Bounded Pareto with this mean");
  }
  std::uintmax_t steps = kMaxSolverSteps;
  const boost::math::tools::eps_tolerance<double> tolerance(kSolverBits);
  const auto bracket = boost::math::tools::toms748_solve(mean_error, low, high, tolerance, steps);
  return {alpha, std::exp((bracket.first + bracket.second) / 2), max_size};
}

std::vector<double> equal_work_edges(const BoundedPareto& sizes, int hosts) {
  std::vector<double> edges{sizes.min_size};
  const double exponent = 1 - sizes.alpha;
  const double low = std::pow(sizes.min_size, exponent);
  const double high = std::pow(sizes.max_size, exponent);
  for (int i = 1; i < hosts; ++i) {
    const double share = static_cast<double>(i) / hosts;
    const double edge = is_zero(exponent) ? sizes.min_size * std::pow(sizes.max_size / sizes.min_size, share)
                                          : std::pow(low + share * (high - low), 1 / exponent);
    edges.push_back(edge);
  }
  edges.push_back(sizes.max_size);
  return edges;
}

ExpectedDelay random_splitting(const BoundedPareto& sizes, double load) {
  const double arrival_rate = load / sizes.moment(1);
  const double wait = arrival_rate * sizes.moment(2) / (2 * (1 - load));
  return {wait, wait * sizes.moment(-1)};
}

ExpectedDelay sita_e(const BoundedPareto& sizes, double load, int hosts) {
  const auto edges = equal_work_edges(sizes, hosts);
  const double arrival_rate = hosts * load / sizes.moment(1);
  ExpectedDelay total;
  for (std::size_t i = 0; i + 1 < edges.size(); ++i) {
    const double low = edges[i];
    const double high = edges[i + 1];
    // The wait uses the host's arrival rate times its second moment, in which the probability of its interval
    // cancels out.
    const double wait = arrival_rate * sizes.moment(2, low, high) / (2 * (1 - load));
    total.wait += sizes.moment(0, low, high) * wait;
    total.slowdown += sizes.moment(-1, low, high) * wait;
  }
  return total;
}

double observable_share(const BoundedPareto& sizes, double jobs) {
  // `size` is the largest size that kObservedJobs of the jobs exceed on average.
  const double cut_off = std::pow(sizes.min_size / sizes.max_size, sizes.alpha);
  const double tail = kObservedJobs / jobs * (1 - cut_off) + cut_off;
  const double size = std::min(sizes.max_size, sizes.min_size * std::pow(tail, -1 / sizes.alpha));
  return size <= sizes.min_size ? 0 : sizes.moment(2, sizes.min_size, size) / sizes.moment(2);
}

}  // namespace thornwick::experiments
