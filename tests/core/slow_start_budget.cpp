// What all routers together send to a replica that has just started, in virtual time.
#include "core/slow_start_budget.hpp"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_01.hpp>
#include <catch2/catch.hpp>
#include <cmath>
#include <memory>

using namespace thornwick;
using core::SlowStartBudget;

namespace {

constexpr Time kSecond = seconds(1), kTick = milliseconds(4);

// Whoever decides: here it only waits for its sends to be looked at.
struct Sender : core::Decider {
  void on_endpoints(Time, EndpointUpdate, std::span<const Endpoint>) override {}
  void on_request(Time, const Request& request) override {
    actions.push_back({.kind = ActionKind::send, .id = request.id, .replica = 2});
  }
  void on_first_token(Time, RequestId, std::uint8_t, ReplicaId, Time) override {}
  void on_attempt_result(Time, const AttemptResult&) override {}
  void on_client_gone(Time, RequestId) override {}
  void on_timer(Time, std::uint32_t) override {}
  void on_probe_result(Time, ReplicaId, bool, std::span<const float>) override {}
  void on_peer_message(Time, std::uint32_t, std::span<const std::uint8_t>) override {}
  std::vector<Action> take_actions() override { return std::exchange(actions, {}); }
  std::vector<Action> actions;
};

struct Group {
  Group(std::uint32_t count, double quota, std::uint64_t seed) : dice(seed), routers(count) {
    settings.group_size = count;
    settings.tenants.push_back({.share = 1, .quota_per_s = quota});
    settings.warm_up = 8'700'000, settings.initial_capacity = 0.3;
    settings.overload_multiple = 3, settings.overload_after = seconds(2);
    for (std::uint32_t i = 0; i < count; ++i) start(i);
  }
  double chance() { return boost::random::uniform_01<double>()(dice); }
  // Its process begins now, and knows nothing.
  void start(std::uint32_t i) {
    settings.rank = i;
    routers[i] = std::make_unique<SlowStartBudget>(std::make_unique<Sender>(), settings, now);
    const Endpoint list[] = {{.id = 1}, {.id = 2, .started = born, .weight = 1}, {.id = 3}, {.id = 4}};
    routers[i]->on_endpoints(now, EndpointUpdate::full, list);
  }
  bool ask(std::uint32_t i) {
    routers[i]->on_request(now, {.id = ++asked});
    const auto actions = routers[i]->take_actions();
    REQUIRE(actions.size() == 1);
    const bool sent = actions[0].time != core::kNotSent;
    if (sent) sends.push_back(now);
    return sent;
  }
  // What the replica may get in the window that ends with a send, as the rule has it, and what it got.
  void check() const {
    std::size_t from = 0;
    for (std::size_t at = 0; at < sends.size() && sends[at] < born + settings.warm_up; ++at) {
      while (sends[from] + settings.overload_after <= sends[at]) ++from;
      const double allowed =
          routers[0]->allowed_sends({.id = 2, .started = born, .weight = 1}, sends[from] - born);
      REQUIRE(static_cast<double>(at - from + 1) <= allowed + 2 * std::sqrt(allowed) + 2);
    }
  }

  Time born = seconds(100), now = seconds(99);
  boost::random::mt19937_64 dice;
  Settings settings;
  std::vector<std::unique_ptr<SlowStartBudget>> routers;
  std::vector<Time> sends;
  RequestId asked = 0;
};

}  // namespace

TEST_CASE("the parts of all routers never sum to more than a cold replica may get, and are used") {
  const auto count = GENERATE(1u, 2u, 4u, 7u, 16u, 30u, 100u, 300u);
  const auto quota = GENERATE(4.0, 40.0, 400.0);
  const auto seed = GENERATE(1u, 2u);
  CAPTURE(count, quota, seed);
  Group group(count, quota, seed);
  group.now = group.born;
  const bool in_turn =
      count <= SlowStartBudget::kMaxWindowsPerTurn *
                   group.routers[0]->allowed_sends({.id = 2, .started = group.born, .weight = 1}, 0);
  if (!in_turn) return;  // the next case
  double mean = 0;
  int windows = 0;
  while (group.now < group.born + group.settings.warm_up) {
    const std::size_t had = group.sends.size();
    const Time end = group.now + group.settings.overload_after;
    const double allowed = group.routers[0]->allowed_sends({.id = 2, .started = group.born, .weight = 1},
                                                           group.now - group.born);
    for (; group.now < end; group.now += kTick) {
      // All want to send, whatever they are allowed; the first has four times the traffic.
      for (std::uint32_t i = 0; i < count; ++i) {
        if (group.chance() < (i == 0 ? 1 : 0.25)) group.ask(i);
      }
    }
    if (end > group.born + group.settings.warm_up) break;
    mean += static_cast<double>(group.sends.size() - had) / std::max(1.0, allowed);
    ++windows;
  }
  group.check();
  // A ramp that sends nothing is no ramp: half of what comes round in turn, N of a window ago being a little
  // less than now.
  CHECK(mean / windows > 0.3);
}

// A twentieth of a request a window at each of 300 routers, as on a large day: half of what the replica may
// get.
TEST_CASE("in a group too large for turns the ramp is used, and skew, crowds and repeats add nothing") {
  const auto seed = GENERATE(1u, 2u, 3u);
  CAPTURE(seed);
  Group group(300, 40, seed);
  std::size_t wanted = 0;
  for (group.now = group.born; group.now < group.born + group.settings.warm_up; group.now += kTick) {
    const double allowed = group.routers[0]->allowed_sends({.id = 2, .started = group.born, .weight = 1},
                                                           group.now - group.born);
    const double mean = allowed / 2 * kTick / static_cast<double>(group.settings.overload_after) / 300;
    for (std::uint32_t i = 0; i < 300; ++i) {
      if (group.chance() >= (i < 10 ? 5 * mean : mean)) continue;
      ++wanted;
      for (int repeat = 0; repeat < 3; ++repeat) group.ask(i);
    }
  }
  group.check();
  CHECK(group.sends.size() > 0.75 * static_cast<double>(wanted));
}

TEST_CASE(
    "routers that die in a ramp and forget what they sent, and a start that is told anew, keep the bound") {
  const auto count = GENERATE(4u, 16u, 30u);
  const auto seed = GENERATE(1u, 2u);
  CAPTURE(count, seed);
  Group group(count, 40, seed);
  for (group.now = group.born; group.now < group.born + group.settings.warm_up; group.now += kTick) {
    if (group.now % kSecond == 0) {
      for (std::uint32_t i = 0; i < count; ++i) {
        if (group.chance() < 0.5) group.start(i);
      }
    }
    for (std::uint32_t i = 0; i < count; ++i) group.ask(i);
  }
  group.check();
}

TEST_CASE("nothing is limited for a replica that is warm, or where no quota says what it can do") {
  Group group(300, 40, 1);
  group.now = group.born + group.settings.warm_up;
  for (int i = 0; i < 100; ++i) CHECK(group.ask(5));
  Group open(300, 0, 1);
  open.now = open.born;
  for (int i = 0; i < 100; ++i) CHECK(open.ask(5));
}
