#include "experiments/theory_command.hpp"

#include <fmt/format.h>

#include <memory>
#include <string>

#include "experiments/command_options.hpp"
#include "experiments/theory.hpp"

namespace thornwick::experiments {
namespace {

struct TheoryOptions {
  TheoryPlan plan;
  std::string page;  // path of the page; empty: no page is written
};

void print(const TheoryRow& row) {
  fmt::print(
      "{:<7} load {:.2f} alpha {:.2f}  emulated {:>12.5g} +- {:<10.3g} closed form {:>12.5g}  in sight "
      "{:.3f}  {}\n",
      row.policy, row.load, row.alpha, row.slowdown.mean, row.slowdown.half_width, row.expected_slowdown,
      row.observable_share, row.agrees() ? "agrees" : "differs");
}

int run(const TheoryOptions& options) {
  const auto rows = play_theory(options.plan);
  std::size_t agreeing = 0;
  for (const auto& row : rows) {
    print(row);
    if (row.agrees()) ++agreeing;
  }
  fmt::print("{} of {} agree\n", agreeing, rows.size());
  if (!options.page.empty()) write_page(options.page, write_theory_page(options.plan, rows));
  return 0;
}

}  // namespace

void add_theory_command(CLI::App& lab, int& status) {
  auto options = std::make_shared<TheoryOptions>();
  TheoryPlan& plan = options->plan;
  auto* command = lab.add_subcommand("theory", "hold the emulator against the closed forms of M/G/1 hosts");
  command->add_option("--alpha", plan.alphas, "of the sizes")->check(CLI::Range(0.1, 10.0));
  command->add_option("--load", plan.loads, "of each host")->check(CLI::Range(0.01, 0.99));
  command->add_option("--most", plan.largest_size, "the largest size, in units of which the mean is 3,000")
      ->check(CLI::Range(4000.0, 1e10))
      ->capture_default_str();
  command->add_option("--jobs", plan.jobs, "of each run")
      ->check(CLI::Range(100.0, 1e9))
      ->capture_default_str();
  command->add_option("--runs", plan.runs, "the interval is over these")
      ->check(CLI::Range(2, 10'000))
      ->capture_default_str();
  add_threads_option(*command, plan.threads);
  command->add_option("--seed", plan.seed, "of the first run")->capture_default_str();
  command->add_option("-o,--out", options->page, "write a page with a table and plots there");
  command->callback([options, &status] { status = run(*options); });
}

}  // namespace thornwick::experiments
