// The group as real processes with faults between them. Every wait is for something that a process said or
// shows.
#include <catch2/catch.hpp>

#include "../store/scratch.hpp"
#include "config/operator_file.hpp"
#include "fault_harness_options.hpp"
#include "settings/section.hpp"
#include "testbed/fault_script.hpp"

using namespace thornwick;
using namespace thornwick::testbed;
using thornwick::testing::rig_options;
using thornwick::testing::Scratch;

namespace {

struct Group {
  explicit Group(std::size_t routers, std::size_t sites = 1, std::string more = {},
                 bool admin_endpoint = false)
      : rig(options(routers, sites, std::move(more), admin_endpoint)) {
    for (std::size_t i = 0; i < routers; ++i) rig.start(i);
    agreed();
  }
  FaultHarnessOptions options(std::size_t routers, std::size_t sites, std::string more,
                              bool admin_endpoint) const {
    FaultHarnessOptions o = rig_options(scratch.folder());
    o.routers = routers, o.sites = sites, o.more = std::move(more), o.admin_endpoint = admin_endpoint;
    return o;
  }
  void agreed() {
    std::string why;
    const bool held = rig.until([&] {
      for (std::size_t i = 0; i < rig.size(); ++i) {
        if (rig.state(i) == FaultHarness::State::starting) return false;
      }
      why = rig.disagreement();
      return why.empty();
    });
    INFO(why);
    REQUIRE(held);
  }
  void says(std::size_t router, const std::string& text) {
    const bool said = rig.until([&] { return rig.says(router, text); });
    INFO(rig.name(router) << " never said: " << text << "\n" << rig.log(router));
    REQUIRE(said);
  }
  void mark() {
    for (std::size_t i = 0; i < rig.size(); ++i) rig.mark(i);
  }
  void ended_well() {
    const std::string broken = rig.settle();
    INFO(broken);
    CHECK(broken.empty());
    CHECK(rig.metrics().served > 0);
  }
  Scratch scratch;
  FaultHarness rig;
};

void play_random(std::uint64_t from, std::uint64_t count) {
  for (std::uint64_t seed = from; seed < from + count; ++seed) {
    Scratch scratch;
    std::string timeline;
    const auto played = play(random_rig_script(seed, 10, 3, 9), rig_options(scratch.folder(), timeline));
    INFO("again: thornwick group play --scenario examples/lab/demo.toml --seed " << seed << "\n" << timeline);
    REQUIRE(played.broken == "");
    CHECK(played.metrics.served > 0);
  }
}

}  // namespace

TEST_CASE(
    "processes: dead, then back with its disk, an older copy, an empty one, a full one: each told apart by "
    "the others") {
  Group g(3);
  const auto dies = [&] {
    g.mark();
    g.rig.kill(1);
    g.says(0, "r01: gone, was suspected");
    g.says(2, "r01: gone, was suspected");
    g.mark();
  };
  dies();
  g.rig.start(1, DiskState::kept);
  g.says(0, "r01: started anew with its disk");
  g.says(1, "start 2 of its disk");
  g.agreed();
  dies();
  g.rig.start(1, DiskState::older);  // as it was before start 2
  g.says(0, "r01: started anew with an older copy of its disk");
  g.says(1, "the group knew a later start of this disk");
  g.agreed();
  dies();
  g.rig.start(1, DiskState::empty);
  g.says(2, "r01: started anew with an empty disk");
  g.says(1, "the group knew this name with another disk");
  g.agreed();
  dies();
  g.rig.start(
      1,
      DiskState::full);  // it serves, and nothing is kept: the group takes it for empty, which is the truth
  g.says(1, "this start cannot be counted");
  g.says(0, "r01: started anew with an empty disk");
  g.agreed();
  CHECK(g.rig.status(0).at("members").at(1).at("back") == "empty");
  dies();
  g.rig.start(1, DiskState::slow);  // it only takes its time
  g.says(1, " of its disk");
  g.agreed();
  g.ended_well();
}

