// Tests the affinity table against simulated replicas that cache prompts, and lose them, by simple rules.
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

struct CountingObserver : Observer {
  int fleet_losses = 0;
  int replica_losses = 0;
  int recoveries = 0;
  void on_fleet_copies_lost(Time) override { ++fleet_losses; }
  void on_replica_copies_lost(Time, ReplicaId) override { ++replica_losses; }
  void on_replica_recovered(Time, ReplicaId) override { ++recoveries; }
};

Request make_request(std::uint64_t session, double prompt_tokens, std::uint64_t prefix = 0,
                     double prefix_tokens = 0) {
  Request request;
  request.session = session;
  request.prompt_tokens = prompt_tokens;
  request.max_tokens = 100;
  request.prefix = prefix;
  request.prefix_tokens = prefix_tokens;
  return request;
}

// A table, the replicas that discovery lists, and a clock.
struct TableFixture {
  explicit TableFixture(int replicas = 4) { list_replicas(replicas); }

  void list_replicas(int count) {
    std::vector<Endpoint> entries;
    for (int i = 1; i <= count; ++i) entries.push_back({.id = static_cast<ReplicaId>(i)});
    affinity_table.on_endpoints(EndpointUpdate::full, entries);
  }
  void update_replica(ReplicaId id, EndpointState state, Time started = 0) {
    const Endpoint entry{.id = id, .state = state, .started_at = started};
    affinity_table.on_endpoints(EndpointUpdate::delta, std::span(&entry, 1));
  }
  // A complete answer of this replica, which finds so many tokens in its cache.
  void answer(const Request& request, ReplicaId replica, double cached_tokens) {
    const Expectation expectation = affinity_table.on_answer_started(now, request, replica);
    now += milliseconds(50);
    affinity_table.on_answer_complete(now, request, replica, expectation, cached_tokens, 50);
  }

