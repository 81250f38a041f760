#include "experiments/command.hpp"

#include <fmt/format.h>

#include <cstdio>
#include <fstream>
#include <iostream>
#include <memory>

#include "emulator/baseline_policies.hpp"
#include "emulator/day.hpp"
#include "experiments/experiment.hpp"
#include "experiments/report.hpp"
#include "experiments/statistics.hpp"
#include "experiments/theory.hpp"
#include "experiments/worker_pool.hpp"

namespace thornwick::experiments {
namespace {

using emulator::Result;
using emulator::Scenario;

struct RunLine {
  std::string scenario;
  std::uint64_t seed = 1;
  unsigned days = 1, threads = 0;
  std::vector<std::string> policies;
  bool json = false, time = false;
};

struct Day {
  Scenario scenario;
  std::uint64_t seed = 0;
};

// All days over so many threads; results in the order of the days, whoever played them.
std::vector<Result> play_all(const std::vector<Day>& days, unsigned threads, bool time) {
  std::vector<Result> results(days.size());
  over_all(days.size(), threads, [&](std::size_t at) {
    results[at] = emulator::play_day(days[at].scenario, days[at].seed, {.time_module = time});
  });
  return results;
}

void print(const Result& r, bool time) {
  fmt::print(
      "{:<18} {:>4}  score {:.4f}  in time {:.4f}  kept {:.3f}  shed {:.4f}  attempts/turn {:.3f}  rules {}",
      r.policy, r.seed, r.score, r.whole.share(), r.cached_share(),
      static_cast<double>(r.totals.rejected) /
          static_cast<double>(std::max<std::uint64_t>(1, r.totals.taken)),
      static_cast<double>(r.attempts) / static_cast<double>(std::max<std::uint64_t>(1, r.turns)),
      r.violations.all() == 0
          ? "kept"
          : fmt::format("BROKEN (lost {}, twice {}, drained {}, tipped {})", r.violations.lost,
                        r.violations.twice, r.violations.drained, r.violations.tipped));
  if (!r.totals.holds()) fmt::print("  SUM DOES NOT HOLD");
  if (!r.totals.tokens_hold()) fmt::print("  TOKENS DO NOT HOLD");
  if (time) {
    fmt::print("  {:.0f} requests/s, module {:.2f} us a request", static_cast<double>(r.turns) / r.wall_s,
               1e6 * r.module_s / static_cast<double>(std::max<std::uint64_t>(1, r.turns)));
  }
  fmt::print("\n");
}

int run(const RunLine& line) {
  Scenario scenario = emulator::read_scenario(line.scenario);
  bool good = true;
  std::vector<Day> days;
  for (const auto& policy : line.policies.empty() ? std::vector{scenario.policy} : line.policies) {
    for (unsigned day = 0; day < line.days; ++day) {
      scenario.policy = policy;
      days.push_back({scenario, line.seed + day});
    }
  }
  // Costs are measured one after the other, or the days would take each other's time.
  for (const auto& result : play_all(days, line.time ? 1 : line.threads, line.time)) {
    line.json ? void(std::cout << emulator::to_json(result, line.time ? emulator::Costs::included
                                                                      : emulator::Costs::left_out)
                               << '\n')
              : print(result, line.time);
    good = good && result.totals.holds() && result.totals.tokens_hold();
  }
  return good ? 0 : 1;
}

// ---------------------------------------------------------------- sweeps

struct SweepLine {
  Plan plan;
  std::vector<std::string> sets;
  std::string results = "lab.sqlite", html = "lab.html";
  bool quiet = false;
};

void bar(std::size_t done, std::size_t all) {
  constexpr std::size_t kWide = 40;
  const std::size_t full = all == 0 ? kWide : kWide * done / all;
  fmt::print(stderr, "\r[{}{}] {}/{} days{}", std::string(full, '#'), std::string(kWide - full, ' '), done,
             all, done == all ? "\n" : "");
  std::fflush(stderr);
}

std::vector<double> scores_of(const std::vector<Row>& rows) {
  std::vector<double> scores;
  for (const auto& row : rows) scores.push_back(row.score);
  return scores;
}

std::vector<Cell> played(SweepLine& line, Results& results) {
  for (const auto& set : line.sets) line.plan.axes.push_back(parse_axis(set));
  auto cells = cells_of(line.plan);
  play(line.plan, cells, results, line.quiet ? [](std::size_t, std::size_t) {} : bar);
  return cells;
}

int sweep(SweepLine& line) {
  Results results(line.results);
  for (const auto& cell : played(line, results)) {
    const auto rows = results.of(cell.key);
    const Estimate e = estimate(scores_of(rows));
    std::uint64_t rules = 0;
    for (const auto& row : rows) rules += row.rules;
    fmt::print("{:<34} {:<18} {:>3} days  score {:.4f} +- {:.4f}  rules broken {}\n", cell.point.settings,
               cell.point.policy, rows.size(), e.mean, e.half, rules);
  }
  return 0;
}

// Each policy against the first one, on the days that both have.
int compare(SweepLine& line) {
  if (line.plan.policies.size() < 2)
    throw std::invalid_argument("lab compare: at least two policies are needed");
  if (line.plan.until > 0)
    throw std::invalid_argument("lab compare: the same days for all; --until is for sweeps");
  Results results(line.results);
  const auto cells = played(line, results);
  const std::size_t width = line.plan.policies.size();
  for (std::size_t i = 0; i < cells.size(); ++i) {
    const auto base = scores_of(results.of(cells[i - i % width].key)),
               own = scores_of(results.of(cells[i].key));
    const Difference d = paired(base, own);
    fmt::print("{:<34} {:<18} {:.4f}", cells[i].point.settings, cells[i].point.policy, estimate(own).mean);
    if (i % width != 0) fmt::print("  {:+.4f} +- {:.4f} (p = {:.2g})", d.by.mean, d.by.half, d.chance);
    fmt::print("\n");
  }
  return 0;
}

int write_report(const SweepLine& line) {
  const Results results(line.results);
  std::ofstream out(line.html);
  out << report(line.results, results.all());
  out.flush();
  if (!out) throw std::runtime_error(line.html + ": cannot be written");
  return 0;
}

int theory(const TheoryPlan& plan, const std::string& html) {
  const auto rows = play_theory(plan);
  std::size_t agree = 0;
  for (const auto& r : rows) {
    fmt::print(
        "{:<7} load {:.2f} alpha {:.2f}  emulated {:>12.5g} +- {:<10.3g} closed form {:>12.5g}  in sight "
        "{:.3f}  {}\n",
        r.policy, r.load, r.alpha, r.slowdown.mean, r.slowdown.half, r.expected, r.in_sight,
        r.agrees() ? "agrees" : "differs");
    agree += r.agrees();
  }
  fmt::print("{} of {} agree\n", agree, rows.size());
  if (html.empty()) return 0;
  std::ofstream out(html);
  out << theory_page(plan, rows);
  out.flush();
  if (!out) throw std::runtime_error(html + ": cannot be written");
  return 0;
}

void add_plan(CLI::App& command, SweepLine& line, const std::vector<std::string>& names) {
  command.add_option("SCENARIO", line.plan.file, "a scenario's file (TOML)")->required();
  command.add_option("--set", line.sets,
                     "KEY=VALUE,VALUE: one axis of the grid, as fleet.boxes=12,48 or class.0.share=0.5");
  command.add_option("--policy", line.plan.policies, "who decides; several are played on the same days")
      ->check(CLI::IsMember(names));
  command.add_option("--seed", line.plan.first_seed, "of the first day")->capture_default_str();
  command.add_option("--days", line.plan.days, "of each cell, at most")
      ->check(CLI::Range(1, 100'000))
      ->capture_default_str();
  command
      .add_option("--until", line.plan.until, "a cell is done once its score is known to this, to each side")
      ->check(CLI::Range(0.0, 10.0));
  command.add_option("--threads", line.plan.threads, "0: as many as there are cores")
      ->check(CLI::Range(0, 1024));
  command.add_flag("--time", line.plan.time, "measure the costs, on one thread");
  command.add_option("--results", line.results, "where days are kept; what is there is not played again")
      ->capture_default_str();
  command.add_flag("--quiet", line.quiet, "no progress bar");
}

}  // namespace

CLI::App* add_command(CLI::App& app, int& status) {
  auto* lab =
      app.add_subcommand("lab", "play emulated days around the real core and module")->require_subcommand(1);
  auto line = std::make_shared<RunLine>();
  auto* play = lab->add_subcommand("run", "play days of one scenario and tell what they came to");
  std::vector<std::string> names = emulator::baseline_policy_names();
  names.push_back("module");
  play->add_option("SCENARIO", line->scenario, "a scenario's file (TOML)")->required();
  play->add_option("--seed", line->seed, "of the first day")->capture_default_str();
  play->add_option("--days", line->days, "seeds in a row")
      ->check(CLI::Range(1, 100'000))
      ->capture_default_str();
  play->add_option("--policy", line->policies,
                   "instead of the scenario's; several are played on the same days")
      ->check(CLI::IsMember(names));
  play->add_option("--threads", line->threads, "0: as many as there are cores")->check(CLI::Range(0, 1024));
  play->add_flag("--json", line->json, "one JSON object a line, with everything");
  play->add_flag("--time", line->time, "measure requests a second and the module's share, on one thread");
  play->callback([line, &status] { status = run(*line); });
  auto sweeps = std::make_shared<SweepLine>();
  auto* grid = lab->add_subcommand("sweep", "play a grid of settings and policies");
  add_plan(*grid, *sweeps, names);
  grid->callback([sweeps, &status] { status = sweep(*sweeps); });
  auto* against = lab->add_subcommand("compare", "test policies against the first one, day by day");
  add_plan(*against, *sweeps, names);
  against->callback([sweeps, &status] { status = compare(*sweeps); });
  auto* page = lab->add_subcommand("report", "write one HTML file with tables and plots");
  page->add_option("RESULTS", sweeps->results, "a results file")->required();
  page->add_option("-o,--out", sweeps->html, "the file to write")->capture_default_str();
  page->callback([sweeps, &status] { status = write_report(*sweeps); });
  auto plan = std::make_shared<TheoryPlan>();
  auto html = std::make_shared<std::string>();
  auto* formulas = lab->add_subcommand("theory", "hold the emulator against the closed forms of M/G/1 hosts");
  formulas->add_option("--alpha", plan->alphas, "of the sizes")->check(CLI::Range(0.1, 10.0));
  formulas->add_option("--load", plan->loads, "of each host")->check(CLI::Range(0.01, 0.99));
  formulas->add_option("--most", plan->most, "the largest size, in units of which the mean is 3,000")
      ->check(CLI::Range(4000.0, 1e10))
      ->capture_default_str();
  formulas->add_option("--jobs", plan->jobs, "of each run")
      ->check(CLI::Range(100.0, 1e9))
      ->capture_default_str();
  formulas->add_option("--runs", plan->runs, "the interval is over these")
      ->check(CLI::Range(2, 10'000))
      ->capture_default_str();
  formulas->add_option("--threads", plan->threads, "0: as many as there are cores")
      ->check(CLI::Range(0, 1024));
  formulas->add_option("--seed", plan->seed, "of the first run")->capture_default_str();
  formulas->add_option("-o,--out", *html, "write a page with a table and plots there");
  formulas->callback([plan, html, &status] { status = theory(*plan, *html); });
  return lab;
}

}  // namespace thornwick::experiments