TEST_CASE(
    "processes: one that was stopped notices first, and tells; one that is told to end is never suspected") {
  Group g(4, 2);
  g.mark();
  g.rig.stop(3);
  g.says(0, "r03: gone, was suspected");
  g.rig.go(3);
  g.says(3, "r03: this process stood still for");
  g.says(0, "r03: it stood still for");
  g.agreed();
  const std::string& log = g.rig.log(3);
  CHECK(log.find("stood still") <
        log.find("what this router believes of the group holds", log.find("stood still")));
  g.mark();
  g.rig.end(2);
  g.says(0, "r02: leaving, was alive");
  REQUIRE(g.rig.until([&] { return g.rig.state(2) == FaultHarness::State::down; }));
  g.says(0, "r02: left, was leaving");
  g.agreed();
  CHECK(!g.rig.says(0, "r02: suspected"));
  CHECK(!g.rig.status(0).at("cut_off").get<bool>());
  CHECK(g.rig.status(0).at("sites").at(0).at("seen") == 1);  // of r00 and r02
  g.ended_well();
}

TEST_CASE("processes: halves of an even group call each other gone, and agree again") {
  Group g(4, 2);
  g.mark();
  LinkFaults cut;
  cut.cut = true;
  for (std::size_t a = 0; a < 2; ++a) {
    for (std::size_t b = 2; b < 4; ++b) g.rig.set(a, b, cut), g.rig.set(b, a, cut);
  }
  for (std::size_t a = 0; a < 2; ++a)
    g.says(a, "r02: gone"), g.says(a, "r03: gone"), g.says(a + 2, "r00: gone"), g.says(a + 2, "r01: gone");
  for (std::size_t i = 0; i < 4; ++i) CHECK(!g.rig.says(i, "this router is cut off"));
  g.rig.heal();
  g.agreed();
  g.ended_well();
}

TEST_CASE(
    "processes: a process that is replaced under load leaves its name to the new one; nobody suspects it, no "
    "client is lost") {
  Group g(3, 1, "", true);
  g.mark();
  g.rig.replace(1);
  g.says(0, "r01: started anew with its disk");
  g.says(2, "r01: started anew with its disk");
  g.agreed();
  for (const std::size_t i : {0u, 2u})
    CHECK(
        (!g.rig.says(i, "r01: suspected") && !g.rig.says(i, "r01: gone") && !g.rig.says(i, "two processes")));
  g.ended_well();
}

TEST_CASE("processes: the one that is cut off knows that it is the one") {
  Group g(5);
  g.mark();
  g.rig.isolate(4, true);
  g.says(4, "r04: this router is cut off");
  g.says(0, "r04: gone, was suspected");
  CHECK(g.rig.status(4).at("cut_off").get<bool>());
  CHECK(!g.rig.says(4, ": gone"));
  g.rig.isolate(4, false);
  g.says(4, "r04: this router is no longer cut off");
  g.agreed();
  g.ended_well();
}

TEST_CASE("processes: two that do not see each other hold each other alive over a third") {
  Group g(3);
  LinkFaults cut;
  cut.cut = true;
  g.mark();
  g.rig.set(0, 2, cut), g.rig.set(2, 0, cut);
  const auto over = [&](std::size_t a, std::size_t b) {
    const auto status = g.rig.status(a);
    return status.is_object() && status.at("members").at(b).at("over_another").get<bool>() &&
           status.at("members").at(b).at("standing") == "alive";
  };
  REQUIRE(g.rig.until([&] { return over(0, 2) && over(2, 0); }));
  g.ended_well();
}

TEST_CASE("processes: a second process of one name is found out by the first and by the others") {
  Group g(3);
  g.mark();
  g.rig.start_twin(1);
  g.says(0, "r01: two processes use its name");
  g.says(1, "r01: two processes use its name");
  CHECK(g.rig.status(1).at("name_used_twice").get<bool>());
}

TEST_CASE(
    "processes: garbled, repeated and late datagrams are counted and believed by nobody; links come up "
    "again") {
  Group g(3);
  LinkFaults bad;
  bad.garble = 0.5, bad.repeat = 0.5, bad.most_delay = 50'000;
  for (std::size_t a = 0; a < 3; ++a) {
    for (std::size_t b = 0; b < 3; ++b) g.rig.set(a, b, bad);
  }
  const auto count = [&](const char* part, const char* what) {
    const auto status = g.rig.status(0);
    return status.is_object() ? status.at(part).at(what).get<int>() : 0;
  };
  REQUIRE(g.rig.until([&] { return count("datagrams", "unreadable") > 10 && count("links", "spoilt") > 0; }));
  CHECK(count("datagrams", "strangers") == 0);
  g.rig.heal();
  const auto linked = [&] {
    const auto status = g.rig.status(0);
    return status.is_object() && status.at("members").at(1).at("link") == "up" &&
           status.at("members").at(2).at("link") == "up";
  };
  REQUIRE(g.rig.until(linked));
  // Reset, half-closed, held back: each ends a link, and the next one comes.
  const int lost = count("links", "lost");
  g.rig.reset(0, 1);
  REQUIRE(g.rig.until([&] { return count("links", "lost") > lost && linked(); }));
  g.rig.half_close(0, 1);
  REQUIRE(g.rig.until([&] { return count("links", "lost") > lost + 1 && linked(); }));
  LinkFaults hold;
  hold.hold = true;
  g.rig.set(0, 1, hold), g.rig.set(1, 0, hold);
  REQUIRE(g.rig.until([&] { return count("links", "silent") > 0; }));
  g.rig.heal();
  REQUIRE(g.rig.until(linked));
  g.agreed();
  g.ended_well();
}

