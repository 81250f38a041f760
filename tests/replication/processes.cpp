// Tests of real processes that share a quota and lose machines with their disks. The work that upstream
// replicas counted is compared with the limit and the ledgers.
#include <catch2/catch.hpp>

#include "../group/fault_harness_options.hpp"
#include "../store/scratch.hpp"
#include "testbed/replication_play.hpp"

using namespace thornwick::testbed;
using thornwick::testing::rig_options;
using thornwick::testing::Scratch;

namespace {

#ifdef THORNWICK_SHORT
constexpr std::uint64_t kPlays = 1;
#else
constexpr std::uint64_t kPlays = 5;
#endif

void require_no_violation(const ReplicationPlayOptions& script) {
  Scratch scratch;
  std::string timeline;
  const auto result = play_machine_losses(script, rig_options(scratch.folder(), timeline));
  INFO("to repeat: thornwick copies play --scenario examples/lab/demo.toml --seed "
       << script.seed << " --routers " << script.routers << " --sites " << script.sites << " --copies "
       << script.replicas << (script.lose_site ? " --site" : "") << "\n"
       << timeline);
  REQUIRE(result.violation == "");
  CHECK(result.kills > 0);
  CHECK(result.tokens <= result.limit);
  WARN("seed " << script.seed << ": " << result.kills << " machines lost, " << result.confirmed << " of "
               << result.corrections << " corrections confirmed, " << result.tokens << " tokens of "
               << result.limit);
}

}  // namespace

// The scripts are split into cases, which run in parallel.
TEST_CASE(
    "ledgers of processes: no limit is exceeded when two machines of three are lost one after the other "
    "(seeds from 1)") {
  for (std::uint64_t seed = 1; seed <= kPlays; ++seed) require_no_violation({.seed = seed});
}
TEST_CASE(
    "ledgers of processes: no limit is exceeded when two machines of three are lost one after the other "
    "(seeds from 51)") {
  for (std::uint64_t seed = 51; seed < 51 + kPlays; ++seed) require_no_violation({.seed = seed});
}

TEST_CASE(
    "ledgers of processes: five replicas at three sites survive the loss of up to two machines at a time") {
  for (std::uint64_t seed = 101; seed < 101 + kPlays; ++seed)
    require_no_violation({.seed = seed, .routers = 5, .sites = 3, .replicas = 5});
}

TEST_CASE("ledgers of processes: three sites survive the loss of one site, and then of one site again") {
  for (std::uint64_t seed = 201; seed < 201 + kPlays; ++seed)
    require_no_violation(
        {.seed = seed, .routers = 5, .sites = 3, .replicas = 5, .other_faults = false, .lose_site = true});
}
