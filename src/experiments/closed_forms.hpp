// What queueing theory says of hosts in arrival order under two policies, as a reference for the emulator:
// M/G/1 with Bounded Pareto sizes (Harchol-Balter, Crovella and Murta 1999, sections 4 and 5; the
// Pollaczek-Khinchine formula). Slowdown is waiting time over size, as in the paper. Sizes and times are in
// the same unit.
#pragma once

#include <vector>

namespace thornwick::experiments {

// Sizes on [min_size, max_size] with density proportional to x^(-alpha-1).
struct BoundedPareto {
  double alpha = 1.5;
  double min_size = 1;
  double max_size = 1e10;

  // The integral of x^power times the density between low and high; not divided by the probability of that
  // interval.
  double moment(double power, double low, double high) const;
  double moment(double power) const { return moment(power, min_size, max_size); }
};

// The distribution with this mean. Throws ExperimentError(bad_sizes) if there is none below `max_size`.
BoundedPareto bounded_pareto_with_mean(double alpha, double max_size, double mean);

// The hosts + 1 edges of `hosts` intervals of equal work, ascending.
std::vector<double> equal_work_edges(const BoundedPareto& sizes, int hosts);

struct ExpectedDelay {
  double wait = 0;
  double slowdown = 0;
};
// `load` is the share (0..1) of its capacity that each host has to work for.
ExpectedDelay random_splitting(const BoundedPareto& sizes, double load);
ExpectedDelay sita_e(const BoundedPareto& sizes, double load, int hosts);

// The share of the second moment that is due to sizes of which `jobs` jobs have at least ten in the mean. The
// mean wait under random splitting is proportional to the second moment: where the share is small, a run says
// nothing about the mean, and its confidence interval is too narrow.
double observable_share(const BoundedPareto& sizes, double jobs);

}  // namespace thornwick::experiments