TEST_CASE(
    "processes: clocks that are a day ahead, behind, that step, and that run one part in a hundred apart "
    "change nothing") {
  Scratch scratch;
  Group g(3);
  g.mark();
  g.rig.set_clock(0, 86'400'000, 1.01);
  g.rig.set_clock(1, -86'400'000, 0.99);
  for (std::size_t i = 0; i < 2; ++i) {
    g.rig.end(i);
    REQUIRE(g.rig.until([&] { return g.rig.state(i) == FaultHarness::State::down; }));
    g.rig.start(i);
    g.agreed();
  }
  g.rig.set_clock(0, -3'600'000, 1.01);  // it steps while the process runs
  g.rig.run_for(2'000'000);
  for (std::size_t i = 0; i < 3; ++i) CHECK((!g.rig.says(i, "stood still") && !g.rig.says(i, "cut off")));
  g.ended_well();
}

TEST_CASE("processes: a router without a group, and one whose file has no name for it") {
  Scratch scratch;
  const auto file = [&](const std::string& text) {
    testing::write_bytes(scratch.path("operator.toml"), text);
    return scratch.path("operator.toml");
  };
  const auto wrong = [&](const std::string& text) {
    try {
      config::read_operator_file(file(text));
    } catch (const config::BadConfig& bad) {
      return std::string(bad.what());
    }
    return std::string();
  };
  CHECK(wrong("[group]\nname = \"g\"\nsites = [\"a\"]\n[[router]]\nname = \"r1\"\nsite = \"a\"\naddress = "
              "\"127.0.0.1:1\"\n") == "");
  const std::string all = wrong(
      "[group]\nname = \"g\"\nsites = [\"a\", \"b\"]\nself = \"r9\"\n[[router]]\nname = \"r1\"\nsite = "
      "\"a\"\naddress = \"127.0.0.1:1\"\n"
      "[[router]]\nname = \"r1\"\nsite = \"a\"\naddress = \"127.0.0.1:1\"\nrole = \"king\"\n");
  for (const char* part :
       {":9: router.name: 'r1' stands in line 5 already", ":9: router.address: 127.0.0.1:1",
        ":13: router.role: 'king' is none of", ":1: group.sites: 'b' has no router",
        ":4: group.self: no router is called 'r9'"}) {
    INFO(all);
    CHECK(all.find(part) != std::string::npos);
  }
  CHECK(wrong("[[router]]\nname = \"r1\"\n").find("there is no [group]") != std::string::npos);
  CHECK_THROWS_WITH(read_rig_script(file("[rig]\nrouters = 2\nsites = 3\n[[fault]]\nat_s = 1\nkind = "
                                         "\"eat\"\n[[fault]]\nkind = \"kill\"\nrouters = [7]\n")),
                    Catch::Contains(":3: rig.sites") && Catch::Contains(":6: fault.kind: 'eat'") &&
                        Catch::Contains(":9: fault.routers: there is no number 7"));
}

#ifndef THORNWICK_SHORT
TEST_CASE("processes: random fault scripts (1)") { play_random(1, 4); }
TEST_CASE("processes: random fault scripts (2)") { play_random(5, 4); }
TEST_CASE("processes: random fault scripts (3)") { play_random(9, 4); }
TEST_CASE("processes: random fault scripts (4)") { play_random(13, 4); }
TEST_CASE("processes: random fault scripts (5)") { play_random(17, 4); }
#else
TEST_CASE("processes: random fault scripts (1)") { play_random(1, 1); }
TEST_CASE("processes: random fault scripts (2)") { play_random(5, 1); }
#endif
