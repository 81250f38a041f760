// What the router believes, against replicas that keep and lose prompts by plain rules.
#include "affinity/affinity_table.hpp"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <set>

using namespace thornwick;
using namespace thornwick::affinity;

namespace {

constexpr Time kSecond = seconds(1);

struct Heard : Observer {
  int fleet = 0, lost = 0, regained = 0;
  void fleet_lost(Time) override { ++fleet; }
  void replica_lost(Time, ReplicaId) override { ++lost; }
  void replica_regained(Time, ReplicaId) override { ++regained; }
};

Request turn(std::uint64_t session, double prompt, std::uint64_t prefix = 0, double beginning = 0) {
  Request request;
  request.session = session;
  request.prompt_tokens = prompt;
  request.max_tokens = 100;
  request.prefix = prefix;
  request.prefix_tokens = beginning;
  return request;
}

struct World {
  explicit World(int replicas = 4) { list(replicas); }

  void list(int count) {
    std::vector<Endpoint> entries;
    for (int i = 1; i <= count; ++i) entries.push_back({.id = static_cast<ReplicaId>(i)});
    affinity_table.on_endpoints(EndpointUpdate::full, entries);
  }
  void change(ReplicaId id, EndpointState state, Time started = 0) {
    const Endpoint entry{.id = id, .state = state, .started = started};
    affinity_table.on_endpoints(EndpointUpdate::delta, std::span(&entry, 1));
  }
  // A whole answer by this replica, which finds so many tokens.
  void answer(const Request& request, ReplicaId replica, double found) {
    const auto was = affinity_table.began(now, request, replica);
    now += 50'000;
    affinity_table.answered(now, request, replica, was, found, 50);
  }

