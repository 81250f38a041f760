// What queueing theory says of hosts in arrival order under two policies, to hold the emulator against: M/G/1
// with Bounded Pareto sizes (Harchol-Balter, Crovella and Murta 1999, sections 4 and 5; Pollaczek and
// Khinchine's formula). Slowdown is waiting over size, as the paper has it.
#pragma once

#include <vector>

namespace thornwick::experiments {

// Sizes on [least, most] with density proportional to x^(-alpha-1).
struct BoundedPareto {
  double alpha = 1.5, least = 1, most = 1e10;
  // The integral of x^power over the sizes between low and high: not divided by how many there are.
  double moment(double power, double low, double high) const;
  double moment(double power) const { return moment(power, least, most); }
};
// With this mean; throws std::invalid_argument if there is none below `most`.
BoundedPareto with_mean(double alpha, double most, double mean);

// Edges between `hosts` intervals of equal work.
std::vector<double> equal_work_edges(const BoundedPareto& sizes, int hosts);

struct Expected {
  double wait = 0, slowdown = 0;
};
// Each of `hosts` has the load (0..1) of its capacity.
Expected random_splitting(const BoundedPareto& sizes, double load);
Expected sita_e(const BoundedPareto& sizes, double load, int hosts);

// The part of the second moment (and so of the wait under random splitting) that comes of sizes which a run
// of so many jobs has at least ten of. Where it is small a run says nothing of the mean, and its interval is
// an illusion.
double part_in_sight(const BoundedPareto& sizes, double jobs);

}  // namespace thornwick::experiments
