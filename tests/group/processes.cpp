// Tests of a group of real processes with faults between them. Each wait is for a log line or a status of a
// process.
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

enum class AdminEndpoint { none, open };

// A process that does not run for longer than this counts as suspended (membership/suspension.cpp).
constexpr Time kLongestSlowness = seconds(1);

// A group of processes whose members agree at the start.
struct ProcessGroup {
  explicit ProcessGroup(std::size_t routers, std::size_t sites = 1,
                        AdminEndpoint admin_endpoint = AdminEndpoint::none)
      : harness(options(routers, sites, admin_endpoint)) {
    for (std::size_t i = 0; i < routers; ++i) harness.start(i);
    require_agreement();
  }
  FaultHarnessOptions options(std::size_t routers, std::size_t sites, AdminEndpoint admin_endpoint) const {
    FaultHarnessOptions options = rig_options(scratch.folder());
    options.routers = routers;
    options.sites = sites;
    options.admin_endpoint = admin_endpoint == AdminEndpoint::open;
    return options;
  }
  void require_agreement() {
    std::string disagreement;
    const bool agreed = harness.run_until([&] {
      for (std::size_t i = 0; i < harness.size(); ++i) {
        if (harness.state(i) == FaultHarness::State::starting) return false;
      }
      disagreement = harness.disagreement();
      return disagreement.empty();
    });
    INFO(disagreement);
    REQUIRE(agreed);
  }
  void require_log(std::size_t router, const std::string& text) {
    const bool logged = harness.run_until([&] { return harness.has_logged(router, text); });
    INFO(harness.name(router) << " never logged: " << text << "\n" << all_logs());
    REQUIRE(logged);
  }
  std::string all_logs() const {
    std::string text;
    for (std::size_t i = 0; i < harness.size(); ++i) text += harness.name(i) + ":\n" + harness.log(i);
    return text;
  }
  void mark() {
    for (std::size_t i = 0; i < harness.size(); ++i) harness.mark_log(i);
  }
  void require_clean_end() {
    const std::string violation = harness.recover_and_verify();
    INFO(violation);
    CHECK(violation.empty());
    CHECK(harness.metrics().served > 0);
  }
  Scratch scratch;
  FaultHarness harness;
};

void play_random(std::uint64_t first_seed, std::uint64_t count) {
  for (std::uint64_t seed = first_seed; seed < first_seed + count; ++seed) {
    Scratch scratch;
    std::string timeline;
    const auto result = play(random_fault_script(seed, 10, 3, 9), rig_options(scratch.folder(), timeline));
    INFO("to repeat: thornwick group play --scenario examples/lab/demo.toml --seed " << seed << "\n"
                                                                                     << timeline);
    REQUIRE(result.violation == "");
    CHECK(result.metrics.served > 0);
  }
}

}  // namespace

TEST_CASE(
    "processes: the other routers distinguish restarts with the same disk, an older copy, an empty disk and "
    "a full disk") {
  ProcessGroup group(3);
  const auto fail_router = [&] {
    group.mark();
    group.harness.kill(1);
    group.require_log(0, "r01: gone, was suspected");
    group.require_log(2, "r01: gone, was suspected");
    group.mark();
  };
  fail_router();
  group.harness.start(1, DiskState::kept);
  group.require_log(0, "r01: restarted with its disk");
  group.require_log(1, "start 2 with its disk");
  group.require_agreement();
  fail_router();
  group.harness.start(1, DiskState::older);  // the disk as it was before start 2
  group.require_log(0, "r01: restarted with an older copy of its disk");
  group.require_log(1, "the group knew a later start of this disk");
  group.require_agreement();
  fail_router();
  group.harness.start(1, DiskState::empty);
  group.require_log(2, "r01: restarted with an empty disk");
  group.require_log(1, "the group knew this name with another disk");
  group.require_agreement();
  fail_router();
  // The router serves, but stores nothing, so that the group sees an empty disk.
  group.harness.start(1, DiskState::full);
  group.require_log(1, "this start cannot be counted");
  group.require_log(0, "r01: restarted with an empty disk");
  group.require_agreement();
  CHECK(group.harness.status(0).at("members").at(1).at("back") == "empty");
  fail_router();
  group.harness.start(1, DiskState::slow);  // the start takes longer, without other effects
  group.require_log(1, " with its disk");
  group.require_agreement();
  group.require_clean_end();
}

