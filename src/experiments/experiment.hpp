// Grids of settings and policies, each cell played on the same days until its score is known well enough.
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
  std::vector<std::string> values;  // as TOML writes them
};
// Reads "KEY=VALUE,VALUE"; a list in brackets is one value: "day.load=[0.3,0.4]". Throws
// ExperimentError(bad_axis) for anything else.
GridAxis parse_axis(const std::string& text);

struct Plan {
  std::string file;  // a scenario
  std::vector<GridAxis> axes;
  std::vector<std::string> policies;  // empty: the scenario's
  std::uint64_t first_seed = 1;
  unsigned max_days = 8;  // of each cell
  // A cell is finished once the 95 % interval of its score reaches at most this far to each side; 0: after
  // max_days.
  double target_half_width = 0;
  unsigned min_days = 4;      // before the interval is used
  unsigned threads = 0;       // 0: one for each core
  bool measure_time = false;  // of decisions and machine; plays one day after the other
};

struct Cell {
  GridPoint point;
  std::string key;  // in the results
  emulator::Scenario scenario;
};
// Every cell of the grid, checked. Throws the errors of emulator::read_scenario.
std::vector<Cell> cells_of(const Plan& plan);

// Called when a day is finished, with the number of finished days and the number of days if no cell finishes
// early.
using ProgressObserver = std::function<void(std::size_t finished, std::size_t day_count)>;

// Plays the days that the results do not have yet, and adds them.
void play(const Plan& plan, const std::vector<Cell>& cells, Results& results,
          const ProgressObserver& on_progress);

}  // namespace thornwick::experiments