  Time now = seconds(1'000'000);
  CountingObserver observer;
  AffinityTable affinity_table{Options{.table = {.entries = 10'000, .bytes = 4 << 20}}, &observer};
};

// Eight replicas that cache whole prompts. Requests go where the table's hint says, or else to a replica by
// their session's number.
struct SimulatedFleet : TableFixture {
  SimulatedFleet() : TableFixture(8) {}

  void run(int requests) {
    for (int i = 0; i < requests; ++i) {
      const auto session = boost::random::uniform_int_distribution<std::uint64_t>(1, 200)(random);
      double& prompt_tokens = prompts[session];
      prompt_tokens += 200;
      if (prompt_tokens > 4000) {
        prompt_tokens = 200;
        caches.erase(session);
      }
      const Request request = make_request(session, prompt_tokens);
      const CacheHint hint = affinity_table.find_hint(now, request);
      const ReplicaId replica = hint.has_replica ? hint.replica : static_cast<ReplicaId>(1 + session % 8);
      hints += hint.has_replica ? 1 : 0;
      const auto cached = caches.find(session);
      const bool hit = cached != caches.end() && cached->second.replica == replica;
      answer(request, replica, hit ? cached->second.tokens : 0);
      caches[session] = {replica, prompt_tokens};
    }
  }
  // Empties the caches of all replicas.
  void flush() {
    for (auto& [session, cached] : caches) cached.tokens = 0;
  }

  struct CachedPrompt {
    ReplicaId replica;
    double tokens;
  };
  boost::random::mt19937_64 random{11};
  std::map<std::uint64_t, double> prompts;       // tokens of each session's latest prompt
  std::map<std::uint64_t, CachedPrompt> caches;  // by session
  int hints = 0;
};

}  // namespace

TEST_CASE("a session's hint names the replica that answered it last, and the size at which it was placed") {
  TableFixture fixture;
  CHECK_FALSE(fixture.affinity_table.find_hint(fixture.now, make_request(7, 1000)).has_replica);
  fixture.answer(make_request(7, 1000), 3, 0);
  const CacheHint hint = fixture.affinity_table.find_hint(fixture.now, make_request(7, 1500));
  CHECK(hint.has_replica);
  CHECK(hint.replica == 3);
  CHECK(hint.expected_tokens > 800);
  CHECK(hint.expected_tokens <= 1000);
  CHECK(hint.cached_size == 1100);
  fixture.answer(make_request(7, 1500), 3, 1000);
  CHECK(fixture.affinity_table.find_hint(fixture.now, make_request(7, 1800)).cached_size == 1100);
}

TEST_CASE("a session that migrates to a neighbour leaves a copy on both replicas") {
  TableFixture fixture;
  fixture.answer(make_request(7, 1000), 2, 0);
  fixture.answer(make_request(7, 1400), 3, 0);
  CHECK(fixture.affinity_table.find_hint(fixture.now, make_request(7, 1600)).replica == 3);
  fixture.update_replica(3, EndpointState::draining);
  CHECK(fixture.affinity_table.find_hint(fixture.now, make_request(7, 1600)).replica == 2);
  fixture.update_replica(3, EndpointState::ready);
  CHECK(fixture.affinity_table.find_hint(fixture.now, make_request(7, 1600)).replica == 3);
}

TEST_CASE("a replica that restarted, was removed or was replaced has no copies") {
  TableFixture fixture;
  fixture.answer(make_request(7, 1000), 2, 0);
  SECTION("it restarted under its id") { fixture.update_replica(2, EndpointState::ready, fixture.now); }
  SECTION("it was removed") { fixture.update_replica(2, EndpointState::removed); }
  SECTION("it was removed and listed again") {
    fixture.update_replica(2, EndpointState::removed);
    fixture.update_replica(2, EndpointState::ready);
  }
  SECTION("a full endpoint list omits it") { fixture.list_replicas(1); }
  SECTION("another replica gets its slot") {
    fixture.update_replica(2, EndpointState::removed);
    fixture.update_replica(9, EndpointState::ready);
  }
  CHECK_FALSE(fixture.affinity_table.find_hint(fixture.now, make_request(7, 1500)).has_replica);
}

TEST_CASE("new sessions are spread over all replicas that have their prefix cached") {
  TableFixture fixture;
  for (ReplicaId replica = 1; replica <= 4; ++replica)
    fixture.answer(make_request(100 + replica, 5000, 55, 4000), replica, 0);
  std::map<ReplicaId, int> chosen;
  for (std::uint64_t session = 1000; session < 1400; ++session) {
    const CacheHint hint =
        fixture.affinity_table.find_hint(fixture.now, make_request(session, 5000, 55, 4000));
    REQUIRE(hint.has_replica);
    CHECK(hint.cached_size == 0);
    ++chosen[hint.replica];
  }
  CHECK(chosen.size() == 4);
  for (const auto& [replica, count] : chosen) CHECK(count < 150);  // 100 each are fair
}

TEST_CASE("cached tokens of the prefix alone do not count as a hit of the session's copy") {
  TableFixture fixture;
  fixture.answer(make_request(7, 5000, 55, 4000), 2, 0);
  fixture.answer(make_request(7, 6000, 55, 4000), 2, 4000);
  CHECK(fixture.affinity_table.metrics().misses == 1);
  fixture.answer(make_request(7, 7000, 55, 4000), 2, 6000);
  CHECK(fixture.affinity_table.metrics().hits == 1);
}

TEST_CASE("entries expire after the lifetime, also if the clock was set back meanwhile") {
  TableFixture fixture;
  fixture.answer(make_request(7, 1000), 2, 0);
  const Time then = fixture.now;
  fixture.now -= seconds(3600);
  CHECK(fixture.affinity_table.find_hint(fixture.now, make_request(7, 1200)).has_replica);
  fixture.now = then + seconds(1801);
  CHECK_FALSE(fixture.affinity_table.find_hint(fixture.now, make_request(7, 1200)).has_replica);
  for (std::uint64_t i = 0; i < 200; ++i) fixture.answer(make_request(50, 100), 1, 0);
  CHECK(fixture.affinity_table.table().sessions().find(7) == nullptr);
  CHECK(fixture.affinity_table.metrics().expired == 1);
}

TEST_CASE("a flush of all caches is noticed within 20 answers, and replicas are trusted again one by one") {
  SimulatedFleet fleet;
  fleet.run(3000);
  REQUIRE(fleet.observer.fleet_losses + fleet.observer.replica_losses == 0);
  REQUIRE(fleet.affinity_table.metrics().hits > 2000);
  fleet.flush();
  const auto misses = fleet.affinity_table.metrics().misses;
  int answers = 0;
  while (fleet.observer.fleet_losses == 0 && answers < 100) {
    fleet.run(1);
    ++answers;
  }
  CHECK(answers <= 20);
  CHECK(fleet.affinity_table.metrics().misses - misses <= 20);
  CHECK_FALSE(fleet.affinity_table.fleet_trusted());
  CHECK(fleet.affinity_table.table().sessions().size() > 0);
  // No hint names an old copy; every fourth hint about a new copy is given, to learn from.
  fleet.hints = 0;
  fleet.run(100);
  CHECK(fleet.hints < 40);
  fleet.run(3000);
  CHECK(fleet.affinity_table.fleet_trusted());
  CHECK(fleet.observer.recoveries == 8);
  fleet.hints = 0;
  fleet.run(1000);
  CHECK(fleet.hints > 700);
}

TEST_CASE("only the replica that lost its copies is put on probation") {
  SimulatedFleet fleet;
  fleet.run(3000);
  for (int i = 0; i < 40 && fleet.observer.replica_losses == 0; ++i) {
    for (auto& [session, cached] : fleet.caches) {
      if (cached.replica == 5) cached.tokens = 0;
    }
    fleet.run(25);
  }
  CHECK(fleet.observer.replica_losses == 1);
  CHECK(fleet.observer.fleet_losses == 0);
  CHECK(fleet.affinity_table.fleet_trusted());
}

TEST_CASE("replicas beyond the slots are rejected and counted, and get no copies") {
  AffinityTable affinity_table(Options{.table = {.entries = 1000}, .max_replicas = 2});
  std::vector<Endpoint> entries{{.id = 1}, {.id = 2}, {.id = 3}};
  affinity_table.on_endpoints(EndpointUpdate::full, entries);
  CHECK(affinity_table.replicas().size() == 2);
  CHECK(affinity_table.replicas().rejected() == 1);
  const Expectation expectation = affinity_table.on_answer_started(kSecond, make_request(7, 1000), 3);
  affinity_table.on_answer_complete(kSecond, make_request(7, 1000), 3, expectation, 0, 10);
  CHECK_FALSE(affinity_table.find_hint(kSecond, make_request(7, 1000)).has_replica);
}
