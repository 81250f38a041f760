// Real processes that share a quota and lose machines with their disks. The work that upstream replicas
// counted is compared with the limit and the ledgers.
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

void require_unbroken(const ReplicationPlayOptions& script) {
  Scratch scratch;
  std::string timeline;
  const auto result = play_machine_losses(script, rig_options(scratch.folder(), timeline));
  INFO("again: thornwick copies play --scenario examples/lab/demo.toml --seed "
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

// Each case has a few scripts, so that the cases run in parallel.
TEST_CASE(
    "ledgers of processes: no limit is exceeded when two machines of three are lost one after the other "
    "(seeds from 1)") {
  for (std::uint64_t seed = 1; seed <= kPlays; ++seed) require_unbroken({.seed = seed});
}
TEST_CASE(
    "ledgers of processes: no limit is exceeded when two machines of three are lost one after the other "
    "(seeds from 51)") {
  for (std::uint64_t seed = 51; seed < 51 + kPlays; ++seed) require_unbroken({.seed = seed});
}

TEST_CASE(
    "ledgers of processes: five replicas at three sites bear the loss of up to two machines at a time") {
  for (std::uint64_t seed = 101; seed < 101 + kPlays; ++seed)
    require_unbroken({.seed = seed, .routers = 5, .sites = 3, .replicas = 5});
}

TEST_CASE("ledgers of processes: three sites bear the loss of a whole one, and then of one again") {
  for (std::uint64_t seed = 201; seed < 201 + kPlays; ++seed)
    require_unbroken(
        {.seed = seed, .routers = 5, .sites = 3, .replicas = 5, .other_faults = false, .lose_site = true});
}
