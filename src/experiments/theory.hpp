// The emulator against queueing theory: hosts in arrival order, Bounded Pareto sizes, random splitting and
// SITA-E.
#pragma once

#include <string>
#include <vector>

#include "experiments/closed_forms.hpp"
#include "experiments/statistics.hpp"

namespace thornwick::experiments {

struct TheoryPlan {
  std::vector<double> alphas{1.1, 1.3, 1.5, 1.7, 1.9};
  std::vector<double> loads{0.5, 0.8};
  double most = 1e10, mean = 3000;
  int hosts = 8;
  double jobs = 200'000;  // of each run
  unsigned runs = 8, threads = 0;
  std::uint64_t seed = 1;
};

struct TheoryRow {
  std::string policy;
  double alpha = 0, load = 0;
  Estimate slowdown;    // over the runs
  double expected = 0;  // by the closed form
  double in_sight = 0;  // of the second moment, to all runs together
  bool agrees() const;  // the closed form lies within the interval
};

std::vector<TheoryRow> play_theory(const TheoryPlan& plan);
// A table and a plot, as one HTML page.
std::string theory_page(const TheoryPlan& plan, const std::vector<TheoryRow>& rows);

}  // namespace thornwick::experiments
