// Cross-zone overflow: when requests are sent to replicas outside the zone of their router.
#include <gtest/gtest.h>

#include <map>

#include "support.hpp"

namespace thornwick::testing {
namespace {

TEST(Zones, SlowAnswersInTheZoneOfTheRouterCauseOverflow) {
  auto settings = plain_settings();
  settings.zone_count = 2;
  PolicyFixture fixture(settings);
  fixture.list({{.id = 1, .zone = 0}, {.id = 2, .zone = 1}});
  for (int i = 0; i < 12; ++i) {
    const auto replica =
        sent_replica(fixture.arrive({.prompt_tokens = 100, .session = static_cast<std::uint64_t>(i + 1)}));
    if (replica == 0) continue;
    fixture.advance(milliseconds(1'500));  // slow, not late
    fixture.serve(fixture.last.id, replica);
  }
  std::map<ReplicaId, int> sent_by_replica;
  for (int i = 0; i < 60; ++i) {
    const auto replica =
        sent_replica(fixture.arrive({.prompt_tokens = 100, .session = static_cast<std::uint64_t>(1000 + i)}));
    ++sent_by_replica[replica];
    fixture.serve(fixture.last.id, replica);
  }
  EXPECT_GT(sent_by_replica[2], 0);
  EXPECT_GT(sent_by_replica[1], 0);
}

TEST(Zones, AllRequestsOverflowIfTheZoneOfTheRouterIsLost) {
  auto settings = plain_settings();
  settings.zone_count = 2;
  PolicyFixture fixture(settings);
  fixture.list({{.id = 1, .zone = 0}, {.id = 2, .zone = 1}});
  fixture.list({{.id = 1, .state = EndpointState::removed}}, EndpointUpdate::delta);
  for (int i = 0; i < 10; ++i) EXPECT_EQ(sent_replica(fixture.arrive_with_size(100)), 2u);
}

TEST(Zones, MostRequestsOverflowWhileTheZoneOfTheRouterWarmsUp) {
  auto settings = plain_settings();
  settings.zone_count = 2;
  PolicyFixture fixture(settings);
  fixture.list({{.id = 1, .started_at = fixture.now - kSecond},
                {.id = 3, .started_at = fixture.now - kSecond},
                {.id = 2, .zone = 1}});
  int sent_to_local_zone = 0;
  for (int i = 0; i < 200; ++i) {
    const auto replica =
        sent_replica(fixture.arrive({.prompt_tokens = 100, .session = static_cast<std::uint64_t>(i + 1)}));
    sent_to_local_zone += replica != 2;
    fixture.serve(fixture.last.id, replica);
  }
  EXPECT_LT(sent_to_local_zone, 50);
}

TEST(Zones, WarmingUpReplicasTakeNoMoreThanTheirPresentCapacity) {
  auto settings = plain_settings();
  settings.zone_count = 2;
  settings.overload_multiple = 4;
  PolicyFixture fixture(settings);
  fixture.list({{.id = 1, .started_at = fixture.now - seconds(5)},
                {.id = 3, .started_at = fixture.now - seconds(5)},
                {.id = 2, .zone = 1}});
  int sent_to_local_zone = 0;
  for (int i = 0; i < 400; ++i) {
    const auto replica =
        sent_replica(fixture.arrive({.prompt_tokens = 100, .session = static_cast<std::uint64_t>(i + 1)}));
    sent_to_local_zone += replica != 2;
    fixture.serve(fixture.last.id, replica);
  }
  EXPECT_NEAR(sent_to_local_zone, 200,
              40);  // after half of the warm-up: half of the requests, not three quarters
}

}  // namespace
}  // namespace thornwick::testing