  Time now = seconds(1'000'000);
  Heard heard;
  AffinityTable affinity_table{Options{.table = {.entries = 10'000, .bytes = 4 << 20}}, &heard};
};

// A fleet that keeps whole prompts; requests go where the table says, or to a replica by their number.
struct Fleet : World {
  Fleet() : World(8) {}

  void play(int requests, bool keep = true) {
    for (int i = 0; i < requests; ++i) {
      const std::uint64_t session = 1 + boost::random::uniform_int_distribution<std::uint64_t>(0, 199)(dice);
      double& prompt = prompts[session];
      prompt += 200;
      if (prompt > 4000) prompt = 200, held.erase(session);
      const Request request = turn(session, prompt);
      const CacheHint cache_hint = affinity_table.recall(now, request);
      const ReplicaId replica =
          cache_hint.known ? cache_hint.replica : static_cast<ReplicaId>(1 + session % 8);
      told += cache_hint.known ? 1 : 0;
      const auto found = held.find(session);
      const bool there = found != held.end() && found->second.first == replica;
      answer(request, replica, there && keep ? found->second.second : 0);
      held[session] = {replica, prompt};
    }
  }
  // All copies are void, as the replicas see it.
  void flush() {
    for (auto& [session, copy] : held) copy.second = 0;
  }

  boost::random::mt19937_64 dice{11};
  std::map<std::uint64_t, double> prompts;
  std::map<std::uint64_t, std::pair<ReplicaId, double>> held;
  int told = 0;
};

}  // namespace

TEST_CASE("a session is believed to be where it was answered, at the size it was placed") {
  World w;
  CHECK_FALSE(w.affinity_table.recall(w.now, turn(7, 1000)).known);
  w.answer(turn(7, 1000), 3, 0);
  const CacheHint cache_hint = w.affinity_table.recall(w.now, turn(7, 1500));
  CHECK(cache_hint.known);
  CHECK(cache_hint.replica == 3);
  CHECK(cache_hint.tokens > 800);
  CHECK(cache_hint.tokens <= 1000);
  CHECK(cache_hint.cached_size == 1100);
  w.answer(turn(7, 1500), 3, 1000);
  CHECK(w.affinity_table.recall(w.now, turn(7, 1800)).cached_size == 1100);
}

TEST_CASE("a step to a neighbour leaves the copy in two places") {
  World w;
  w.answer(turn(7, 1000), 2, 0);
  w.answer(turn(7, 1400), 3, 0);
  CHECK(w.affinity_table.recall(w.now, turn(7, 1600)).replica == 3);
  w.change(3, EndpointState::draining);
  CHECK(w.affinity_table.recall(w.now, turn(7, 1600)).replica == 2);
  w.change(3, EndpointState::ready);
  CHECK(w.affinity_table.recall(w.now, turn(7, 1600)).replica == 3);
}

TEST_CASE("a box that restarted, went or was replaced holds nothing") {
  World w;
  w.answer(turn(7, 1000), 2, 0);
  SECTION("it started anew under its name") { w.change(2, EndpointState::ready, w.now); }
  SECTION("it went") { w.change(2, EndpointState::gone); }
  SECTION("it went and came back") {
    w.change(2, EndpointState::gone);
    w.change(2, EndpointState::ready);
  }
  SECTION("a whole list omits it") { w.list(1); }
  SECTION("another takes its slot") {
    w.change(2, EndpointState::gone);
    w.change(9, EndpointState::ready);
  }
  CHECK_FALSE(w.affinity_table.recall(w.now, turn(7, 1500)).known);
}

TEST_CASE("a new session follows its beginning, over all boxes that hold it") {
  World w;
  for (ReplicaId replica = 1; replica <= 4; ++replica)
    w.answer(turn(100 + replica, 5000, 55, 4000), replica, 0);
  std::map<ReplicaId, int> chosen;
  for (std::uint64_t session = 1000; session < 1400; ++session) {
    const CacheHint cache_hint = w.affinity_table.recall(w.now, turn(session, 5000, 55, 4000));
    REQUIRE(cache_hint.known);
    CHECK(cache_hint.cached_size == 0);
    ++chosen[cache_hint.replica];
  }
  CHECK(chosen.size() == 4);
  for (const auto& [replica, count] : chosen) CHECK(count < 150);  // 100 each are fair
}

TEST_CASE("what the beginning alone brings is no proof that the session's copy is there") {
  World w;
  w.answer(turn(7, 5000, 55, 4000), 2, 0);
  w.answer(turn(7, 6000, 55, 4000), 2, 4000);
  CHECK(w.affinity_table.metrics().misses == 1);
  w.answer(turn(7, 7000, 55, 4000), 2, 6000);
  CHECK(w.affinity_table.metrics().hits == 1);
}

TEST_CASE("entries age out, also when the clock went back meanwhile") {
  World w;
  w.answer(turn(7, 1000), 2, 0);
  const Time then = w.now;
  w.now -= seconds(3600);
  CHECK(w.affinity_table.recall(w.now, turn(7, 1200)).known);
  w.now = then + seconds(1801);
  CHECK_FALSE(w.affinity_table.recall(w.now, turn(7, 1200)).known);
  for (std::uint64_t i = 0; i < 200; ++i) w.answer(turn(50, 100), 1, 0);
  CHECK(w.affinity_table.table().sessions().find(7) == nullptr);
  CHECK(w.affinity_table.metrics().expired == 1);
}

TEST_CASE("when all copies vanish the table is not believed within 20 answers, and box by box again later") {
  Fleet fleet;
  fleet.play(3000);
  REQUIRE(fleet.heard.fleet + fleet.heard.lost == 0);
  REQUIRE(fleet.affinity_table.metrics().hits > 2000);
  fleet.flush();
  const auto misses = fleet.affinity_table.metrics().misses;
  int answers = 0;
  while (fleet.heard.fleet == 0 && answers < 100) fleet.play(1), ++answers;
  CHECK(answers <= 20);
  CHECK(fleet.affinity_table.metrics().misses - misses <= 20);
  CHECK_FALSE(fleet.affinity_table.trusted());
  CHECK(fleet.affinity_table.table().sessions().size() > 0);
  // Nothing old is told any more; what is told are now and then new copies, to learn from.
  fleet.told = 0;
  fleet.play(100);
  CHECK(fleet.told < 40);
  fleet.play(3000);
  CHECK(fleet.affinity_table.trusted());
  CHECK(fleet.heard.regained == 8);
  fleet.told = 0;
  fleet.play(1000);
  CHECK(fleet.told > 700);
}

TEST_CASE("one box that loses its copies is doubted alone") {
  Fleet fleet;
  fleet.play(3000);
  for (int i = 0; i < 40 && fleet.heard.lost == 0; ++i) {
    for (auto& [session, copy] : fleet.held) {
      if (copy.first == 5) copy.second = 0;
    }
    fleet.play(25);
  }
  CHECK(fleet.heard.lost == 1);
  CHECK(fleet.heard.fleet == 0);
  CHECK(fleet.affinity_table.trusted());
}

TEST_CASE("more boxes than slots are passed over, not lost") {
  AffinityTable affinity_table(Options{.table = {.entries = 1000}, .max_replicas = 2});
  std::vector<Endpoint> entries{{.id = 1}, {.id = 2}, {.id = 3}};
  affinity_table.on_endpoints(EndpointUpdate::full, entries);
  CHECK(affinity_table.replicas().size() == 2);
  CHECK(affinity_table.replicas().rejected() == 1);
  const auto was = affinity_table.began(kSecond, turn(7, 1000), 3);
  affinity_table.answered(kSecond, turn(7, 1000), 3, was, 0, 10);
  CHECK_FALSE(affinity_table.recall(kSecond, turn(7, 1000)).known);
}
