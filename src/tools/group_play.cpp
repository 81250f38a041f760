#include "tools/group_play.hpp"

#include <fmt/format.h>
#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <memory>
#include <optional>
#include <string>

#include "testbed/fault_script.hpp"
#include "tools/command_error.hpp"

namespace thornwick::tools {
namespace {

struct PlayOptions {
  std::string script;  // path of the script; empty: random scripts are played
  std::string folder;  // empty: a temporary folder
  std::string scenario;
  std::optional<std::uint64_t> seed;
  std::optional<double> seconds;
  std::uint64_t count = 1;
  std::size_t min_routers = 3;
  std::size_t max_routers = 9;
  bool quiet = false;
  bool without_group = false;
  bool without_network_faults = false;
};

// Defaults of random scripts: the first seed, and how long faults last, in seconds.
constexpr std::uint64_t kDefaultSeed = 1;
constexpr double kDefaultSeconds = 10;

void print_summary(const testbed::FaultScript& script, const testbed::FaultHarness::Metrics& metrics,
                   const std::string& folder) {
  fmt::print(
      "seed {}: {} routers, {} faults, {} starts; {} requests, {} served, {} refused, {} excused, {} "
      "attempts at the most; {} reports of failed routers; "
      "{} datagrams, {} lost; agreed after {:.1f} s; logs in {}\n",
      script.seed, script.routers, script.faults.size(), metrics.starts, metrics.requests, metrics.served,
      metrics.rejected, metrics.expected_failures, metrics.max_attempts, metrics.failure_reports,
      metrics.datagrams, metrics.lost, metrics.agreed_after_s, folder);
  fmt::print(
      "  a router: {:.0f} ms of CPU, {:.1f} MB; {:.0f} us of CPU a request; answers p50 {:.1f} ms, p99 "
      "{:.1f} ms\n",
      metrics.cpu_ms, metrics.memory_mb, metrics.cpu_us_per_request, metrics.answer_p50_ms,
      metrics.answer_p99_ms);
  std::fflush(stdout);
}

// Plays one script and prints the timeline and a summary. Returns the exit status: 0 if no check failed,
// else 1.
int play_one(const PlayOptions& options, const testbed::FaultScript& script, const std::string& folder) {
  testbed::FaultHarnessOptions harness_options;
  harness_options.program = std::filesystem::read_symlink("/proc/self/exe").string();
  harness_options.folder = folder;
  harness_options.scenario = options.scenario;
  harness_options.with_group = !options.without_group;
  harness_options.with_link_faults = !options.without_network_faults;
  if (!options.quiet)
    harness_options.write_log = [](double at, const std::string& text) {
      fmt::print("{:9.3f}  {}\n", at, text);
    };
  const auto played = testbed::play(script, harness_options);
  print_summary(script, played.metrics, folder);
  if (played.violation.empty()) return 0;
  fmt::print("BROKEN: {}\n", played.violation);
  return 1;
}

// Plays the script of the command line. Options of the command line take precedence over options of the
// script.
int play_script(PlayOptions options, const std::string& folder) {
  auto script = testbed::read_fault_script(options.script);
  script.seed = options.seed.value_or(script.seed);
  script.seconds = options.seconds.value_or(script.seconds);
  if (options.scenario.empty() && !script.scenario.empty())
    options.scenario = (std::filesystem::path(options.script).parent_path() / script.scenario).string();
  if (options.scenario.empty()) {
    throw UsageError("group play: the script has no rig.scenario, and there is no --scenario FILE");
  }
  return play_one(options, script, folder);
}

int play_random_scripts(const PlayOptions& options, const std::string& folder) {
  if (options.scenario.empty()) {
    throw UsageError(
        "group play: --scenario FILE is needed: boxes and classes, as `thornwick boxes` takes it");
  }
  const std::uint64_t first_seed = options.seed.value_or(kDefaultSeed);
  const double seconds = options.seconds.value_or(kDefaultSeconds);
  int broken = 0;
  for (std::uint64_t seed = first_seed; seed < first_seed + options.count; ++seed) {
    const auto script = testbed::random_fault_script(seed, seconds, options.min_routers, options.max_routers);
    if (play_one(options, script, folder + fmt::format("/{}", seed)) == 0) continue;
    ++broken;
    fmt::print("  again: thornwick group play --scenario {} --seed {} --seconds {} --least {} --most {}\n",
               options.scenario, seed, seconds, options.min_routers, options.max_routers);
  }
  if (options.count > 1) fmt::print("{} scripts, {} broken\n", options.count, broken);
  return broken == 0 ? 0 : 1;
}

std::string folder_of(const PlayOptions& options) {
  if (!options.folder.empty()) return options.folder;
  return (std::filesystem::temp_directory_path() / fmt::format("thornwick-rig-{}", getpid())).string();
}

int run_play(const PlayOptions& options) {
  const std::string folder = folder_of(options);
  return options.script.empty() ? play_random_scripts(options, folder) : play_script(options, folder);
}

}  // namespace

void add_group_play(CLI::App& group, int& status) {
  auto options = std::make_shared<PlayOptions>();
  auto* command = group.add_subcommand("play", "real processes with faults between them, on this machine");
  command
      ->add_option("SCRIPT", options->script,
                   "a fault script (TOML); without it, scripts are drawn from the seed")
      ->check(CLI::ExistingFile);
  command->add_option("--scenario", options->scenario, "boxes and classes of requests (TOML)")
      ->check(CLI::ExistingFile);
  command->add_option("--seed", options->seed,
                      "of the first script that is drawn, or instead of the script's own");
  command->add_option("--count", options->count, "scripts that are drawn")
      ->check(CLI::Range(1, 100'000))
      ->capture_default_str();
  command->add_option("--seconds", options->seconds, "that faults last: 10 in a script that is drawn")
      ->check(CLI::Range(1.0, 3600.0));
  command->add_option("--least", options->min_routers, "routers of a script that is drawn")
      ->check(CLI::Range(2, 50))
      ->capture_default_str();
  command->add_option("--most", options->max_routers, "likewise")
      ->check(CLI::Range(2, 50))
      ->capture_default_str();
  command->add_option("--folder", options->folder, "for logs, disks and configurations; it stays");
  command->add_flag("--quiet", options->quiet, "no timeline");
  command->add_flag("--alone", options->without_group, "the same routers without a group, to compare with");
  command->add_flag("--straight", options->without_network_faults,
                    "no wires between them: no faults of the network, and room for hundreds");
  command->callback([options, &status] { status = run_play(*options); });
}

}  // namespace thornwick::tools
