// Grids of settings and policies. Every cell of a grid is run on the same days, until its score is precise
// enough.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "emulator/day.hpp"
#include "emulator/scenario.hpp"
#include "experiments/results.hpp"

namespace thornwick::experiments {

// One setting that a grid varies.
struct GridAxis {
  std::string key;                  // a scenario's key: "fleet.boxes", "class.0.share"
  std::vector<std::string> values;  // written as in TOML
};
// Reads "KEY=VALUE,VALUE"; a list in brackets is one value: "day.load=[0.3,0.4]". Throws
// ExperimentError(bad_axis) for anything else.
GridAxis parse_axis(const std::string& text);

struct Plan {
  std::string file;  // path of a scenario
  std::vector<GridAxis> axes;
  std::vector<std::string> policies;  // empty: the scenario's policy
  std::uint64_t first_seed = 1;
  unsigned max_days = 8;  // maximum number of days of each cell
  // Half the width of the 95 % confidence interval of the score at which a cell is finished; 0: a cell is
  // finished after max_days.
  double target_half_width = 0;
  unsigned min_days = 4;      // minimum number of days before the interval is used
  unsigned threads = 0;       // 0: one thread for each core
  bool measure_time = false;  // whether durations are measured; days then run one after the other
};

struct Cell {
  GridPoint point;
  std::string key;  // key of the cell's rows in the results
  emulator::Scenario scenario;
};
// Returns every cell of the grid. Throws the errors of emulator::read_scenario().
std::vector<Cell> cells_of(const Plan& plan);

// Called when a day is finished, with the number of finished days, and the number of all days if no cell
// finishes early.
using ProgressObserver = std::function<void(std::size_t finished, std::size_t day_count)>;

// Runs the days that the results do not have yet, and adds their rows to the results.
void play(const Plan& plan, const std::vector<Cell>& cells, Results& results,
          const ProgressObserver& on_progress);

}  // namespace thornwick::experiments
