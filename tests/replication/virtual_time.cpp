// Tests of ledgers, quota lease clients and disks in virtual time, under fault scripts. The simulation counts
// the granted quota independently of the ledgers.
#include <catch2/catch.hpp>

#include "emulator/replication_simulation.hpp"

using namespace thornwick::emulator;

namespace {

#ifdef THORNWICK_SHORT
constexpr std::uint64_t kScripts = 6;
constexpr std::uint64_t kFaultScripts = 12;
#else
constexpr std::uint64_t kScripts = 120;
constexpr std::uint64_t kFaultScripts = 25;
#endif

struct GroupSize {
  std::size_t routers = 3;
  std::size_t replicas = 3;  // replicas of each ledger
  std::size_t ledgers = 1;
  std::size_t sites = 1;
};

ReplicationOptions simulation_options(std::uint64_t seed, const GroupSize& size) {
  ReplicationOptions options;
  options.seed = seed;
  options.routers = size.routers;
  options.replicas = size.replicas;
  options.ledgers = size.ledgers;
  options.sites = size.sites;
  return options;
}

void require_no_violation(const ReplicationOptions& options) {
  const auto result = simulate_replication(options);
  INFO("to repeat: thornwick copies virtual --seed " << options.seed << " --routers " << options.routers
                                                     << " --copies " << options.replicas << " --ledgers "
                                                     << options.ledgers << " --say\n"
                                                     << result.timeline);
  REQUIRE(result.violation == "");
}

// Whether the simulation finds a fault that the test switches on, in kFaultScripts scripts from this seed on.
// One script in eleven finds a vote that the disk has lost.
template <typename SetFault>
bool finds_fault(std::uint64_t first_seed, SetFault set_fault) {
  for (std::uint64_t seed = first_seed; seed < first_seed + kFaultScripts; ++seed) {
    auto options = simulation_options(seed, {});
    set_fault(options);
    const auto result = simulate_replication(options);
    if (!result.violation.empty()) return true;
  }
  return false;
}

}  // namespace

TEST_CASE("ledgers in virtual time: without faults nearly all of a limit is used, and no more") {
  auto options = simulation_options(1, {});
  options.faults = false;
  const auto result = simulate_replication(options);
  INFO(result.timeline);
  REQUIRE(result.violation == "");
  CHECK(result.usable_fraction > 0.9);
}

TEST_CASE(
    "ledgers in virtual time: no limit is exceeded with lost, older, full and slow disks, suspensions, "
    "partitions and message loss") {
  for (std::uint64_t seed = 1; seed <= kScripts; ++seed) require_no_violation(simulation_options(seed, {}));
}

TEST_CASE("ledgers in virtual time: five replicas at three sites survive the loss of two disks at a time") {
  for (std::uint64_t seed = 1; seed <= kScripts / 3; ++seed)
    require_no_violation(simulation_options(seed, {.routers = 5, .replicas = 5, .sites = 3}));
}

TEST_CASE("ledgers in virtual time: no limit is exceeded with nine routers, three ledgers and three sites") {
  for (std::uint64_t seed = 1; seed <= kScripts / 6; ++seed)
    require_no_violation(simulation_options(seed, {.routers = 9, .ledgers = 3, .sites = 3}));
}

TEST_CASE(
    "ledgers in virtual time: the simulation finds a second vote after a lost disk, and a response before "
    "commitment") {
  CHECK(finds_fault(26, [](ReplicationOptions& options) { options.trust_any_disk = true; }));
  CHECK(finds_fault(1, [](ReplicationOptions& options) { options.respond_before_majority = true; }));
}
