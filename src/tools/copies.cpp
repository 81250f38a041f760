#include "tools/copies.hpp"

#include <fmt/format.h>

#include <memory>

#include "emulator/copies.hpp"

namespace sprucecourse::tools {
namespace {

// ---------------------------------------------------------------- virtual time

struct VirtualLine {
  emulator::CopiesOptions options;
  std::uint64_t count = 1;
  bool say = false;
};

int run_virtual(const VirtualLine& line) {
  std::uint64_t broken = 0;
  emulator::CopiesResult all;
  for (std::uint64_t seed = line.options.seed; seed < line.options.seed + line.count; ++seed) {
    auto options = line.options;
    options.seed = seed;
    const auto played = emulator::play_copies(options);
    if (line.say) fmt::print("{}", played.timeline);
    all.kills += played.kills, all.lost_disks += played.lost_disks, all.older_disks += played.older_disks, all.stops += played.stops;
    all.cuts += played.cuts, all.corrections += played.corrections, all.confirmed += played.confirmed, all.granted += played.granted;
    if (played.broken.empty()) continue;
    ++broken;
    fmt::print("seed {}: {}\n  again: thornwick copies virtual --seed {} --routers {} --sites {} --copies {} --ledgers {} --say\n", seed, played.broken, seed,
               options.routers, options.sites, options.copies, options.ledgers);
  }
  fmt::print("{} scripts: {} kills, {} disks lost, {} older, {} stops, {} cuts, {} of {} corrections confirmed, {} requests granted; {} broken\n", line.count,
             all.kills, all.lost_disks, all.older_disks, all.stops, all.cuts, all.confirmed, all.corrections, all.granted, broken);
  return broken == 0 ? 0 : 1;
}

void add_virtual(CLI::App& copies, int& status) {
  auto line = std::make_shared<VirtualLine>();
  auto* command = copies.add_subcommand("virtual", "random fault scripts on routers, ledgers and disks in virtual time");
  command->add_option("--seed", line->options.seed, "of the first script")->capture_default_str();
  command->add_option("--count", line->count, "scripts, one for each seed from there on")->check(CLI::Range(1, 100'000'000))->capture_default_str();
  command->add_option("--routers", line->options.routers, "in the group")->check(CLI::Range(3, 300))->capture_default_str();
  command->add_option("--sites", line->options.sites, "that they are spread over")->check(CLI::Range(1, 16))->capture_default_str();
  command->add_option("--copies", line->options.copies, "of each ledger")->check(CLI::IsMember({3, 5}))->capture_default_str();
  command->add_option("--ledgers", line->options.ledgers, "that accounts are spread over")->check(CLI::Range(1, 16))->capture_default_str();
  command->add_option("--seconds", line->options.seconds, "that faults last")->check(CLI::Range(20.0, 86'400.0))->capture_default_str();
  command->add_flag("--say", line->say, "print each fault and what routers said");
  command->callback([line, &status] { status = run_virtual(*line); });
}

}  // namespace

CLI::App* add_copies(CLI::App& app, int& status, const std::string&) {
  auto* copies = app.add_subcommand("copies", "what routers hold for others, copied")->require_subcommand(1);
  add_virtual(*copies, status);
  return copies;
}

}  // namespace sprucecourse::tools
