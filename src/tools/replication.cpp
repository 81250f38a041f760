#include "tools/replication.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <filesystem>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "emulator/replication_simulation.hpp"
#include "persistence/ledger_store.hpp"
#include "replication/ledger.hpp"
#include "testbed/replication_play.hpp"
#include "tools/running_router.hpp"
#include "tools/store_file.hpp"

namespace thornwick::tools {
namespace {

// Help texts and bounds of the options that trials in virtual time and trials with real processes share.
struct SeriesOptions {
  std::string seed_help;      // help of --seed
  std::string count_help;     // help of --count
  std::string replicas_help;  // help of --copies
  int max_count = 0;
  int max_routers = 0;
};

// Adds the options of a series of runs. `script` receives the seed of the first run and the size of the
// group, `replicas` the number of replicas of each ledger, and `count` the number of runs.
template <typename Script>
void add_series_options(CLI::App& command, Script& script, std::size_t& replicas, std::uint64_t& count,
                        const SeriesOptions& series_options) {
  command.add_option("--seed", script.seed, series_options.seed_help)->capture_default_str();
  command.add_option("--count", count, series_options.count_help)
      ->check(CLI::Range(1, series_options.max_count))
      ->capture_default_str();
  command.add_option("--routers", script.routers, "in the group")
      ->check(CLI::Range(3, series_options.max_routers))
      ->capture_default_str();
  command.add_option("--sites", script.sites, "that they are spread over")
      ->check(CLI::Range(1, 16))
      ->capture_default_str();
  command.add_option("--copies", replicas, series_options.replicas_help)
      ->check(CLI::IsMember({3, 5}))
      ->capture_default_str();
}

struct VirtualOptions {
  emulator::ReplicationOptions simulation;  // with the seed of the first script
  std::uint64_t count = 1;                  // number of scripts, one for each seed from the first on
  bool verbose = false;
};

void add_to_total(const emulator::ReplicationResult& result, emulator::ReplicationResult& total) {
  total.kills += result.kills;
  total.lost_disks += result.lost_disks;
  total.older_disks += result.older_disks;
  total.suspensions += result.suspensions;
  total.cuts += result.cuts;
  total.corrections += result.corrections;
  total.confirmed_corrections += result.confirmed_corrections;
  total.granted += result.granted;
}

int run_virtual(const VirtualOptions& options) {
  std::uint64_t broken = 0;
  emulator::ReplicationResult total;
  auto simulation = options.simulation;
  const std::uint64_t end = simulation.seed + options.count;
  for (; simulation.seed < end; ++simulation.seed) {
    const auto result = emulator::simulate_replication(simulation);
    if (options.verbose) fmt::print("{}", result.timeline);
    add_to_total(result, total);
    if (result.violation.empty()) continue;
    ++broken;
    fmt::print(
        "seed {}: {}\n  again: thornwick copies virtual --seed {} --routers {} --sites {} --copies {} "
        "--ledgers {} --say\n",
        simulation.seed, result.violation, simulation.seed, simulation.routers, simulation.sites,
        simulation.replicas, simulation.ledgers);
  }
  fmt::print(
      "{} scripts: {} kills, {} disks lost, {} older, {} stops, {} cuts, {} of {} corrections confirmed, {} "
      "requests granted; {} broken\n",
      options.count, total.kills, total.lost_disks, total.older_disks, total.suspensions, total.cuts,
      total.confirmed_corrections, total.corrections, total.granted, broken);
  return broken == 0 ? 0 : 1;
}

void add_virtual(CLI::App& copies, int& status) {
  auto options = std::make_shared<VirtualOptions>();
  auto* command =
      copies.add_subcommand("virtual", "random fault scripts on routers, ledgers and disks in virtual time");
  add_series_options(*command, options->simulation, options->simulation.replicas, options->count,
                     {.seed_help = "of the first script",
                      .count_help = "scripts, one for each seed from there on",
                      .replicas_help = "of each ledger",
                      .max_count = 100'000'000,
                      .max_routers = 300});
  command->add_option("--ledgers", options->simulation.ledgers, "that accounts are spread over")
      ->check(CLI::Range(1, 16))
      ->capture_default_str();
  command->add_option("--seconds", options->simulation.seconds, "that faults last")
      ->check(CLI::Range(20.0, 86'400.0))
      ->capture_default_str();
  command->add_flag("--say", options->verbose, "print each fault and what routers said");
  command->callback([options, &status] { status = run_virtual(*options); });
}

struct ReplaceOptions {
  std::string socket;
  std::string old_name;
  std::string new_name;
};

int run_replace(const ReplaceOptions& options) {
  RouterCommand command;
  command.name = "REPLACE";
  command.arguments = options.old_name + " " + options.new_name;
  return run_command(options.socket, command);
}

void add_replace(CLI::App& copies, int& status) {
  auto options = std::make_shared<ReplaceOptions>();
  auto* command = copies.add_subcommand(
      "replace",
      "a router is gone for good: another one takes its places; answered yes when a majority knows");
  command->add_option("SOCKET", options->socket, "group.status of a running router")->required();
  command->add_option("OLD", options->old_name, "the router that is gone")->required();
  command->add_option("NEW", options->new_name, "the router that takes its places")->required();
  command->callback([options, &status] { status = run_replace(*options); });
}

// Returns the ledger's number, which the first two bytes of the key encode, the higher byte first. Returns -1
// if the key is too short.
int ledger_of(std::string_view key) {
  if (key.size() < 2) return -1;
  return static_cast<unsigned char>(key[0]) * 256 + static_cast<unsigned char>(key[1]);
}

int check_file(const std::string& path) {
  return with_store_errors([&] {
    const store::File file(read_only(path, "thornwick copies"), persistence::ledger_tables());
    std::map<int, std::size_t> records;
    file.each(0, [&](std::string_view key, std::string_view) { ++records[ledger_of(key)]; });
    for (const auto& [ledger, count] : records)
      fmt::print("ledger {}: {} records, all as they were written\n", ledger, count);
    return 0;
  });
}

void add_check(CLI::App& copies, int& status) {
  auto path = std::make_shared<std::string>();
  auto* command = copies.add_subcommand(
      "check", "read the file of a router that is stopped and compare it with its checksums");
  command->add_option("FILE", *path, "copies.file")->required();
  command->callback([path, &status] { status = check_file(*path); });
}

struct PlayOptions {
  testbed::ReplicationPlayOptions script;  // with the seed of the first play
  std::uint64_t count = 1;                 // number of plays, one for each seed from the first on
  std::string scenario;
  std::string folder;  // empty: a temporary folder
  bool quiet = false;
};

void add_to_total(const testbed::ReplicationPlayResult& result, testbed::ReplicationPlayResult& total) {
  total.kills += result.kills;
  total.corrections += result.corrections;
  total.confirmed += result.confirmed;
  total.served += result.served;
  total.rejected += result.rejected;
  total.tokens += result.tokens;
  total.limit += result.limit;
  total.filled_after_s = std::max(total.filled_after_s, result.filled_after_s);
  total.leader_after_s = std::max(total.leader_after_s, result.leader_after_s);
}

// Returns the options of one play. Removes the folder of an earlier play with the same seed, so that each
// play starts with an empty folder.
testbed::FaultHarnessOptions harness_options(const PlayOptions& options, std::uint64_t seed) {
  testbed::FaultHarnessOptions harness;
  harness.program = std::filesystem::read_symlink("/proc/self/exe").string();
  harness.folder =
      (options.folder.empty() ? std::filesystem::temp_directory_path().string() + "/thornwick-copies"
                              : options.folder) +
      fmt::format("/{}", seed);
  std::filesystem::remove_all(harness.folder);
  harness.scenario = options.scenario;
  if (!options.quiet)
    harness.write_log = [](double at, const std::string& text) { fmt::print("{:8.3f}  {}\n", at, text); };
  return harness;
}

void print_violation(const PlayOptions& options, const testbed::ReplicationPlayOptions& script,
                     const std::string& broken) {
  fmt::print(
      "seed {}: {}\n  again: thornwick copies play --scenario {} --seed {} --routers {} --sites {} "
      "--copies {}{}\n",
      script.seed, broken, options.scenario, script.seed, script.routers, script.sites, script.replicas,
      script.lose_site ? " --site" : "");
}

int run_play(const PlayOptions& options) {
  std::uint64_t broken = 0;
  testbed::ReplicationPlayResult total;
  auto script = options.script;
  const std::uint64_t end = script.seed + options.count;
  for (; script.seed < end; ++script.seed) {
    const auto result = testbed::play_machine_losses(script, harness_options(options, script.seed));
    add_to_total(result, total);
    if (result.violation.empty()) continue;
    ++broken;
    print_violation(options, script, result.violation);
  }
  fmt::print(
      "{} plays: {} machines lost with their disks, {} of {} corrections confirmed, {} answers, {} refusals, "
      "{:.0f} tokens tallied of {:.0f}; "
      "filled after {:.1f} s, granted by others after {:.1f} s at the most; {} broken\n",
      options.count, total.kills, total.confirmed, total.corrections, total.served, total.rejected,
      total.tokens, total.limit, total.filled_after_s, total.leader_after_s, broken);
  return broken == 0 ? 0 : 1;
}

void add_play(CLI::App& copies, int& status) {
  auto options = std::make_shared<PlayOptions>();
  auto* command =
      copies.add_subcommand("play", "real processes that share a budget lose machines with their disks");
  command->add_option("--scenario", options->scenario, "boxes and classes of requests (TOML)")
      ->required()
      ->check(CLI::ExistingFile);
  add_series_options(*command, options->script, options->script.replicas, options->count,
                     {.seed_help = "of the first play",
                      .count_help = "plays, one for each seed from there on",
                      .replicas_help = "of the ledger",
                      .max_count = 100'000,
                      .max_routers = 50});
  command->add_flag("--site", options->script.lose_site, "a whole site is lost at a time");
  command->add_option("--folder", options->folder, "for logs, disks and configurations; it stays");
  command->add_flag("--quiet", options->quiet, "no timeline");
  command->callback([options, &status] { status = run_play(*options); });
}

}  // namespace

CLI::App* add_copies(CLI::App& app, int& status, const std::string& operator_file) {
  auto* copies = app.add_subcommand("copies", "what routers hold for others, copied")->require_subcommand(1);
  add_status(*copies,
             {"ledgers, books and what is in hand, as a running router of this machine has them", "COPIES"},
             status, operator_file);
  add_replace(*copies, status);
  add_check(*copies, status);
  add_play(*copies, status);
  add_virtual(*copies, status);
  return copies;
}

}  // namespace thornwick::tools
