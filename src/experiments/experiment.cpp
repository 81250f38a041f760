#include "experiments/experiment.hpp"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <fstream>
#include <mutex>
#include <sstream>
#include <stdexcept>

#include "experiments/statistics.hpp"
#include "experiments/worker_pool.hpp"

namespace thornwick::experiments {
namespace {

// What a row's key is made of: two texts of a scenario must not share their days.
std::string key_of(const std::string& text, const std::string& settings, const std::string& policy) {
  const std::string all = text + '\0' + settings + '\0' + policy;
  return fmt::format("{:016x}", XXH3_64bits(all.data(), all.size()));
}

std::string whole_file(const std::string& path) {
  std::ifstream in(path);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

bool sure_enough(const Plan& plan, const std::vector<Row>& rows) {
  if (plan.until <= 0 || rows.size() < std::max(2u, plan.least)) return false;
  std::vector<double> scores;
  for (const auto& row : rows) scores.push_back(row.score);
  return estimate(scores).half <= plan.until;
}

struct Job {
  std::size_t cell = 0;
  std::uint64_t seed = 0;
};

}  // namespace

Axis parse_axis(const std::string& text) {
  const auto equals = text.find('=');
  if (equals == std::string::npos || equals == 0 || equals + 1 == text.size()) {
    throw std::invalid_argument("--set " + text + ": not KEY=VALUE,VALUE");
  }
  Axis axis{text.substr(0, equals), {}};
  int depth = 0;
  std::string value;
  for (const char c : text.substr(equals + 1)) {
    depth += c == '[' ? 1 : c == ']' ? -1 : 0;
    if (c == ',' && depth == 0) {
      axis.values.push_back(std::exchange(value, {}));
    } else {
      value += c;
    }
  }
  axis.values.push_back(value);
  if (std::any_of(axis.values.begin(), axis.values.end(), [](auto& v) { return v.empty(); })) {
    throw std::invalid_argument("--set " + text + ": an empty value");
  }
  return axis;
}

std::vector<Cell> cells_of(const Plan& plan) {
  std::vector<std::vector<emulator::Override>> grid{{}};
  for (const auto& axis : plan.axes) {
    std::vector<std::vector<emulator::Override>> wider;
    for (const auto& cell : grid) {
      for (const auto& value : axis.values) {
        wider.push_back(cell);
        wider.back().push_back({axis.key, value});
      }
    }
    grid = std::move(wider);
  }
  const std::string text = whole_file(plan.file);
  std::vector<Cell> cells;
  for (const auto& overrides : grid) {
    std::string settings;
    for (const auto& o : overrides) settings += (settings.empty() ? "" : " ") + o.key + "=" + o.value;
    emulator::Scenario scenario = emulator::read_scenario(plan.file, overrides);
    for (const auto& policy : plan.policies.empty() ? std::vector{scenario.policy} : plan.policies) {
      scenario.policy = policy;
      cells.push_back({{scenario.name, settings, policy}, key_of(text, settings, policy), scenario});
    }
  }
  return cells;
}

// In rounds over all cells, so that a sweep that is stopped has something of each; a cell that is sure enough
// drops out between two rounds, never in the middle of one: which days count must not depend on who was
// faster.
void play(const Plan& plan, const std::vector<Cell>& cells, Results& results,
          const std::function<void(std::size_t, std::size_t)>& told) {
  const unsigned threads = plan.time ? 1 : plan.threads;
  const std::size_t all = cells.size() * plan.days;
  std::size_t done = 0;
  std::mutex one_writer;
  for (unsigned day = 0; day < plan.days; ++day) {
    std::vector<Job> jobs;
    for (std::size_t i = 0; i < cells.size(); ++i) {
      const std::uint64_t seed = plan.first_seed + day;
      if (results.has(cells[i].key, seed) || sure_enough(plan, results.of(cells[i].key))) {
        told(++done, all);
      } else {
        jobs.push_back({i, seed});
      }
    }
    over_all(jobs.size(), threads, [&](std::size_t at) {
      const Cell& cell = cells[jobs[at].cell];
      const auto result = emulator::play_day(cell.scenario, jobs[at].seed, {.time_module = plan.time});
      const std::lock_guard writing(one_writer);
      results.add(cell.key, summarise(cell.point, result, day == 0));
      told(++done, all);
    });
  }
}

}  // namespace thornwick::experiments
