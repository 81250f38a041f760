#include "experiments/run_command.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "emulator/day.hpp"
#include "experiments/command_options.hpp"
#include "experiments/worker_pool.hpp"

namespace thornwick::experiments {
namespace {

using emulator::Result;
using emulator::Scenario;

struct RunOptions {
  std::string scenario;
  std::uint64_t seed = 1;
  unsigned days = 1;
  unsigned threads = 0;
  std::vector<std::string> policies;
  bool json = false;
  bool time = false;
};

struct Day {
  Scenario scenario;
  std::uint64_t seed = 0;
};

std::vector<Day> days_of(const RunOptions& options) {
  Scenario scenario = emulator::read_scenario(options.scenario);
  const auto policies = options.policies.empty() ? std::vector{scenario.policy} : options.policies;
  std::vector<Day> days;
  for (const auto& policy : policies) {
    scenario.policy = policy;
    for (unsigned day = 0; day < options.days; ++day) days.push_back({scenario, options.seed + day});
  }
  return days;
}

// Runs all days. The results are in the order of the days.
std::vector<Result> play_days(const std::vector<Day>& days, const RunOptions& options) {
  // Timed days run one after the other, because parallel days would slow each other down.
  const unsigned threads = options.time ? 1 : options.threads;
  std::vector<Result> results(days.size());
  for_each_index(days.size(), threads, [&](std::size_t index) {
    results[index] =
        emulator::play_day(days[index].scenario, days[index].seed, {.time_module = options.time});
  });
  return results;
}

std::string rules_text(const Result& result) {
  if (result.violations.all() == 0) return "kept";
  const emulator::RuleViolations& violations = result.violations;
  return fmt::format("BROKEN (lost {}, twice {}, drained {}, tipped {}, repeated {}, misled {})",
                     violations.unanswered_tries, violations.concurrent_attempts,
                     violations.attempts_to_draining, violations.overloaded_replicas,
                     violations.harmful_repeats, violations.harmful_rejections);
}

void print(const Result& result, bool time) {
  const auto requests = static_cast<double>(std::max<std::uint64_t>(1, result.totals.admitted));
  const auto turns = static_cast<double>(std::max<std::uint64_t>(1, result.turns));
  fmt::print(
      "{:<18} {:>4}  score {:.4f}  in time {:.4f}  kept {:.3f}  shed {:.4f}  attempts/turn {:.3f}  rules {}",
      result.policy, result.seed, result.score, result.total_weight.share(), result.cached_share(),
      static_cast<double>(result.totals.rejected) / requests, static_cast<double>(result.attempts) / turns,
      rules_text(result));
  if (!result.totals.counts_add_up()) fmt::print("  SUM DOES NOT HOLD");
  if (!result.totals.token_counts_add_up()) fmt::print("  TOKENS DO NOT HOLD");
  if (time) {
    constexpr double kMicrosecondsPerSecond = 1e6;
    fmt::print("  {:.0f} requests/s, module {:.2f} us a request",
               static_cast<double>(result.turns) / result.wall_s,
               kMicrosecondsPerSecond * result.module_s / turns);
  }
  fmt::print("\n");
}

int run(const RunOptions& options) {
  bool consistent = true;
  for (const auto& result : play_days(days_of(options), options)) {
    if (options.json) {
      std::cout << emulator::to_json(result,
                                     options.time ? emulator::Costs::included : emulator::Costs::excluded)
                << '\n';
    } else {
      print(result, options.time);
    }
    consistent = consistent && result.totals.counts_add_up() && result.totals.token_counts_add_up();
  }
  return consistent ? 0 : 1;
}

}  // namespace

void add_run_command(CLI::App& lab, int& status) {
  auto options = std::make_shared<RunOptions>();
  auto* command = lab.add_subcommand("run", "play days of one scenario and tell what they came to");
  command->add_option("SCENARIO", options->scenario, "a scenario's file (TOML)")->required();
  command->add_option("--seed", options->seed, "of the first day")->capture_default_str();
  command->add_option("--days", options->days, "seeds in a row")
      ->check(CLI::Range(1, kMaxDays))
      ->capture_default_str();
  command
      ->add_option("--policy", options->policies,
                   "instead of the scenario's; several are played on the same days")
      ->check(CLI::IsMember(policy_names()));
  add_threads_option(*command, options->threads);
  command->add_flag("--json", options->json, "one JSON object a line, with everything");
  command->add_flag("--time", options->time,
                    "measure requests a second and the module's share, on one thread");
  command->callback([options, &status] { status = run(*options); });
}

}  // namespace thornwick::experiments
