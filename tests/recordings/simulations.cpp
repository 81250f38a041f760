// Recorded simulations in virtual time. Each test makes the same calls as `thornwick copies virtual`,
// `thornwick group virtual` or `thornwick group table`, with fixed seeds, and compares the results with the
// recorded ones.
#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <cmath>
#include <cstdint>
#include <ostream>
#include <vector>

#include "digest.hpp"
#include "emulator/group_faults.hpp"
#include "emulator/replication_simulation.hpp"
#include "experiments/group_table.hpp"

using namespace thornwick;
using namespace thornwick::emulator;
using thornwick::recordings::Digest;

namespace {

// Number of replication simulations to play. The later ones take a long time with sanitizers.
#ifdef THORNWICK_SHORT
constexpr std::size_t kReplicationPlays = 1;
#else
constexpr std::size_t kReplicationPlays = 3;
#endif

struct ReplicationRecording {
  std::uint64_t kills = 0;
  std::uint64_t lost_disks = 0;
  std::uint64_t older_disks = 0;
  std::uint64_t stops = 0;
  std::uint64_t cuts = 0;
  std::uint64_t corrections = 0;
  std::uint64_t confirmed = 0;
  std::uint64_t granted = 0;
  std::uint64_t rejected = 0;
  std::int64_t usable_thousandths = 0;

  bool operator==(const ReplicationRecording&) const = default;
};

std::ostream& operator<<(std::ostream& out, const ReplicationRecording& recording) {
  return out << fmt::format("{{{}, {}, {}, {}, {}, {}, {}, {}, {}, {}}}", recording.kills,
                            recording.lost_disks, recording.older_disks, recording.stops, recording.cuts,
                            recording.corrections, recording.confirmed, recording.granted, recording.rejected,
                            recording.usable_thousandths);
}

ReplicationRecording record_replication(const ReplicationOptions& options) {
  const ReplicationResult result = simulate_replication(options);
  CHECK(result.violation == "");
  return {result.kills,
          result.lost_disks,
          result.older_disks,
          result.suspensions,
          result.cuts,
          result.corrections,
          result.confirmed_corrections,
          result.granted,
          result.rejected,
          std::llround(result.usable_fraction * 1000)};
}

struct GroupRecording {
  std::uint64_t faults = 0;
  std::uint64_t gone_reports = 0;
  std::uint64_t lines = 0;  // lines of the log: faults, and changes that routers reported
  Time agreed_after = 0;

  bool operator==(const GroupRecording&) const = default;
};

std::ostream& operator<<(std::ostream& out, const GroupRecording& recording) {
  return out << fmt::format("{{{}, {}, {}, {}}}", recording.faults, recording.gone_reports, recording.lines,
                            recording.agreed_after);
}

GroupRecording record_group(std::uint64_t seed) {
  std::uint64_t lines = 0;
  const GroupScriptResult played = play_script(random_script(seed), [&](const std::string&) { ++lines; });
  CHECK(played.violation == "");
  return {played.faults, played.failure_reports, lines, played.agreement_time};
}

std::uint64_t digest_of(const experiments::GroupRow& row) {
  Digest digest;
  for (const std::uint64_t count : {row.routers, row.kills, row.undetected_failures}) digest.add(count);
  for (const double figure :
       {row.loss, row.detection_p50_s, row.detection_p99_s, row.false_failures_per_h,
        row.false_suspicions_per_h, row.messages_per_s, row.bytes_per_s, row.agreement_time_s}) {
    digest.add_rounded(figure);
  }
  return digest.value();
}

}  // namespace

TEST_CASE("simulations of replicated ledgers are as recorded") {
  std::vector<ReplicationRecording> expected = {{8, 1, 1, 3, 8, 4, 3, 5246, 5191, 997},
                                                {5, 1, 0, 4, 8, 5, 5, 5724, 4563, 994},
                                                {9, 1, 2, 5, 14, 7, 7, 5682, 5014, 990}};
  expected.resize(kReplicationPlays);
  const std::vector<ReplicationOptions> plays = {
      {.seed = 51},
      {.routers = 5, .sites = 3, .replicas = 5, .seed = 52},
      {.routers = 9, .sites = 3, .replicas = 3, .ledgers = 3, .seed = 53}};
  std::vector<ReplicationRecording> played;
  for (std::size_t play = 0; play < kReplicationPlays; ++play)
    played.push_back(record_replication(plays[play]));
  CHECK(played == expected);
}

TEST_CASE("simulations of a group with faults are as recorded") {
  const std::vector<GroupRecording> expected = {{9, 10, 90, 0},      {5, 5, 64, 0},        {17, 3, 51, 0},
                                                {6, 5, 70, 3000000}, {7, 0, 167, 4000000}, {7, 6, 96, 0},
                                                {9, 8, 60, 0},       {10, 9, 144, 0}};
  std::vector<GroupRecording> played;
  for (std::uint64_t seed = 61; seed <= 68; ++seed) played.push_back(record_group(seed));
  CHECK(played == expected);
}

TEST_CASE("simulated times until a group detects a failed router are as recorded") {
  const experiments::GroupTableOptions options{.calm_s = 120, .kills = 3, .seed = 71};
  CHECK(digest_of(experiments::measure_group("measured", 9, 0.1, options)) == 0xf7c2afe3c8984e45);
  CHECK(digest_of(experiments::measure_group("plain", 9, 0.3, options)) == 0x3c8472ccfe72f73);
  CHECK(digest_of(experiments::measure_group("lifeguard", 9, 0.1, options)) == 0x421a4c286f3b42a1);
}
