#include "experiments/closed_forms.hpp"

#include <boost/math/tools/roots.hpp>
#include <cmath>
#include <stdexcept>

namespace thornwick::experiments {
namespace {

constexpr double kEnough = 10;  // of a size and above, to have seen it

}  // namespace

double BoundedPareto::moment(double power, double low, double high) const {
  const double scale = alpha * std::pow(least, alpha) / (1 - std::pow(least / most, alpha));
  const double b = power - alpha;
  if (std::abs(b) < 1e-12) return scale * std::log(high / low);
  return scale * (std::pow(high, b) - std::pow(low, b)) / b;
}

BoundedPareto with_mean(double alpha, double most, double mean) {
  const auto off = [&](double log_least) {
    return BoundedPareto{alpha, std::exp(log_least), most}.moment(1) - mean;
  };
  const double low = std::log(mean * 1e-9), high = std::log(mean);
  if (!(mean > 0 && mean < most) || off(low) > 0)
    throw std::invalid_argument("no Bounded Pareto with this mean");
  std::uintmax_t steps = 200;
  const auto found =
      boost::math::tools::toms748_solve(off, low, high, boost::math::tools::eps_tolerance<double>(50), steps);
  return {alpha, std::exp((found.first + found.second) / 2), most};
}

std::vector<double> equal_work_edges(const BoundedPareto& sizes, int hosts) {
  std::vector<double> edges{sizes.least};
  const double b = 1 - sizes.alpha;
  const double low = std::pow(sizes.least, b), high = std::pow(sizes.most, b);
  for (int i = 1; i < hosts; ++i) {
    const double part = static_cast<double>(i) / hosts;
    edges.push_back(std::abs(b) < 1e-12 ? sizes.least * std::pow(sizes.most / sizes.least, part)
                                        : std::pow(low + part * (high - low), 1 / b));
  }
  edges.push_back(sizes.most);
  return edges;
}

Expected random_splitting(const BoundedPareto& sizes, double load) {
  const double arrivals = load / sizes.moment(1);
  const double wait = arrivals * sizes.moment(2) / (2 * (1 - load));
  return {wait, wait * sizes.moment(-1)};
}

Expected sita_e(const BoundedPareto& sizes, double load, int hosts) {
  const auto edges = equal_work_edges(sizes, hosts);
  const double arrivals = hosts * load / sizes.moment(1);
  Expected all;
  for (int i = 0; i < hosts; ++i) {
    const double low = edges[static_cast<std::size_t>(i)], high = edges[static_cast<std::size_t>(i) + 1];
    // The host's arrivals times its second moment: the part of all that is its own cancels out.
    const double wait = arrivals * sizes.moment(2, low, high) / (2 * (1 - load));
    all.wait += sizes.moment(0, low, high) * wait;
    all.slowdown += sizes.moment(-1, low, high) * wait;
  }
  return all;
}

double part_in_sight(const BoundedPareto& sizes, double jobs) {
  // The size that only so many of the jobs exceed.
  const double tail = kEnough / jobs * (1 - std::pow(sizes.least / sizes.most, sizes.alpha)) +
                      std::pow(sizes.least / sizes.most, sizes.alpha);
  const double size = std::min(sizes.most, sizes.least * std::pow(tail, -1 / sizes.alpha));
  return size <= sizes.least ? 0 : sizes.moment(2, sizes.least, size) / sizes.moment(2);
}

}  // namespace thornwick::experiments
