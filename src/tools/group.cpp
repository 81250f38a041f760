#include "tools/group.hpp"

#include <fmt/format.h>

#include <memory>
#include <string>
#include <vector>

#include "emulator/group_faults.hpp"
#include "experiments/group_table.hpp"
#include "tools/group_play.hpp"
#include "tools/running_router.hpp"

namespace thornwick::tools {
namespace {

struct VirtualOptions {
  std::uint64_t seed = 1;   // seed of the first script
  std::uint64_t count = 1;  // number of scripts, one for each seed from the first on
  bool verbose = false;
};

void print_line(const std::string& text) { fmt::print("{}\n", text); }
void ignore_line(const std::string&) {}

int run_virtual(const VirtualOptions& options) {
  std::uint64_t violations = 0;
  std::uint64_t faults = 0;
  std::uint64_t failure_reports = 0;
  for (std::uint64_t seed = options.seed; seed < options.seed + options.count; ++seed) {
    const auto result =
        emulator::play_script(emulator::random_script(seed), options.verbose ? print_line : ignore_line);
    faults += result.faults;
    failure_reports += result.failure_reports;
    if (result.violation.empty()) continue;
    ++violations;
    fmt::print("seed {}: {}\n  again: thornwick group virtual --seed {} --count 1 --say\n", seed,
               result.violation, seed);
  }
  fmt::print("{} scripts, {} faults, {} reports of failed routers, {} broken\n", options.count, faults,
             failure_reports, violations);
  return violations == 0 ? 0 : 1;
}

void add_virtual(CLI::App& group, int& status) {
  auto options = std::make_shared<VirtualOptions>();
  auto* command = group.add_subcommand("virtual", "random fault scripts on a group in virtual time");
  command->add_option("--seed", options->seed, "of the first script")->capture_default_str();
  command->add_option("--count", options->count, "scripts, one for each seed from there on")
      ->check(CLI::Range(1, 100'000'000))
      ->capture_default_str();
  command->add_flag("--say", options->verbose, "print each fault and each change of a router's mind");
  command->callback([options, &status] { status = run_virtual(*options); });
}

int run_table(const experiments::GroupTableOptions& options) {
  std::vector<experiments::GroupRow> rows;
  for (const auto& detector : options.detectors) {
    for (const auto routers : options.routers) {
      for (const auto loss : options.losses) {
        rows.push_back(experiments::measure_group(detector, routers, loss, options));
        fmt::print(stderr, "  {} {} {}\n", detector, routers, loss);
      }
    }
  }
  fmt::print("{}", experiments::print_group_rows(rows));
  return 0;
}

void add_table(CLI::App& group, int& status) {
  auto options = std::make_shared<experiments::GroupTableOptions>();
  auto* command = group.add_subcommand(
      "table", "time to find a death, false alarms and cost by size, loss and way, in virtual time");
  command->add_option("--routers", options->routers, "sizes")
      ->check(CLI::Range(2, 1000))
      ->capture_default_str();
  command->add_option("--loss", options->losses, "parts of the datagrams")
      ->check(CLI::Range(0.0, 0.9))
      ->capture_default_str();
  command->add_option("--way", options->detectors, "how silence is judged")
      ->check(CLI::IsMember({"measured", "plain", "lifeguard"}))
      ->capture_default_str();
  command->add_option("--calm", options->calm_s, "seconds without a fault")
      ->check(CLI::Range(1.0, 1e6))
      ->capture_default_str();
  command->add_option("--kills", options->kills, "deaths")->check(CLI::Range(1, 1000))->capture_default_str();
  command->add_option("--seed", options->seed, "of all chance")->capture_default_str();
  command->callback([options, &status] { status = run_table(*options); });
}

}  // namespace

CLI::App* add_group(CLI::App& app, int& status, const std::string& operator_file) {
  auto* group = app.add_subcommand("group", "routers that know of each other")->require_subcommand(1);
  add_status(*group, {"who is there, as a running router of this machine sees it", "STATUS"}, status,
             operator_file);
  add_group_play(*group, status);
  add_virtual(*group, status);
  add_table(*group, status);
  return group;
}

}  // namespace thornwick::tools
