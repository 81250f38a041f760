// Cross-zone overflow: when requests leave the zone of their router.
#include <gtest/gtest.h>

#include <map>

#include "support.hpp"

namespace thornwick::testing {
namespace {

TEST(Zones, SlowAnswersInTheOwnZoneCauseOverflow) {
  auto settings = plain_settings();
  settings.zone_count = 2;
  PolicyFixture fixture(settings);
  fixture.list({{.id = 1, .zone = 0}, {.id = 2, .zone = 1}});
  for (int i = 0; i < 12; ++i) {
    const auto to =
        sent_replica(fixture.arrive({.prompt_tokens = 100, .session = static_cast<std::uint64_t>(i + 1)}));
    if (to == 0) continue;
    fixture.advance(milliseconds(1'500));  // slow, not late
    fixture.serve(fixture.last.id, to);
  }
  std::map<ReplicaId, int> sent_by_replica;
  for (int i = 0; i < 60; ++i) {
    const auto to =
        sent_replica(fixture.arrive({.prompt_tokens = 100, .session = static_cast<std::uint64_t>(1000 + i)}));
    ++sent_by_replica[to];
    fixture.serve(fixture.last.id, to);
  }
  EXPECT_GT(sent_by_replica[2], 0);
  EXPECT_GT(sent_by_replica[1], 0);
}

TEST(Zones, ALostZoneCausesOverflowOfAllRequests) {
  auto settings = plain_settings();
  settings.zone_count = 2;
  PolicyFixture fixture(settings);
  fixture.list({{.id = 1, .zone = 0}, {.id = 2, .zone = 1}});
  fixture.list({{.id = 1, .state = EndpointState::removed}}, EndpointUpdate::delta);
  for (int i = 0; i < 10; ++i) EXPECT_EQ(sent_replica(fixture.arrive_with_size(100)), 2u);
}

TEST(Zones, AZoneThatRestartsIsFilledAsItWarmsUp) {
  auto settings = plain_settings();
  settings.zone_count = 2;
  PolicyFixture fixture(settings);
  fixture.list({{.id = 1, .started_at = fixture.now - kSecond},
                {.id = 3, .started_at = fixture.now - kSecond},
                {.id = 2, .zone = 1}});
  int sent_to_own_zone = 0;
  for (int i = 0; i < 200; ++i) {
    const auto to =
        sent_replica(fixture.arrive({.prompt_tokens = 100, .session = static_cast<std::uint64_t>(i + 1)}));
    sent_to_own_zone += to != 2;
    fixture.serve(fixture.last.id, to);
  }
  EXPECT_LT(sent_to_own_zone, 50);
}

TEST(Zones, WarmingUpReplicasAddNoCapacityBeyondTheirOwn) {
  auto settings = plain_settings();
  settings.zone_count = 2;
  settings.overload_multiple = 4;
  PolicyFixture fixture(settings);
  fixture.list({{.id = 1, .started_at = fixture.now - seconds(5)},
                {.id = 3, .started_at = fixture.now - seconds(5)},
                {.id = 2, .zone = 1}});
  int sent_to_own_zone = 0;
  for (int i = 0; i < 400; ++i) {
    const auto to =
        sent_replica(fixture.arrive({.prompt_tokens = 100, .session = static_cast<std::uint64_t>(i + 1)}));
    sent_to_own_zone += to != 2;
    fixture.serve(fixture.last.id, to);
  }
  EXPECT_NEAR(sent_to_own_zone, 200, 40);  // half warm: half of the usual, not three quarters
}

}  // namespace
}  // namespace thornwick::testing
