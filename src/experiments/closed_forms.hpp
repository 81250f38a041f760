// Closed forms of queueing theory for hosts that serve in arrival order, under two policies. The forms are a
// reference for the emulator: M/G/1 with Bounded Pareto sizes (Harchol-Balter, Crovella and Murta 1999,
// sections 4 and 5; the Pollaczek-Khinchine formula). Slowdown is waiting time divided by size, as in the
// paper. Sizes and times are in the same unit.
#pragma once

#include <vector>

namespace thornwick::experiments {

// The distribution of sizes on [min_size, max_size] with a density proportional to x^(-alpha-1).
struct BoundedPareto {
  double alpha = 1.5;
  double min_size = 1;
  double max_size = 1e10;

  // Returns the integral of x^power times the density between `low` and `high`. The integral is not divided
  // by the probability of that interval.
  double moment(double power, double low, double high) const;
  double moment(double power) const { return moment(power, min_size, max_size); }
};

// Returns the distribution with this mean. Throws ExperimentError(bad_sizes) if `mean` is not between 0 and
// `max_size`, or no distribution has this mean.
BoundedPareto bounded_pareto_with_mean(double alpha, double max_size, double mean);

// Returns the hosts + 1 edges of `hosts` intervals of equal work, ascending.
std::vector<double> equal_work_edges(const BoundedPareto& sizes, int hosts);

struct ExpectedDelay {
  double wait = 0;
  double slowdown = 0;
};
// `load` is the fraction (0..1) of each host's capacity that is in use.
ExpectedDelay random_splitting(const BoundedPareto& sizes, double load);
ExpectedDelay sita_e(const BoundedPareto& sizes, double load, int hosts);

// Returns the share of the second moment that is due to sizes that at least ten of `jobs` jobs have on
// average. The mean wait under random splitting is proportional to the second moment. Where the share is
// small, a run says nothing about the mean wait, and the confidence interval of the run is too narrow.
double observable_share(const BoundedPareto& sizes, double jobs);

}  // namespace thornwick::experiments