TEST_CASE(
    "processes: a suspended process detects and reports it first, and a process that shuts down is never "
    "suspected") {
  ProcessGroup group(4, 2);
  group.mark();
  group.harness.stop(3);
  group.require_log(0, "r03: gone, was suspected");
  // Beside load r00 may have had doubts before the stop. A process that was stopped for a shorter time counts
  // as slow.
  group.harness.run_until([] { return false; }, kLongestSlowness);
  group.harness.resume(3);
  group.require_log(3, "r03: this process was suspended for");
  group.require_log(0, "r03: it was suspended for");
  group.require_agreement();
  const std::string& log = group.harness.log(3);
  CHECK(log.find("was suspended for") <
        log.find("this router's view of the group is reliable", log.find("was suspended for")));
  group.mark();
  group.harness.terminate(2);
  group.require_log(0, "r02: leaving, was alive");
  REQUIRE(group.harness.run_until([&] { return group.harness.state(2) == FaultHarness::State::down; }));
  group.require_log(0, "r02: left, was leaving");
  group.require_agreement();
  CHECK(!group.harness.has_logged(0, "r02: suspected"));
  CHECK(!group.harness.status(0).at("cut_off").get<bool>());
  CHECK(group.harness.status(0).at("sites").at(0).at("seen") == 1);  // of r00 and r02, which has left
  group.require_clean_end();
}

TEST_CASE("processes: the halves of an evenly split group report each other as failed, and agree again") {
  ProcessGroup group(4, 2);
  group.mark();
  LinkFaults partition;
  partition.cut = true;
  for (std::size_t left = 0; left < 2; ++left) {
    for (std::size_t right = 2; right < 4; ++right) {
      group.harness.set_faults(left, right, partition);
      group.harness.set_faults(right, left, partition);
    }
  }
  for (std::size_t left = 0; left < 2; ++left) {
    const std::size_t right = left + 2;
    group.require_log(left, "r02: gone");
    group.require_log(left, "r03: gone");
    group.require_log(right, "r00: gone");
    group.require_log(right, "r01: gone");
  }
  for (std::size_t i = 0; i < 4; ++i) CHECK(!group.harness.has_logged(i, "this router is cut off"));
  group.harness.heal();
  group.require_agreement();
  group.require_clean_end();
}

TEST_CASE(
    "processes: a process replaced under load hands its name over, no router suspects it, and no request is "
    "lost") {
  ProcessGroup group(3, 1, AdminEndpoint::open);
  group.mark();
  group.harness.replace(1);
  group.require_log(0, "r01: restarted with its disk");
  group.require_log(2, "r01: restarted with its disk");
  group.require_agreement();
  for (const std::size_t i : {0u, 2u})
    CHECK((!group.harness.has_logged(i, "r01: suspected") && !group.harness.has_logged(i, "r01: gone") &&
           !group.harness.has_logged(i, "two processes")));
  group.require_clean_end();
}

TEST_CASE("processes: a router that is cut off detects it") {
  ProcessGroup group(5);
  group.mark();
  group.harness.isolate(4, true);
  group.require_log(4, "r04: this router is cut off");
  group.require_log(0, "r04: gone, was suspected");
  CHECK(group.harness.status(4).at("cut_off").get<bool>());
  CHECK(!group.harness.has_logged(4, ": gone"));
  group.harness.isolate(4, false);
  group.require_log(4, "r04: this router is no longer cut off");
  group.require_agreement();
  group.require_clean_end();
}

TEST_CASE("processes: two routers that do not reach each other see each other alive through a third") {
  ProcessGroup group(3);
  LinkFaults partition;
  partition.cut = true;
  group.mark();
  group.harness.set_faults(0, 2, partition);
  group.harness.set_faults(2, 0, partition);
  const auto reaches_indirectly = [&](std::size_t observer, std::size_t member) {
    const auto status = group.harness.status(observer);
    return status.is_object() && status.at("members").at(member).at("over_another").get<bool>() &&
           status.at("members").at(member).at("standing") == "alive";
  };
  REQUIRE(group.harness.run_until([&] { return reaches_indirectly(0, 2) && reaches_indirectly(2, 0); }));
  group.require_clean_end();
}

TEST_CASE("processes: a second process of one name is detected by the first and by the other routers") {
  ProcessGroup group(3);
  group.mark();
  group.harness.start_duplicate(1);
  group.require_log(0, "r01: two processes use its name");
  group.require_log(1, "r01: two processes use its name");
  CHECK(group.harness.status(1).at("name_used_twice").get<bool>());
}

