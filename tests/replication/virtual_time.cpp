// Ledgers, quota lease clients and disks in virtual time, under fault scripts; what clients were granted is
// counted from outside.
#include <catch2/catch.hpp>

#include "emulator/replication_simulation.hpp"

using namespace thornwick::emulator;

namespace {

#ifdef THORNWICK_SHORT
constexpr std::uint64_t kScripts = 6, kSeeded = 12;
#else
constexpr std::uint64_t kScripts = 120, kSeeded = 25;
#endif

ReplicationOptions group(std::uint64_t seed, std::size_t routers, std::size_t copies, std::size_t ledgers,
                         std::size_t sites = 1) {
  ReplicationOptions options;
  options.seed = seed, options.routers = routers, options.replicas = copies, options.ledgers = ledgers,
  options.sites = sites;
  return options;
}

void holds(const ReplicationOptions& options) {
  const auto played = simulate_replication(options);
  INFO("again: thornwick copies virtual --seed " << options.seed << " --routers " << options.routers
                                                 << " --copies " << options.replicas << " --ledgers "
                                                 << options.ledgers << " --say\n"
                                                 << played.timeline);
  REQUIRE(played.violation == "");
}

// Whether the checks find the seeded fault in kSeeded scripts from this seed on. Amnesia is found by one in
// eleven.
template <typename Seed>
bool found(std::uint64_t from, Seed seed_fault) {
  for (std::uint64_t seed = from; seed < from + kSeeded; ++seed) {
    auto options = group(seed, 3, 3, 1);
    seed_fault(options);
    const auto played = simulate_replication(options);
    if (!played.violation.empty()) return true;
  }
  return false;
}

}  // namespace

TEST_CASE("copies in virtual time: without faults nearly all of a limit is used, and no more") {
  auto options = group(1, 3, 3, 1);
  options.faults = false;
  const auto played = simulate_replication(options);
  INFO(played.timeline);
  REQUIRE(played.violation == "");
  CHECK(played.usable > 0.9);
}

TEST_CASE(
    "copies in virtual time: three routers, disks lost and older, stops, cuts, losses, full and slow disks") {
  for (std::uint64_t seed = 1; seed <= kScripts; ++seed) holds(group(seed, 3, 3, 1));
}

TEST_CASE("copies in virtual time: five copies over three sites, two disks lost at a time") {
  for (std::uint64_t seed = 1; seed <= kScripts / 3; ++seed) holds(group(seed, 5, 5, 1, 3));
}

TEST_CASE("copies in virtual time: nine routers, three ledgers, three sites") {
  for (std::uint64_t seed = 1; seed <= kScripts / 6; ++seed) holds(group(seed, 9, 3, 3, 3));
}

TEST_CASE("copies in virtual time: a vote after amnesia, and an answer before the majority are each found") {
  CHECK(found(26, [](auto& o) { o.trust_any_disk = true; }));
  CHECK(found(1, [](auto& o) { o.answer_before_majority = true; }));
}
