// Grids of settings and policies, played on the same days until the answer is sure enough.
#pragma once

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "emulator/day.hpp"
#include "emulator/scenario.hpp"
#include "experiments/results.hpp"

namespace thornwick::experiments {

struct Axis {
  std::string key;                  // "fleet.replicas", "class.0.share"
  std::vector<std::string> values;  // TOML values
};
// Reads "KEY=VALUE,VALUE". Throws std::invalid_argument for anything else. A list is one value:
// "day.load=[0.3,0.4]".
Axis parse_axis(const std::string& text);

struct Plan {
  std::string file;  // a scenario
  std::vector<Axis> axes;
  std::vector<std::string> policies;  // empty: the scenario's
  std::uint64_t first_seed = 1;
  unsigned days = 8;   // of each cell, at most
  double until = 0;    // a cell is done once the 95 % interval of its score is at most this wide to each side
  unsigned least = 4;  // days before that is believed
  unsigned threads = 0;  // 0: as many as there are cores
  bool time = false;     // measure the costs: one day after the other
};

struct Cell {
  Point point;
  std::string key;  // in the results
  emulator::Scenario scenario;
};
// Every cell of the grid, checked. Throws settings::BadFile.
std::vector<Cell> cells_of(const Plan& plan);

// Plays what the results do not have yet. `told` hears of each day that is done: how many of how many at
// most.
void play(const Plan& plan, const std::vector<Cell>& cells, Results& results,
          const std::function<void(std::size_t, std::size_t)>& told);

}  // namespace thornwick::experiments
