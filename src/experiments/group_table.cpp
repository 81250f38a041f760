#include "experiments/group_table.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

#include "experiments/error.hpp"

namespace thornwick::experiments {
namespace {

using emulator::Disk;
using emulator::Group;
using membership::MemberState;

constexpr Time kStep = milliseconds(100);
constexpr Time kMaxWait = seconds(600);
constexpr Time kPartition = seconds(60);

// Returns the time until `holds()` is true, which is checked after every step; negative if that takes over
// kMaxWait.
template <typename Condition>
Time wait_for(Group& group, Time step, Condition holds) {
  const Time from = group.now();
  while (!holds()) {
    if (group.now() - from >= kMaxWait) return -1;
    group.run_until(group.now() + step);
  }
  return group.now() - from;
}

// Returns the nearest-rank quantile in seconds; 0 if there are no times.
double quantile_s(std::vector<Time> times, double fraction) {
  if (times.empty()) return 0;
  std::sort(times.begin(), times.end());
  const auto rank = static_cast<std::size_t>(std::lround(fraction * static_cast<double>(times.size() - 1)));
  return static_cast<double>(times[rank]) / 1e6;
}

// The sums of the counters of all routers.
struct Totals {
  std::uint64_t sent = 0;
  std::uint64_t bytes = 0;
  std::uint64_t failures = 0;
  std::uint64_t suspicions = 0;
};

Totals totals_of(const Group& group) {
  Totals totals;
  for (std::size_t i = 0; i < group.size(); ++i) {
    const membership::Metrics& metrics = group.at(i).metrics();
    totals.sent += metrics.sent;
    totals.bytes += metrics.sent_bytes;
    totals.failures += metrics.failures;
    totals.suspicions += metrics.announced_suspicions;
  }
  return totals;
}

void measure_calm(Group& group, GroupRow& row, double calm_s) {
  constexpr double kSecondsPerHour = 3600;
  const Totals before = totals_of(group);
  group.run_until(group.now() + static_cast<Time>(calm_s * 1e6));
  const Totals after = totals_of(group);
  const double router_seconds = calm_s * static_cast<double>(group.size());
  row.messages_per_s = static_cast<double>(after.sent - before.sent) / router_seconds;
  row.bytes_per_s = static_cast<double>(after.bytes - before.bytes) / router_seconds;
  row.false_failures_per_h = static_cast<double>(after.failures - before.failures) * kSecondsPerHour / calm_s;
  row.false_suspicions_per_h =
      static_cast<double>(after.suspicions - before.suspicions) * kSecondsPerHour / calm_s;
}

// Kills a router and waits until all others have it as failed. Appends the time that each of them took, and
// returns the number of routers that did not detect the failure.
std::size_t measure_kill(Group& group, std::size_t victim, std::vector<Time>& detection_times) {
  const Time killed_at = group.now();
  group.kill(victim);
  std::vector<bool> detected(group.size(), false);
  detected[victim] = true;
  const auto all_detected = [&] {
    for (std::size_t i = 0; i < group.size(); ++i) {
      if (detected[i] || group.at(i).view(victim).state != MemberState::failed) continue;
      detected[i] = true;
      detection_times.push_back(group.now() - killed_at);
    }
    return std::find(detected.begin(), detected.end(), false) == detected.end();
  };
  wait_for(group, kStep, all_detected);
  return static_cast<std::size_t>(std::count(detected.begin(), detected.end(), false));
}

void measure_kills(Group& group, GroupRow& row, std::size_t kills) {
  constexpr std::size_t kStride = 7919;  // a prime, so that victims are spread over the group
  std::vector<Time> detection_times;
  for (std::size_t i = 0; i < kills; ++i) {
    const std::size_t victim = i * kStride % group.size();
    row.undetected_failures += measure_kill(group, victim, detection_times);
    group.start(victim, Disk::same);
    wait_for(group, seconds(1), [&] { return group.agree(); });
  }
  row.kills = kills;
  row.detection_p50_s = quantile_s(detection_times, 0.5);
  row.detection_p99_s = quantile_s(detection_times, 0.99);
}

void measure_partition(Group& group, GroupRow& row) {
  const std::size_t half = group.size() / 2;
  for (std::size_t i = 0; i < half; ++i) {
    for (std::size_t j = half; j < group.size(); ++j) {
      group.block(i, j);
      group.block(j, i);
    }
  }
  group.run_until(group.now() + kPartition);
  group.unblock_all();
  const Time agreed = wait_for(group, milliseconds(250), [&] { return group.agree(); });
  row.agreement_time_s = static_cast<double>(agreed) / 1e6;
}

}  // namespace

membership::Options detector_options(const std::string& detector) {
  membership::Options options;
  if (detector == "measured") return options;
  options.adaptive = false;
  if (detector == "plain") {
    options.buddy_system = false;
  } else if (detector == "lifeguard") {
    options.local_health = true;
  } else {
    throw ExperimentError(ErrorKind::bad_arguments, "no such way: " + detector);
  }
  return options;
}

GroupRow measure_group(const std::string& detector, std::size_t routers, double loss,
                       const GroupTableOptions& options) {
  emulator::GroupOptions group_options;
  group_options.routers = routers;
  group_options.sites = std::min<std::size_t>(3, routers);
  group_options.loss = loss;
  group_options.swim = detector_options(detector);
  group_options.seed = options.seed;
  Group group(group_options);
  GroupRow row;
  row.detector = detector;
  row.routers = routers;
  row.loss = loss;
  wait_for(group, seconds(1), [&] { return group.agree(); });
  measure_calm(group, row, options.calm_s);
  measure_kills(group, row, options.kills);
  measure_partition(group, row);
  return row;
}

std::string print_group_rows(const std::vector<GroupRow>& rows) {
  std::string out =
      fmt::format("{:<10} {:>7} {:>5} {:>6} {:>8} {:>8} {:>9} {:>12} {:>12} {:>7} {:>8} {:>9}\n", "way",
                  "routers", "loss", "kills", "p50 s", "p99 s", "not found", "false gone/h", "false susp/h",
                  "msg/s", "bytes/s", "agreed s");
  for (const auto& row : rows) {
    out += fmt::format(
        "{:<10} {:>7} {:>5.2f} {:>6} {:>8.1f} {:>8.1f} {:>9} {:>12.2f} {:>12.1f} {:>7.2f} {:>8.0f} "
        "{:>9.1f}\n",
        row.detector, row.routers, row.loss, row.kills, row.detection_p50_s, row.detection_p99_s,
        row.undetected_failures, row.false_failures_per_h, row.false_suspicions_per_h, row.messages_per_s,
        row.bytes_per_s, row.agreement_time_s);
  }
  return out;
}

}  // namespace thornwick::experiments
