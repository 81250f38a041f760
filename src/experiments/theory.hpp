// Comparison of the emulator with queueing theory: hosts that serve in arrival order, Bounded Pareto sizes,
// and the policies random splitting and SITA-E.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "experiments/closed_forms.hpp"
#include "experiments/statistics.hpp"

namespace thornwick::experiments {

struct TheoryPlan {
  std::vector<double> alphas{1.1, 1.3, 1.5, 1.7, 1.9};
  std::vector<double> loads{0.5, 0.8};
  double largest_size = 1e10;
  double mean_size = 3000;
  int hosts = 8;
  double jobs = 200'000;  // number of jobs of each run
  unsigned runs = 8;
  unsigned threads = 0;  // 0: one thread for each core
  std::uint64_t seed = 1;
};

struct TheoryRow {
  std::string policy;  // "random" or "sita"
  double alpha = 0;
  double load = 0;
  Estimate slowdown;             // mean slowdown over the runs
  double expected_slowdown = 0;  // mean slowdown by the closed form
  double observable_share = 0;   // observable share of the second moment, over the jobs of all runs

  // Whether the closed form lies within the confidence interval.
  bool agrees() const;
};

std::vector<TheoryRow> play_theory(const TheoryPlan& plan);
// Returns a table and plots as one HTML page.
std::string write_theory_page(const TheoryPlan& plan, const std::vector<TheoryRow>& rows);

}  // namespace thornwick::experiments
