// Real processes that share a budget and lose machines with their disks: replicas' tallies against limit and
// books.
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

void holds(CopiesPlay script) {
  Scratch scratch;
  std::string timeline;
  const auto played = play_losses(script, rig_options(scratch.folder(), timeline));
  INFO("again: thornwick copies play --scenario examples/lab/demo.toml --seed "
       << script.seed << " --routers " << script.routers << " --sites " << script.sites << " --copies "
       << script.copies << (script.site ? " --site" : "") << "\n"
       << timeline);
  REQUIRE(played.broken == "");
  CHECK(played.kills > 0);
  CHECK(played.tokens <= played.limit);
  WARN("seed " << script.seed << ": " << played.kills << " machines lost, " << played.confirmed << " of "
               << played.corrections << " corrections confirmed, " << played.tokens << " tokens of "
               << played.limit);
}

}  // namespace

// In cases of a few plays each, so that they run beside each other.
TEST_CASE(
    "copies of processes: three routers, a machine lost with its disk, and then another (seeds from 1)") {
  for (std::uint64_t seed = 1; seed <= kPlays; ++seed) holds({.seed = seed});
}
TEST_CASE(
    "copies of processes: three routers, a machine lost with its disk, and then another (seeds from 51)") {
  for (std::uint64_t seed = 51; seed < 51 + kPlays; ++seed) holds({.seed = seed});
}

TEST_CASE("copies of processes: five copies over three sites, up to two machines lost at a time") {
  for (std::uint64_t seed = 101; seed < 101 + kPlays; ++seed)
    holds({.seed = seed, .routers = 5, .sites = 3, .copies = 5});
}

TEST_CASE("copies of processes: a whole site of three is lost, and then one again") {
  for (std::uint64_t seed = 201; seed < 201 + kPlays; ++seed)
    holds({.seed = seed, .routers = 5, .sites = 3, .copies = 5, .faults = false, .site = true});
}
