// When the routing policy subscribes to the endpoint list, and what it does while discovery fails.
#include <gtest/gtest.h>

#include <memory>
#include <numeric>
#include <set>
#include <utility>
#include <vector>

#include "support.hpp"

namespace thornwick::testing {
namespace {

// Settings of a router that must call discovery for the endpoint list.
Settings polling_settings() {
  auto settings = plain_settings();
  settings.discovery_by_polling = true;
  return settings;
}

TEST(Discovery, IsCalledOnceSoonAfterTheStart) {
  PolicyFixture fixture(polling_settings());
  EXPECT_EQ(actions_of_kind(fixture.advance(seconds(2)), ActionKind::watch_endpoints).size(), 1u);
  fixture.list_equal_replicas(2);
  EXPECT_TRUE(actions_of_kind(fixture.advance(seconds(60)), ActionKind::watch_endpoints).empty());
}

TEST(Discovery, FailedCallsAreRepeatedWithBackoff) {
  PolicyFixture fixture(polling_settings());
  fixture.advance(seconds(2));
  Time previous_pause = 0;
  for (int i = 0; i < 4; ++i) {
    fixture.list({}, EndpointUpdate::failed);
    const Time from = fixture.now;
    while (actions_of_kind(fixture.advance(10'000), ActionKind::watch_endpoints).empty())
      ASSERT_LT(fixture.now - from, seconds(10));
    if (i % 3 == 0) {
      EXPECT_GT(fixture.now - from, previous_pause);
      previous_pause = fixture.now - from;
    }
  }
}

// A call of discovery in progress.
struct PendingCall {
  Time ends_at = 0;
  bool fails = false;
  std::uint32_t router = 0;
};

// Simulates a discovery server that handles the calls of all routers one after another, 20 per second. A call
// that has waited for 2 s fails, but the server handles it nevertheless. The first `restarted` routers
// restart after 10 s. Returns the number of calls that failed in each second.
std::vector<int> failed_calls(std::uint32_t routers, std::uint32_t restarted, int duration_s) {
  auto settings = polling_settings();
  settings.group_size = routers;
  std::vector<std::unique_ptr<PolicyFixture>> fixtures(routers);
  std::vector<PendingCall> pending;
  std::vector<int> failed(static_cast<std::size_t>(duration_s));
  const Time start = seconds(1000);
  const Time tick = milliseconds(10);
  constexpr Time kMaxWait = seconds(2);
  Time free_at = start;
  const auto start_router = [&](std::uint32_t router, Time now) {
    settings.seed = 1000 + router + static_cast<std::uint64_t>(now);
    std::erase_if(pending, [&](const PendingCall& call) { return call.router == router; });
    fixtures[router] = std::make_unique<PolicyFixture>(settings, now);
  };
  for (std::uint32_t router = 0; router < routers; ++router) start_router(router, start);
  for (Time now = start; now < start + seconds(duration_s); now += tick) {
    if (now == start + seconds(10)) {
      for (std::uint32_t router = 0; router < restarted; ++router) start_router(router, now);
    }
    for (const PendingCall& call : std::exchange(pending, {})) {
      if (call.ends_at > now) {
        pending.push_back(call);
        continue;
      }
      fixtures[call.router]->now = now;
      if (call.fails) ++failed[static_cast<std::size_t>((now - start) / kSecond)];
      fixtures[call.router]->list({}, call.fails ? EndpointUpdate::failed : EndpointUpdate::delta);
    }
    for (std::uint32_t router = 0; router < routers; ++router) {
      const auto actions = fixtures[router]->advance(now - fixtures[router]->now);
      if (actions_of_kind(actions, ActionKind::watch_endpoints).empty()) continue;
      free_at = std::max(free_at, now) + kSecond / 20;
      const Time wait = std::min(free_at - now, kMaxWait);
      pending.push_back({.ends_at = now + wait, .fails = wait == kMaxWait, .router = router});
    }
  }
  return failed;
}

// Guards against routers that call at the same moment: a hundred calls would keep the server's queue full,
// because failed calls are repeated.
TEST(Discovery, NoCallOfAHundredRoutersFailsWhenSeventyRestartAtOnce) {
  const auto failed = failed_calls(100, 70, 30);
  EXPECT_EQ(std::accumulate(failed.begin(), failed.end(), 0), 0);
}

TEST(Discovery, ASingleRouterCallsWithinASecond) {
  PolicyFixture fixture(polling_settings());
  EXPECT_EQ(actions_of_kind(fixture.advance(kSecond), ActionKind::watch_endpoints).size(), 1u);
}

TEST(Discovery, RoutersThatStartTogetherSpreadTheirFirstCalls) {
  std::set<Time> first_calls;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    auto settings = polling_settings();
    settings.seed = seed;
    PolicyFixture fixture(settings);
    while (actions_of_kind(fixture.advance(1'000), ActionKind::watch_endpoints).empty())
      ASSERT_LT(fixture.now, seconds(1010));
    first_calls.insert(fixture.now);
  }
  EXPECT_GT(first_calls.size(), 10u);
}

TEST(Discovery, AFailedCallKeepsTheEndpointList) {
  PolicyFixture fixture(polling_settings());
  fixture.list_equal_replicas(2);
  fixture.list({}, EndpointUpdate::failed);
  EXPECT_NE(sent_replica(fixture.arrive_with_size(100)), 0u);
}

TEST(Discovery, ACachedListIsUsedAndCallsContinue) {
  PolicyFixture fixture(polling_settings());
  fixture.list({{.id = 10}}, EndpointUpdate::cached);
  EXPECT_EQ(sent_replica(fixture.arrive_with_size(100)), 10u);
  EXPECT_FALSE(actions_of_kind(fixture.advance(seconds(2)), ActionKind::watch_endpoints).empty());
}

}  // namespace
}  // namespace thornwick::testing