TEST_CASE(
    "processes: garbled, repeated and late datagrams are counted and ignored, and links connect again") {
  ProcessGroup group(3);
  LinkFaults faults;
  faults.garble_fraction = 0.5;
  faults.repeat_fraction = 0.5;
  faults.max_delay = milliseconds(50);
  for (std::size_t from = 0; from < 3; ++from) {
    for (std::size_t to = 0; to < 3; ++to) group.harness.set_faults(from, to, faults);
  }
  const auto count = [&](const char* section, const char* counter) {
    const auto status = group.harness.status(0);
    return status.is_object() ? status.at(section).at(counter).get<int>() : 0;
  };
  REQUIRE(group.harness.run_until(
      [&] { return count("datagrams", "unreadable") > 10 && count("links", "spoilt") > 0; }));
  CHECK(count("datagrams", "strangers") == 0);
  group.harness.heal();
  const auto linked = [&] {
    const auto status = group.harness.status(0);
    return status.is_object() && status.at("members").at(1).at("link") == "up" &&
           status.at("members").at(2).at("link") == "up";
  };
  REQUIRE(group.harness.run_until(linked));
  // A reset, a half-closed and a stalled connection each end a link, and the routers connect again.
  const int lost_before = count("links", "lost");
  group.harness.reset(0, 1);
  REQUIRE(group.harness.run_until([&] { return count("links", "lost") > lost_before && linked(); }));
  group.harness.half_close(0, 1);
  REQUIRE(group.harness.run_until([&] { return count("links", "lost") > lost_before + 1 && linked(); }));
  LinkFaults hold;
  hold.hold = true;
  group.harness.set_faults(0, 1, hold);
  group.harness.set_faults(1, 0, hold);
  REQUIRE(group.harness.run_until([&] { return count("links", "silent") > 0; }));
  group.harness.heal();
  REQUIRE(group.harness.run_until(linked));
  group.require_agreement();
  group.require_clean_end();
}

TEST_CASE(
    "processes: clocks that are a day ahead or behind, step, or differ in rate by one percent change "
    "nothing") {
  ProcessGroup group(3);
  group.mark();
  group.harness.set_clock(0, 86'400'000, 1.01);
  group.harness.set_clock(1, -86'400'000, 0.99);
  for (std::size_t i = 0; i < 2; ++i) {
    group.harness.terminate(i);
    REQUIRE(group.harness.run_until([&] { return group.harness.state(i) == FaultHarness::State::down; }));
    group.harness.start(i);
    group.require_agreement();
  }
  group.harness.set_clock(0, -3'600'000, 1.01);  // the clock steps while the process runs
  group.harness.run_for(seconds(2));
  for (std::size_t i = 0; i < 3; ++i)
    CHECK((!group.harness.has_logged(i, "was suspended for") && !group.harness.has_logged(i, "cut off")));
  group.require_clean_end();
}

TEST_CASE(
    "processes: a group file without errors is read, and each error of a file is reported with its line") {
  Scratch scratch;
  const auto file = [&](const std::string& text) {
    testing::write_bytes(scratch.path("operator.toml"), text);
    return scratch.path("operator.toml");
  };
  const auto error_of = [&](const std::string& text) {
    try {
      config::read_operator_file(file(text));
    } catch (const config::BadConfig& error) {
      return std::string(error.what());
    }
    return std::string();
  };
  CHECK(error_of("[group]\nname = \"g\"\nsites = [\"a\"]\n[[router]]\nname = \"r1\"\nsite = \"a\"\naddress = "
                 "\"127.0.0.1:1\"\n") == "");
  const std::string errors = error_of(
      "[group]\nname = \"g\"\nsites = [\"a\", \"b\"]\nself = \"r9\"\n[[router]]\nname = \"r1\"\nsite = "
      "\"a\"\naddress = \"127.0.0.1:1\"\n"
      "[[router]]\nname = \"r1\"\nsite = \"a\"\naddress = \"127.0.0.1:1\"\nrole = \"king\"\n");
  for (const char* expected :
       {":9: router.name: 'r1' stands in line 5 already", ":9: router.address: 127.0.0.1:1",
        ":13: router.role: 'king' is none of", ":1: group.sites: 'b' has no router",
        ":4: group.self: no router is called 'r9'"}) {
    INFO(errors);
    CHECK(errors.find(expected) != std::string::npos);
  }
  CHECK(error_of("[[router]]\nname = \"r1\"\n").find("needs a [group], and the file has none") !=
        std::string::npos);
  CHECK_THROWS_WITH(read_fault_script(file("[rig]\nrouters = 2\nsites = 3\n[[fault]]\nat_s = 1\nkind = "
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
