#include "experiments/experiment.hpp"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <fstream>
#include <mutex>
#include <sstream>
#include <utility>

#include "experiments/error.hpp"
#include "experiments/statistics.hpp"
#include "experiments/worker_pool.hpp"

namespace thornwick::experiments {
namespace {

using Overrides = std::vector<emulator::Override>;

// Returns the key of a cell's rows. The key depends on the scenario's text, so that two texts of one scenario
// never share their days.
std::string key_of(const std::string& text, const std::string& settings, const std::string& policy) {
  const std::string content = text + '\0' + settings + '\0' + policy;
  return fmt::format("{:016x}", XXH3_64bits(content.data(), content.size()));
}

std::string read_text(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

// Splits the text at the commas that are not in brackets.
std::vector<std::string> split_values(const std::string& text) {
  std::vector<std::string> values;
  std::string value;
  int depth = 0;
  for (const char letter : text) {
    if (letter == '[') ++depth;
    if (letter == ']') --depth;
    if (letter == ',' && depth == 0) {
      values.push_back(std::exchange(value, {}));
    } else {
      value += letter;
    }
  }
  values.push_back(value);
  return values;
}

// Returns every combination of the axes' values. The last axis changes fastest.
std::vector<Overrides> combinations(const std::vector<GridAxis>& axes) {
  std::vector<Overrides> grid{{}};
  for (const auto& axis : axes) {
    std::vector<Overrides> extended;
    for (const auto& cell : grid) {
      for (const auto& value : axis.values) {
        extended.push_back(cell);
        extended.back().push_back({axis.key, value});
      }
    }
    grid = std::move(extended);
  }
  return grid;
}

std::string settings_text(const Overrides& overrides) {
  std::string text;
  for (const auto& setting : overrides) {
    text += (text.empty() ? "" : " ") + setting.key + "=" + setting.value;
  }
  return text;
}

bool is_precise_enough(const Plan& plan, const std::vector<ResultRow>& rows) {
  if (plan.target_half_width <= 0 || rows.size() < std::max(2u, plan.min_days)) return false;
  std::vector<double> scores;
  scores.reserve(rows.size());
  for (const auto& row : rows) scores.push_back(row.score);
  return estimate(scores).half_width <= plan.target_half_width;
}

struct Job {
  std::size_t cell = 0;
  std::uint64_t seed = 0;
};

}  // namespace

GridAxis parse_axis(const std::string& text) {
  const auto equals = text.find('=');
  if (equals == std::string::npos || equals == 0 || equals + 1 == text.size()) {
    throw ExperimentError(ErrorKind::bad_axis, "--set " + text + ": not KEY=VALUE,VALUE");
  }
  GridAxis axis{text.substr(0, equals), split_values(text.substr(equals + 1))};
  if (std::find(axis.values.begin(), axis.values.end(), "") != axis.values.end()) {
    throw ExperimentError(ErrorKind::bad_axis, "--set " + text + ": an empty value");
  }
  return axis;
}

std::vector<Cell> cells_of(const Plan& plan) {
  const std::string text = read_text(plan.file);
  std::vector<Cell> cells;
  for (const auto& overrides : combinations(plan.axes)) {
    const std::string settings = settings_text(overrides);
    emulator::Scenario scenario = emulator::read_scenario(plan.file, overrides);
    const auto policies = plan.policies.empty() ? std::vector{scenario.policy} : plan.policies;
    for (const auto& policy : policies) {
      scenario.policy = policy;
      cells.push_back({{scenario.name, settings, policy}, key_of(text, settings, policy), scenario});
    }
  }
  return cells;
}

// Runs one day of every cell in each round, so that a sweep that is stopped has days of every cell. Whether a
// cell is precise enough is decided before each round, because the days that count must not depend on which
// thread is faster.
void play(const Plan& plan, const std::vector<Cell>& cells, Results& results,
          const ProgressObserver& on_progress) {
  const unsigned threads = plan.measure_time ? 1 : plan.threads;
  const std::size_t day_count = cells.size() * plan.max_days;
  std::size_t finished = 0;
  std::mutex results_mutex;
  for (unsigned day = 0; day < plan.max_days; ++day) {
    const std::uint64_t seed = plan.first_seed + day;
    std::vector<Job> jobs;
    for (std::size_t i = 0; i < cells.size(); ++i) {
      const std::string& key = cells[i].key;
      if (results.has(key, seed) || is_precise_enough(plan, results.rows_of(key))) {
        on_progress(++finished, day_count);
      } else {
        jobs.push_back({i, seed});
      }
    }
    for_each_index(jobs.size(), threads, [&](std::size_t index) {
      const Cell& cell = cells[jobs[index].cell];
      const auto result =
          emulator::play_day(cell.scenario, jobs[index].seed, {.time_module = plan.measure_time});
      const std::lock_guard lock(results_mutex);
      const Detail detail = day == 0 ? Detail::whole_result : Detail::figures;
      results.add(cell.key, summarise(cell.point, result, detail));
      on_progress(++finished, day_count);
    });
  }
}

}  // namespace thornwick::experiments
