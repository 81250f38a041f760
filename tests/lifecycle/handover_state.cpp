// The learned state of a hand-over: a successor decides as its predecessor did, and invalid values are
// ignored.
#include "persistence/handover_state.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <limits>
#include <set>

using namespace thornwick;

namespace {

Settings settings() {
  Settings settings;
  settings.classes.push_back({.priority_weight = 1, .latency_objective = seconds(1), .deadline = seconds(8)});
  settings.tenants = {{.share = 1}};
  settings.max_attempts = 5;
  settings.seed = 7;
  return settings;
}

std::vector<Endpoint> replicas() {
  std::vector<Endpoint> list(4);
  for (ReplicaId id = 0; id < 4; ++id) list[id].id = id + 1;
  return list;
}

// Sends requests of 40 sizes in turn through a policy and returns the replicas of their attempts. Every
// attempt at the replica `failing` fails, and every other attempt is served.
std::vector<ReplicaId> send_requests(RoutingPolicy& router, Time& now, int count, ReplicaId failing) {
  std::vector<ReplicaId> replicas;
  for (int i = 0; i < count; ++i) {
    const auto id = static_cast<RequestId>(now);
    std::uint8_t attempt = 0;
    router.on_request(
        now,
        {.id = id, .deadline = now + seconds(8), .prompt_tokens = 100.0 + 100 * (i % 40), .max_tokens = 50});
    for (auto actions = router.take_actions(); !actions.empty(); actions = router.take_actions()) {
      for (const Action& action : actions) {
        if (action.kind != ActionKind::send) continue;
        replicas.push_back(action.replica);
        router.on_attempt_result(
            now, {.id = id,
                  .attempt = attempt++,
                  .replica = action.replica,
                  .outcome = action.replica == failing ? Outcome::connect_failed : Outcome::served,
                  .elapsed = 100,
                  .concluded = action.replica != failing});
      }
    }
    now += milliseconds(10);
  }
  return replicas;
}

}  // namespace

TEST_CASE("a successor divides work by size as its predecessor did and ejects the same replicas") {
  Time now = seconds(1);
  RoutingPolicy predecessor(settings(), now);
  predecessor.on_endpoints(now, EndpointUpdate::full, replicas());
  send_requests(predecessor, now, 200, 3);
  REQUIRE(predecessor.ejected(now) == std::vector<ReplicaId>{3});

  const std::string bytes = persistence::encode_handover_state(predecessor.learned_state(), nullptr);
  const auto learned_state = persistence::decode_handover_state(bytes, now, nullptr);
  REQUIRE(learned_state);
  RoutingPolicy successor(settings(), now);
  successor.on_endpoints(now, EndpointUpdate::cached, replicas());
  successor.restore_learned_state(*learned_state);
  // The successor divides work by size from the first request on, and the ejected replica gets nothing.
  Time successor_time = now;
  const auto sent = send_requests(successor, successor_time, 40, 0);
  CHECK(std::is_sorted(sent.begin(), sent.end()));  // rising sizes go to replicas with rising ids
  CHECK(std::set<ReplicaId>(sent.begin(), sent.end()) == std::set<ReplicaId>{1, 2, 4});
  CHECK(successor.ejected(successor_time) == std::vector<ReplicaId>{3});
  // A replica that has restarted after the hand-over is not ejected any more.
  auto restarted = replicas();
  restarted[2].started_at = now;
  RoutingPolicy later_successor(settings(), now);
  later_successor.on_endpoints(now, EndpointUpdate::cached, restarted);
  later_successor.restore_learned_state(*learned_state);
  send_requests(later_successor, successor_time, 40, 0);
  CHECK(later_successor.ejected(successor_time).empty());
}

TEST_CASE("truncated bytes are rejected, and invalid values are ignored") {
  Time now = seconds(1);
  RoutingPolicy router(settings(), now);
  router.on_endpoints(now, EndpointUpdate::full, replicas());
  LearnedState invalid_state;
  const double not_a_number = std::numeric_limits<double>::quiet_NaN();
  invalid_state.samples = {{not_a_number, 1}, {1, -1}, {1, 0}};
  invalid_state.prefixes = {{1, not_a_number}, {2, -5}};
  invalid_state.replicas = {{99, 0, 3, 0, 1}, {1, 0, 1'000'000, 0, not_a_number}};
  invalid_state.tenant_usage = {not_a_number};
  invalid_state.zone_overflow = 17;
  invalid_state.load_shedding = not_a_number;
  const std::string bytes = persistence::encode_handover_state(invalid_state, nullptr);
  const auto decoded_state = persistence::decode_handover_state(bytes, now, nullptr);
  REQUIRE(decoded_state);
  router.restore_learned_state(*decoded_state);
  CHECK(send_requests(router, now, 40, 0).size() == 40);
  CHECK(router.learned_state().load_shedding == 0);
  CHECK(router.learned_state().zone_overflow == 0);
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    CHECK_FALSE(persistence::decode_handover_state(std::string_view(bytes).substr(0, size), now, nullptr));
  }
}
