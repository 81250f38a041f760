// Real processes that share a budget and lose machines with their disks: boxes' tallies against limit and books.
#include <catch2/catch.hpp>

#include "../store/scratch.hpp"
#include "standins/copies_play.hpp"

using namespace sprucecourse::standins;
using sprucecourse::testing::Scratch;

namespace {

#ifdef THORNWICK_SHORT
constexpr std::uint64_t kPlays = 1;
#else
constexpr std::uint64_t kPlays = 5;
#endif

void holds(CopiesPlay script) {
  Scratch scratch;
  RigOptions options;
  options.program = THORNWICK;
  options.folder = scratch.folder();
  options.scenario = std::string(THORNWICK_EXAMPLES) + "/lab/demo.toml";
  std::string timeline;
  options.say = [&](double at, const std::string& what) { timeline += std::to_string(at) + "  " + what + "\n"; };
  const auto played = play_losses(script, options);
  INFO("again: thornwick copies play --scenario examples/lab/demo.toml --seed " << script.seed << " --routers " << script.routers << " --sites " << script.sites
                                                                               << " --copies " << script.copies << (script.site ? " --site" : "") << "\n" << timeline);
  REQUIRE(played.broken == "");
  CHECK(played.kills > 0);
  CHECK(played.tokens <= played.limit);
  WARN("seed " << script.seed << ": " << played.kills << " machines lost, " << played.confirmed << " of " << played.corrections << " corrections confirmed, "
               << played.tokens << " tokens of " << played.limit);
}

}  // namespace

// In cases of a few plays each, so that they run beside each other.
TEST_CASE("copies of processes: three routers, a machine lost with its disk, and then another (seeds from 1)") {
  for (std::uint64_t seed = 1; seed <= kPlays; ++seed) holds({.seed = seed});
}
TEST_CASE("copies of processes: three routers, a machine lost with its disk, and then another (seeds from 51)") {
  for (std::uint64_t seed = 51; seed < 51 + kPlays; ++seed) holds({.seed = seed});
}

TEST_CASE("copies of processes: five copies over three sites, up to two machines lost at a time") {
  for (std::uint64_t seed = 101; seed < 101 + kPlays; ++seed) holds({.seed = seed, .routers = 5, .sites = 3, .copies = 5});
}

TEST_CASE("copies of processes: a whole site of three is lost, and then one again") {
  for (std::uint64_t seed = 201; seed < 201 + kPlays; ++seed) holds({.seed = seed, .routers = 5, .sites = 3, .copies = 5, .faults = false, .site = true});
}
