#include "experiments/grid_commands.hpp"

#include <fmt/format.h>

#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include "experiments/command_options.hpp"
#include "experiments/experiment.hpp"
#include "experiments/report.hpp"
#include "experiments/statistics.hpp"

namespace thornwick::experiments {
namespace {

struct GridOptions {
  Plan plan;
  std::vector<std::string> axes;  // the texts of --set
  std::string results = "lab.sqlite";
  std::string page = "lab.html";
  bool quiet = false;
};

void show_progress(std::size_t finished, std::size_t day_count) {
  constexpr std::size_t kWidth = 40;
  const std::size_t filled = day_count == 0 ? kWidth : kWidth * finished / day_count;
  fmt::print(stderr, "\r[{}{}] {}/{} days{}", std::string(filled, '#'), std::string(kWidth - filled, ' '),
             finished, day_count, finished == day_count ? "\n" : "");
  std::fflush(stderr);
}

void show_nothing(std::size_t, std::size_t) {}

std::vector<double> scores_of(const std::vector<ResultRow>& rows) {
  std::vector<double> scores;
  scores.reserve(rows.size());
  for (const auto& row : rows) scores.push_back(row.score);
  return scores;
}

std::vector<Cell> play_grid(const GridOptions& options, Results& results) {
  Plan plan = options.plan;
  for (const auto& axis : options.axes) plan.axes.push_back(parse_axis(axis));
  auto cells = cells_of(plan);
  play(plan, cells, results, options.quiet ? show_nothing : show_progress);
  return cells;
}

int sweep(const GridOptions& options) {
  Results results(options.results);
  for (const auto& cell : play_grid(options, results)) {
    const auto rows = results.rows_of(cell.key);
    const Estimate score = estimate(scores_of(rows));
    std::uint64_t rules_broken = 0;
    for (const auto& row : rows) rules_broken += row.rules_broken;
    fmt::print("{:<34} {:<18} {:>3} days  score {:.4f} +- {:.4f}  rules broken {}\n", cell.point.settings,
               cell.point.policy, rows.size(), score.mean, score.half_width, rules_broken);
  }
  return 0;
}

// Compares each policy with the first one on the days that both have.
int compare(const GridOptions& options) {
  const std::size_t policies = options.plan.policies.size();
  if (policies < 2) {
    throw ExperimentError(ErrorKind::bad_arguments, "lab compare: at least two policies are needed");
  }
  if (options.plan.target_half_width > 0) {
    throw ExperimentError(ErrorKind::bad_arguments,
                          "lab compare: the same days for all; --until is for sweeps");
  }
  Results results(options.results);
  const auto cells = play_grid(options, results);
  for (std::size_t i = 0; i < cells.size(); ++i) {
    const std::size_t policy = i % policies;  // the policy is the axis of the grid that changes fastest
    const auto scores = scores_of(results.rows_of(cells[i].key));
    fmt::print("{:<34} {:<18} {:.4f}", cells[i].point.settings, cells[i].point.policy, estimate(scores).mean);
    const auto first_policy_scores = scores_of(results.rows_of(cells[i - policy].key));
    const Difference difference = paired_difference(first_policy_scores, scores);
    if (policy != 0) {
      fmt::print("  {:+.4f} +- {:.4f} (p = {:.2g})", difference.mean_difference.mean,
                 difference.mean_difference.half_width, difference.p_value);
    }
    fmt::print("\n");
  }
  return 0;
}

int report(const GridOptions& options) {
  const Results results(options.results);
  write_page(options.page, write_report(options.results, results.all_rows()));
  return 0;
}

void add_plan_options(CLI::App& command, GridOptions& options) {
  Plan& plan = options.plan;
  command.add_option("SCENARIO", plan.file, "a scenario's file (TOML)")->required();
  command.add_option("--set", options.axes,
                     "KEY=VALUE,VALUE: one axis of the grid, as fleet.boxes=12,48 or class.0.share=0.5");
  command.add_option("--policy", plan.policies, "who decides; several are played on the same days")
      ->check(CLI::IsMember(policy_names()));
  command.add_option("--seed", plan.first_seed, "of the first day")->capture_default_str();
  command.add_option("--days", plan.max_days, "of each cell, at most")
      ->check(CLI::Range(1, kMaxDays))
      ->capture_default_str();
  command
      .add_option("--until", plan.target_half_width,
                  "a cell is done once its score is known to this, to each side")
      ->check(CLI::Range(0.0, 10.0));
  add_threads_option(command, plan.threads);
  command.add_flag("--time", plan.measure_time, "measure the costs, on one thread");
  command.add_option("--results", options.results, "where days are kept; what is there is not played again")
      ->capture_default_str();
  command.add_flag("--quiet", options.quiet, "no progress bar");
}

}  // namespace

void add_grid_commands(CLI::App& lab, int& status) {
  auto options = std::make_shared<GridOptions>();
  auto* sweep_command = lab.add_subcommand("sweep", "play a grid of settings and policies");
  add_plan_options(*sweep_command, *options);
  sweep_command->callback([options, &status] { status = sweep(*options); });

  auto* compare_command = lab.add_subcommand("compare", "test policies against the first one, day by day");
  add_plan_options(*compare_command, *options);
  compare_command->callback([options, &status] { status = compare(*options); });

  auto* report_command = lab.add_subcommand("report", "write one HTML file with tables and plots");
  report_command->add_option("RESULTS", options->results, "a results file")->required();
  report_command->add_option("-o,--out", options->page, "the file to write")->capture_default_str();
  report_command->callback([options, &status] { status = report(*options); });
}

}  // namespace thornwick::experiments
