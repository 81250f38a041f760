// Checks how many requests all routers of a group together send to a replica that has just started, in
// virtual time.
#include "core/slow_start_budget.hpp"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_01.hpp>
#include <catch2/catch.hpp>
#include <cmath>
#include <memory>

using namespace thornwick;
using core::SlowStartBudget;

namespace {

constexpr Time kSecond = seconds(1);
constexpr Time kTick = milliseconds(4);

// The inner decider: sends every request to the replica that has just started.
struct SendingDecider : core::Decider {
  void on_endpoints(Time, EndpointUpdate, std::span<const Endpoint>) override {}
  void on_request(Time, const Request& request) override {
    actions.push_back({.kind = ActionKind::send, .id = request.id, .replica = 2});
  }
  void on_first_token(Time, RequestId, std::uint8_t, ReplicaId, Time) override {}
  void on_attempt_result(Time, const AttemptResult&) override {}
  void on_client_disconnected(Time, RequestId) override {}
  void on_timer(Time, std::uint32_t) override {}
  void on_probe_result(Time, ReplicaId, bool, std::span<const float>) override {}
  void on_peer_message(Time, std::uint32_t, std::span<const std::uint8_t>) override {}
  std::vector<Action> take_actions() override { return std::exchange(actions, {}); }
  std::vector<Action> actions;
};

struct SimulatedGroup {
  SimulatedGroup(std::uint32_t count, double quota, std::uint64_t seed) : random(seed), routers(count) {
    settings.group_size = count;
    settings.tenants.push_back({.share = 1, .quota_per_s = quota});
    settings.warm_up = milliseconds(8'700);
    settings.initial_capacity = 0.3;
    settings.overload_multiple = 3;
    settings.overload_after = seconds(2);
    for (std::uint32_t i = 0; i < count; ++i) start_router(i);
  }
  double random_fraction() { return boost::random::uniform_01<double>()(random); }
  // Starts a router's process, which does not know what it sent earlier.
  void start_router(std::uint32_t i) {
    settings.rank = i;
    routers[i] = std::make_unique<SlowStartBudget>(std::make_unique<SendingDecider>(), settings, now);
    const Endpoint list[] = {
        {.id = 1}, {.id = 2, .started_at = replica_started_at, .weight = 1}, {.id = 3}, {.id = 4}};
    routers[i]->on_endpoints(now, EndpointUpdate::full, list);
  }
  // Returns whether router `i` sent the request.
  bool send_request(std::uint32_t i) {
    routers[i]->on_request(now, {.id = ++last_request});
    const auto actions = routers[i]->take_actions();
    REQUIRE(actions.size() == 1);
    const bool sent = actions[0].time != core::kNotSent;
    if (sent) send_times.push_back(now);
    return sent;
  }
  // Requires that no window that ends with a send has more sends than the limit allows.
  void require_limit() const {
    std::size_t from = 0;
    for (std::size_t at = 0; at < send_times.size() && send_times[at] < replica_started_at + settings.warm_up;
         ++at) {
      while (send_times[from] + settings.overload_after <= send_times[at]) ++from;
      const double allowed = routers[0]->allowed_sends(
          {.id = 2, .started_at = replica_started_at, .weight = 1}, send_times[from] - replica_started_at);
      REQUIRE(static_cast<double>(at - from + 1) <= allowed + 2 * std::sqrt(allowed) + 2);
    }
  }

  Time replica_started_at = seconds(100);
  Time now = seconds(99);
  boost::random::mt19937_64 random;
  Settings settings;
  std::vector<std::unique_ptr<SlowStartBudget>> routers;
  std::vector<Time> send_times;
  RequestId last_request = 0;
};

}  // namespace

TEST_CASE("the shares of all routers never sum to more than a cold replica may get, and are used") {
  const auto count = GENERATE(1u, 2u, 4u, 7u, 16u, 30u, 100u, 300u);
  const auto quota = GENERATE(4.0, 40.0, 400.0);
  const auto seed = GENERATE(1u, 2u);
  CAPTURE(count, quota, seed);
  SimulatedGroup group(count, quota, seed);
  group.now = group.replica_started_at;
  const bool takes_turns =
      count <=
      SlowStartBudget::kMaxWindowsPerTurn *
          group.routers[0]->allowed_sends({.id = 2, .started_at = group.replica_started_at, .weight = 1}, 0);
  if (!takes_turns) return;  // the next test case covers these groups
  double mean = 0;
  int windows = 0;
  while (group.now < group.replica_started_at + group.settings.warm_up) {
    const std::size_t send_count_before = group.send_times.size();
    const Time end = group.now + group.settings.overload_after;
    const double allowed = group.routers[0]->allowed_sends(
        {.id = 2, .started_at = group.replica_started_at, .weight = 1}, group.now - group.replica_started_at);
    for (; group.now < end; group.now += kTick) {
      // All routers have more requests than they may send; the first has four times the traffic.
      for (std::uint32_t i = 0; i < count; ++i) {
        if (group.random_fraction() < (i == 0 ? 1 : 0.25)) group.send_request(i);
      }
    }
    if (end > group.replica_started_at + group.settings.warm_up) break;
    mean += static_cast<double>(group.send_times.size() - send_count_before) / std::max(1.0, allowed);
    ++windows;
  }
  group.require_limit();
  // The limit has to be used: turns give out half of the remainder, and the limit at the beginning of a
  // window is a little lower than at its end.
  CHECK(mean / windows > 0.3);
}

// Each of 300 routers has a twentieth of a request in a window. All together have half of what the replica
// may get.
TEST_CASE(
    "in a group too large for turns, skew, bursts and retries do not exceed the limit, and it is used") {
  const auto seed = GENERATE(1u, 2u, 3u);
  CAPTURE(seed);
  SimulatedGroup group(300, 40, seed);
  std::size_t requests = 0;
  for (group.now = group.replica_started_at; group.now < group.replica_started_at + group.settings.warm_up;
       group.now += kTick) {
    const double allowed = group.routers[0]->allowed_sends(
        {.id = 2, .started_at = group.replica_started_at, .weight = 1}, group.now - group.replica_started_at);
    const double mean = allowed / 2 * kTick / static_cast<double>(group.settings.overload_after) / 300;
    for (std::uint32_t i = 0; i < 300; ++i) {
      if (group.random_fraction() >= (i < 10 ? 5 * mean : mean)) continue;
      ++requests;
      for (int repeat = 0; repeat < 3; ++repeat) group.send_request(i);
    }
  }
  group.require_limit();
  CHECK(group.send_times.size() > 0.75 * static_cast<double>(requests));
}

TEST_CASE("routers that restart during a slow start and forget their sends do not exceed the limit") {
  const auto count = GENERATE(4u, 16u, 30u);
  const auto seed = GENERATE(1u, 2u);
  CAPTURE(count, seed);
  SimulatedGroup group(count, 40, seed);
  for (group.now = group.replica_started_at; group.now < group.replica_started_at + group.settings.warm_up;
       group.now += kTick) {
    if (group.now % kSecond == 0) {
      for (std::uint32_t i = 0; i < count; ++i) {
        if (group.random_fraction() < 0.5) group.start_router(i);
      }
    }
    for (std::uint32_t i = 0; i < count; ++i) group.send_request(i);
  }
  group.require_limit();
}

TEST_CASE("a replica that is warm, or whose capacity no quota gives, is not limited") {
  SimulatedGroup group(300, 40, 1);
  group.now = group.replica_started_at + group.settings.warm_up;
  for (int i = 0; i < 100; ++i) CHECK(group.send_request(5));
  SimulatedGroup without_quotas(300, 0, 1);
  without_quotas.now = without_quotas.replica_started_at;
  for (int i = 0; i < 100; ++i) CHECK(without_quotas.send_request(5));
}
