// What passes to a successor: the module decides on as before, and nothing senseless gets in.
#include "persistence/handover_state.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <limits>
#include <set>

using namespace thornwick;

namespace {

Settings settings() {
  Settings s;
  s.classes.push_back({.priority_weight = 1, .latency_objective = 1'000'000, .deadline = 8'000'000});
  s.tenants = {{.share = 1}};
  s.max_attempts = 5;
  s.seed = 7;
  return s;
}

std::vector<Endpoint> replicas() {
  std::vector<Endpoint> list(4);
  for (ReplicaId id = 0; id < 4; ++id) list[id].id = id + 1;
  return list;
}

// Where requests of these sizes go; each fails at this replica and is served elsewhere.
std::vector<ReplicaId> play(RoutingPolicy& router, Time& now, int count, ReplicaId bad) {
  std::vector<ReplicaId> sent;
  for (int i = 0; i < count; ++i) {
    const auto id = static_cast<RequestId>(now);
    std::uint8_t attempt = 0;
    router.on_request(
        now, {.id = id, .due = now + 8'000'000, .prompt_tokens = 100.0 + 100 * (i % 40), .max_tokens = 50});
    for (auto actions = router.take_actions(); !actions.empty(); actions = router.take_actions()) {
      for (const auto& a : actions) {
        if (a.kind != ActionKind::send) continue;
        sent.push_back(a.replica);
        router.on_attempt_result(now,
                                 {.id = id,
                                  .attempt = attempt++,
                                  .replica = a.replica,
                                  .outcome = a.replica == bad ? Outcome::connect_failed : Outcome::served,
                                  .elapsed = 100,
                                  .concluded = a.replica != bad});
      }
    }
    now += 10'000;
  }
  return sent;
}

}  // namespace

TEST_CASE("a successor cuts as its predecessor did and leaves out what had failed") {
  Time now = seconds(1);
  RoutingPolicy first(settings(), now);
  first.on_endpoints(now, EndpointUpdate::full, replicas());
  play(first, now, 200, 3);
  REQUIRE(first.ejected(now) == std::vector<ReplicaId>{3});

  const std::string bytes = persistence::encode_handover_state(first.learned_state(), nullptr);
  LearnedState learned_state;
  REQUIRE(persistence::decode_handover_state(bytes, now, learned_state, nullptr));
  RoutingPolicy second(settings(), now);
  second.on_endpoints(now, EndpointUpdate::cached, replicas());
  second.learn(learned_state);
  // Sizes are told apart from the first request on, and the failed replica gets nothing.
  Time same = now;
  const auto sent = play(second, same, 40, 0);
  CHECK(std::is_sorted(sent.begin(), sent.end()));  // the sizes rise, and so do the owners
  CHECK(std::set<ReplicaId>(sent.begin(), sent.end()) == std::set<ReplicaId>{1, 2, 4});
  CHECK(second.ejected(same) == std::vector<ReplicaId>{3});
  // A replica that has started anew since is judged anew.
  auto fresh = replicas();
  fresh[2].started = now;
  RoutingPolicy third(settings(), now);
  third.on_endpoints(now, EndpointUpdate::cached, fresh);
  third.learn(learned_state);
  play(third, same, 40, 0);
  CHECK(third.ejected(same).empty());
}

TEST_CASE("what is cut short, of another version or senseless is passed over") {
  Time now = seconds(1);
  RoutingPolicy router(settings(), now);
  router.on_endpoints(now, EndpointUpdate::full, replicas());
  LearnedState bad;
  const double none = std::numeric_limits<double>::quiet_NaN();
  bad.sizes = {{none, 1}, {1, -1}, {1, 0}};
  bad.prefixes = {{1, none}, {2, -5}};
  bad.replicas = {{99, 0, 3, 0, 1}, {1, 0, 1'000'000, 0, none}};
  bad.usage = {none};
  bad.zone_overflow = 17;
  bad.load_shedding = none;
  const std::string bytes = persistence::encode_handover_state(bad, nullptr);
  LearnedState read;
  REQUIRE(persistence::decode_handover_state(bytes, now, read, nullptr));
  router.learn(read);
  CHECK(play(router, now, 40, 0).size() == 40);
  CHECK(router.learned_state().load_shedding == 0);
  CHECK(router.learned_state().zone_overflow == 0);
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    CHECK_FALSE(
        persistence::decode_handover_state(std::string_view(bytes).substr(0, size), now, read, nullptr));
  }
}
