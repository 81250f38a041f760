// The requests that all routers of a group together send to a replica that has just started, in virtual time.
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
    for (std::uint32_t i = 0; i < count; ++i) start(i);
  }
  double chance() { return boost::random::uniform_01<double>()(random); }
  // Starts the router's process, which has no memory of earlier sends.
  void start(std::uint32_t i) {
    settings.rank = i;
    routers[i] = std::make_unique<SlowStartBudget>(std::make_unique<SendingDecider>(), settings, now);
    const Endpoint list[] = {
        {.id = 1}, {.id = 2, .started = replica_started, .weight = 1}, {.id = 3}, {.id = 4}};
    routers[i]->on_endpoints(now, EndpointUpdate::full, list);
  }
  bool request(std::uint32_t i) {
    routers[i]->on_request(now, {.id = ++last_request});
    const auto actions = routers[i]->take_actions();
    REQUIRE(actions.size() == 1);
    const bool sent = actions[0].time != core::kNotSent;
    if (sent) sends.push_back(now);
    return sent;
  }
  // Requires that no window that ends with a send has more sends than the rule allows.
  void check_limit() const {
    std::size_t from = 0;
    for (std::size_t at = 0; at < sends.size() && sends[at] < replica_started + settings.warm_up; ++at) {
      while (sends[from] + settings.overload_after <= sends[at]) ++from;
      const double allowed = routers[0]->allowed_sends({.id = 2, .started = replica_started, .weight = 1},
                                                       sends[from] - replica_started);
      REQUIRE(static_cast<double>(at - from + 1) <= allowed + 2 * std::sqrt(allowed) + 2);
    }
  }

  Time replica_started = seconds(100);
  Time now = seconds(99);
  boost::random::mt19937_64 random;
  Settings settings;
  std::vector<std::unique_ptr<SlowStartBudget>> routers;
  std::vector<Time> sends;
  RequestId last_request = 0;
};

}  // namespace

TEST_CASE("the shares of all routers never sum to more than a cold replica may get, and are used") {
  const auto count = GENERATE(1u, 2u, 4u, 7u, 16u, 30u, 100u, 300u);
  const auto quota = GENERATE(4.0, 40.0, 400.0);
  const auto seed = GENERATE(1u, 2u);
  CAPTURE(count, quota, seed);
  SimulatedGroup group(count, quota, seed);
  group.now = group.replica_started;
  const bool in_turn = count <= SlowStartBudget::kMaxWindowsPerTurn *
                                    group.routers[0]->allowed_sends(
                                        {.id = 2, .started = group.replica_started, .weight = 1}, 0);
  if (!in_turn) return;  // the next test case covers these groups
  double mean = 0;
  int windows = 0;
  while (group.now < group.replica_started + group.settings.warm_up) {
    const std::size_t sends_before = group.sends.size();
    const Time end = group.now + group.settings.overload_after;
    const double allowed = group.routers[0]->allowed_sends(
        {.id = 2, .started = group.replica_started, .weight = 1}, group.now - group.replica_started);
    for (; group.now < end; group.now += kTick) {
      // All routers have more requests than they may send; the first has four times the traffic.
      for (std::uint32_t i = 0; i < count; ++i) {
        if (group.chance() < (i == 0 ? 1 : 0.25)) group.request(i);
      }
    }
    if (end > group.replica_started + group.settings.warm_up) break;
    mean += static_cast<double>(group.sends.size() - sends_before) / std::max(1.0, allowed);
    ++windows;
  }
  group.check_limit();
  // The limit has to be used: turns give out half of the remainder, and the limit at the beginning of a
  // window is a little lower than at its end.
  CHECK(mean / windows > 0.3);
}

// Each of 300 routers has a twentieth of a request a window, all together half of what the replica may get.
TEST_CASE(
    "in a group too large for turns, skew, bursts and retries do not exceed the limit, and it is used") {
  const auto seed = GENERATE(1u, 2u, 3u);
  CAPTURE(seed);
  SimulatedGroup group(300, 40, seed);
  std::size_t requests = 0;
  for (group.now = group.replica_started; group.now < group.replica_started + group.settings.warm_up;
       group.now += kTick) {
    const double allowed = group.routers[0]->allowed_sends(
        {.id = 2, .started = group.replica_started, .weight = 1}, group.now - group.replica_started);
    const double mean = allowed / 2 * kTick / static_cast<double>(group.settings.overload_after) / 300;
    for (std::uint32_t i = 0; i < 300; ++i) {
      if (group.chance() >= (i < 10 ? 5 * mean : mean)) continue;
      ++requests;
      for (int repeat = 0; repeat < 3; ++repeat) group.request(i);
    }
  }
  group.check_limit();
  CHECK(group.sends.size() > 0.75 * static_cast<double>(requests));
}

TEST_CASE("routers that restart during a slow start and forget their sends do not exceed the limit") {
  const auto count = GENERATE(4u, 16u, 30u);
  const auto seed = GENERATE(1u, 2u);
  CAPTURE(count, seed);
  SimulatedGroup group(count, 40, seed);
  for (group.now = group.replica_started; group.now < group.replica_started + group.settings.warm_up;
       group.now += kTick) {
    if (group.now % kSecond == 0) {
      for (std::uint32_t i = 0; i < count; ++i) {
        if (group.chance() < 0.5) group.start(i);
      }
    }
    for (std::uint32_t i = 0; i < count; ++i) group.request(i);
  }
  group.check_limit();
}

TEST_CASE("a replica that is warm, or whose capacity no quota gives, is not limited") {
  SimulatedGroup group(300, 40, 1);
  group.now = group.replica_started + group.settings.warm_up;
  for (int i = 0; i < 100; ++i) CHECK(group.request(5));
  SimulatedGroup open(300, 0, 1);
  open.now = open.replica_started;
  for (int i = 0; i < 100; ++i) CHECK(open.request(5));
}
