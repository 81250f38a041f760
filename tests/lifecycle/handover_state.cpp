// The learned state of a hand-over: a successor decides as its predecessor did, and invalid values are passed
// over.
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
// attempt at `failing` fails and every other one is served.
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

TEST_CASE("a successor cuts work by size as its predecessor did and ejects the same replicas") {
  Time now = seconds(1);
  RoutingPolicy first(settings(), now);
  first.on_endpoints(now, EndpointUpdate::full, replicas());
  send_requests(first, now, 200, 3);
  REQUIRE(first.ejected(now) == std::vector<ReplicaId>{3});

  const std::string bytes = persistence::encode_handover_state(first.learned_state(), nullptr);
  const auto learned_state = persistence::decode_handover_state(bytes, now, nullptr);
  REQUIRE(learned_state);
  RoutingPolicy second(settings(), now);
  second.on_endpoints(now, EndpointUpdate::cached, replicas());
  second.restore_learned_state(*learned_state);
  // The successor cuts by size from the first request on, and the ejected replica gets nothing.
  Time successor_time = now;
  const auto sent = send_requests(second, successor_time, 40, 0);
  CHECK(std::is_sorted(sent.begin(), sent.end()));  // the sizes rise, and with them the owners
  CHECK(std::set<ReplicaId>(sent.begin(), sent.end()) == std::set<ReplicaId>{1, 2, 4});
  CHECK(second.ejected(successor_time) == std::vector<ReplicaId>{3});
  // A replica that has restarted since is not ejected any more.
  auto fresh = replicas();
  fresh[2].started_at = now;
  RoutingPolicy third(settings(), now);
  third.on_endpoints(now, EndpointUpdate::cached, fresh);
  third.restore_learned_state(*learned_state);
  send_requests(third, successor_time, 40, 0);
  CHECK(third.ejected(successor_time).empty());
}

TEST_CASE("truncated bytes are rejected, and invalid values are passed over") {
  Time now = seconds(1);
  RoutingPolicy router(settings(), now);
  router.on_endpoints(now, EndpointUpdate::full, replicas());
  LearnedState bad;
  const double none = std::numeric_limits<double>::quiet_NaN();
  bad.samples = {{none, 1}, {1, -1}, {1, 0}};
  bad.prefixes = {{1, none}, {2, -5}};
  bad.replicas = {{99, 0, 3, 0, 1}, {1, 0, 1'000'000, 0, none}};
  bad.tenant_usage = {none};
  bad.zone_overflow = 17;
  bad.load_shedding = none;
  const std::string bytes = persistence::encode_handover_state(bad, nullptr);
  const auto read = persistence::decode_handover_state(bytes, now, nullptr);
  REQUIRE(read);
  router.restore_learned_state(*read);
  CHECK(send_requests(router, now, 40, 0).size() == 40);
  CHECK(router.learned_state().load_shedding == 0);
  CHECK(router.learned_state().zone_overflow == 0);
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    CHECK_FALSE(persistence::decode_handover_state(std::string_view(bytes).substr(0, size), now, nullptr));
  }
}
