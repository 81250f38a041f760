// How the routing policy places requests in normal operation, and how far routers agree on the placement.
#include <gtest/gtest.h>

#include <cmath>
#include <map>

#include "support.hpp"

namespace thornwick::testing {
namespace {

TEST(Settings, InvalidSettingsAreRejected) {
  EXPECT_THROW(RoutingPolicy(Settings{}, 0), std::invalid_argument);
  auto settings = plain_settings();
  settings.zone = 3;
  EXPECT_THROW(RoutingPolicy(settings, 0), std::invalid_argument);
  settings = plain_settings();
  settings.initial_capacity = 1.5;
  EXPECT_THROW(RoutingPolicy(settings, 0), std::invalid_argument);
  settings = plain_settings();
  settings.max_attempts = 0;
  EXPECT_THROW(RoutingPolicy(settings, 0), std::invalid_argument);
  settings = plain_settings();
  settings.classes[0].latency_objective = 0;
  EXPECT_THROW(RoutingPolicy(settings, 0), std::invalid_argument);
  EXPECT_NO_THROW(RoutingPolicy(plain_settings(), 0));
}

TEST(Placement, PlacesRequestsAtRandomUntilEnoughSizesAreObserved) {
  PolicyFixture fixture;
  fixture.list_equal_replicas(4);
  std::set<ReplicaId> used_replicas;
  for (int i = 0; i < 12; ++i) used_replicas.insert(sent_replica(fixture.arrive_with_size(500)));
  EXPECT_GT(used_replicas.size(), 1u);
  EXPECT_FALSE(used_replicas.contains(0));
}

TEST(Placement, GivesEachReplicaAnIntervalOfSizesInIdOrder) {
  PolicyFixture fixture;
  fixture.list_equal_replicas(4);
  fixture.learn_sizes(200, 100, 4000);
  ReplicaId previous = 0;
  std::set<ReplicaId> used_replicas;
  for (double size = 150; size < 4000; size += 50) {
    const auto replica = sent_replica(fixture.arrive_with_size(size, 0));
    fixture.serve(fixture.last.id, replica);
    EXPECT_GE(replica, previous) << "size " << size;
    previous = replica;
    used_replicas.insert(replica);
  }
  EXPECT_EQ(used_replicas, (std::set<ReplicaId>{10, 20, 30, 40}));
}

TEST(Placement, DividesSizesByEqualWorkNotByEqualCounts) {
  PolicyFixture fixture;
  fixture.list_equal_replicas(2);
  fixture.learn_sizes(200, 0, 1000);
  // With sizes spread evenly over 0..1000, half of the work is below 1000 / sqrt(2).
  EXPECT_EQ(sent_replica(fixture.arrive_with_size(620, 0)), 10u);
  EXPECT_EQ(sent_replica(fixture.arrive_with_size(800, 0)), 20u);
}

TEST(Placement, UsesTheWorkHintAsWork) {
  PolicyFixture fixture;
  fixture.list_equal_replicas(2);
  for (int i = 0; i < 100; ++i) {  // the small requests are nine tenths of the work
    const auto sent =
        fixture.arrive({.prompt_tokens = i % 2 ? 100.0 + i : 1000.0 + i, .work_hint = i % 2 ? 9e4 : 1e4});
    fixture.serve(fixture.last.id, sent_replica(sent));
    fixture.advance(20'000);
  }
  EXPECT_EQ(sent_replica(fixture.arrive({.prompt_tokens = 1000, .work_hint = 1e4})), 20u);
  EXPECT_EQ(sent_replica(fixture.arrive({.prompt_tokens = 195, .work_hint = 9e4})), 20u);
  EXPECT_EQ(sent_replica(fixture.arrive({.prompt_tokens = 110, .work_hint = 9e4})), 10u);
}

TEST(Placement, GivesIntervalsInProportionToWeight) {
  auto settings = plain_settings();
  settings.weight_source = WeightSource::nominal;
  PolicyFixture fixture(settings);
  fixture.list({{.id = 1, .weight = 3}, {.id = 2, .weight = 1}});
  fixture.learn_sizes(200, 0, 1000);
  EXPECT_EQ(sent_replica(fixture.arrive_with_size(830, 0)), 1u);  // three quarters of the work are below 866
  EXPECT_EQ(sent_replica(fixture.arrive_with_size(910, 0)), 2u);
}

TEST(Placement, UsesTheNextHigherIntervalIfTheOwnerIsClearlyBusier) {
  PolicyFixture fixture;
  fixture.list_equal_replicas(3);
  fixture.learn_sizes(200, 0, 1000);
  std::map<ReplicaId, int> in_flight;
  for (int i = 0; i < 6; ++i) ++in_flight[sent_replica(fixture.arrive_with_size(100, 0))];
  EXPECT_GE(in_flight[10], 3);  // the owner of the interval with this size
  EXPECT_GE(in_flight[20], 1);  // the adjacent replica
  EXPECT_EQ(in_flight[30], 0);
}

TEST(Placement, UsesTheNextLowerIntervalIfTheOwnerOfTheTopIntervalIsClearlyBusier) {
  PolicyFixture fixture;
  fixture.list_equal_replicas(3);
  fixture.learn_sizes(200, 0, 1000);
  std::map<ReplicaId, int> in_flight;
  for (int i = 0; i < 6; ++i) ++in_flight[sent_replica(fixture.arrive_with_size(990, 0))];
  EXPECT_GE(in_flight[30], 3);
  EXPECT_GE(in_flight[20], 1);
  EXPECT_EQ(in_flight[10], 0);
}

TEST(Placement, KeepsASessionOnItsReplica) {
  PolicyFixture fixture;
  fixture.list_equal_replicas(8);
  fixture.learn_sizes(100, 900, 1100);
  for (std::uint64_t session = 1; session <= 20; ++session) {
    std::set<ReplicaId> used_replicas;
    for (int turn = 0; turn < 3; ++turn) {
      used_replicas.insert(
          sent_replica(fixture.arrive({.prompt_tokens = 950.0 + 20 * turn, .session = session})));
      fixture.serve(fixture.last.id, *used_replicas.begin());
      fixture.advance(kSecond / 2);
    }
    EXPECT_EQ(used_replicas.size(), 1u) << "session " << session;
  }
}

TEST(Placement, SpreadsAFrequentPrefixOverSeveralReplicas) {
  PolicyFixture fixture;
  fixture.list_equal_replicas(8);
  std::set<ReplicaId> used_replicas;
  for (std::uint64_t i = 1; i <= 200; ++i) {
    const auto replica = sent_replica(
        fixture.arrive({.prompt_tokens = 1000, .prefix_tokens = 900, .session = i, .prefix = 77}));
    fixture.serve(fixture.last.id, replica);
    fixture.advance(20'000);
    if (i > 100) used_replicas.insert(replica);
  }
  EXPECT_GE(used_replicas.size(), 4u);
}

TEST(Placement, StaysInTheZoneOfTheRouter) {
  auto settings = plain_settings();
  settings.zone_count = 2;
  settings.zone = 1;
  PolicyFixture fixture(settings);
  fixture.list({{.id = 1, .zone = 0}, {.id = 2, .zone = 1}, {.id = 3, .zone = 0}, {.id = 4, .zone = 1}});
  for (int i = 0; i < 30; ++i) {
    const auto replica = sent_replica(fixture.arrive_with_size(100 + i));
    EXPECT_EQ(replica % 2, 0u);
    fixture.serve(fixture.last.id, replica);
  }
}

// Guards against routers that use only the replicas of their zones: replicas in zones with little traffic
// would be idle while other zones reject requests.
TEST(Agreement, RoutersOfAllZonesDivideSizesOverTheSameReplicas) {
  std::map<ReplicaId, int> sent[2];
  for (std::uint16_t zone = 0; zone < 2; ++zone) {
    auto settings = plain_settings();
    settings.group_size = 2;
    settings.rank = zone;
    settings.zone = zone;
    settings.zone_count = 2;
    PolicyFixture fixture(settings);
    fixture.list({{.id = 1, .zone = 0}, {.id = 2, .zone = 1}, {.id = 3, .zone = 0}, {.id = 4, .zone = 1}});
    for (int i = 0; i < 200; ++i) {
      const auto replica = sent_replica(fixture.arrive_with_size(100 + i % 40));
      ++sent[zone][replica];
      fixture.serve(fixture.last.id, replica);
    }
    EXPECT_EQ(sent[zone].size(), 4u);
  }
}

TEST(Agreement, ManyRoutersWithFewSamplesDivideTheWorkEvenly) {
  constexpr int kRouters = 60;
  constexpr int kReplicas = 8;
  constexpr int kRequestsEach = 40;
  std::map<ReplicaId, double> work;
  double total = 0;
  std::uint64_t state = 12345;
  const auto draw = [&] {
    state = state * 6364136223846793005ULL + 1;
    return static_cast<double>(state >> 11) * 0x1p-53;
  };
  for (int router = 0; router < kRouters; ++router) {
    auto settings = plain_settings();
    settings.seed = static_cast<std::uint64_t>(router);
    PolicyFixture fixture(settings);
    fixture.list_equal_replicas(kReplicas);
    for (int i = 0; i < kRequestsEach; ++i) {
      const double size = 200 * std::pow(20.0, draw());
      const auto replica = sent_replica(fixture.arrive({.prompt_tokens = size, .session = state}));
      fixture.serve(fixture.last.id, replica);
      fixture.advance(kSecond);  // one request a second
      if (i < 20) continue;
      work[replica] += size;
      total += size;
    }
  }
  for (int i = 1; i <= kReplicas; ++i) {
    const double share = work[static_cast<ReplicaId>(10 * i)] / total * kReplicas;
    EXPECT_GT(share, 0.6) << "replica " << 10 * i;
    EXPECT_LT(share, 1.5) << "replica " << 10 * i;
  }
}

TEST(Determinism, EqualEventsGiveEqualActions) {
  PolicyFixture first;
  PolicyFixture second;
  for (auto* fixture : {&first, &second}) fixture->list_equal_replicas(5);
  for (int i = 0; i < 100; ++i) {
    const auto expected = first.arrive_with_size(100 + 7 * i);
    const auto actions = second.arrive_with_size(100 + 7 * i);
    ASSERT_EQ(sent_replica(expected), sent_replica(actions));
  }
}

}  // namespace
}  // namespace thornwick::testing
