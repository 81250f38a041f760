// Attempts that a replica rejects because it is full, and the limit on attempts.
#include <gtest/gtest.h>

#include <set>

#include "support.hpp"

namespace thornwick::testing {
namespace {

TEST(ReplicaRejection, IsRetriedOnceAtTheAdjacentReplicaAndThenRejected) {
  PolicyFixture fixture;
  fixture.list_equal_replicas(3);
  const auto to = sent_replica(fixture.arrive_with_size(100));
  const auto step = fixture.end_attempt(fixture.last.id, 0, to, Outcome::full);
  const auto next = sent_replica(step);
  EXPECT_EQ(next, to == 30 ? 20u : to + 10);
  const auto after = fixture.end_attempt(fixture.last.id, 1, next, Outcome::full);
  EXPECT_TRUE(actions_of_kind(after, ActionKind::send).empty());
  EXPECT_EQ(actions_of_kind(after, ActionKind::reject).size(), 1u);
}

TEST(ReplicaRejection, IsNoFailure) {
  PolicyFixture fixture;
  fixture.list_equal_replicas(2);
  for (int i = 0; i < 10; ++i) {
    const auto to = sent_replica(fixture.arrive_with_size(100, 0));
    fixture.end_attempt(fixture.last.id, 0, to, Outcome::full);
    fixture.router.on_client_disconnected(fixture.now, fixture.last.id);
  }
  std::set<ReplicaId> used_replicas;
  for (int i = 0; i < 20; ++i) {
    used_replicas.insert(
        sent_replica(fixture.arrive({.prompt_tokens = 100, .session = static_cast<std::uint64_t>(i + 1)})));
  }
  EXPECT_EQ(used_replicas.size(), 2u);
}

TEST(AttemptLimit, TheLimitHolds) {
  auto settings = plain_settings();
  settings.max_attempts = 2;
  PolicyFixture fixture(settings);
  fixture.list_equal_replicas(6);
  auto to = sent_replica(fixture.arrive_with_size(100));
  to = sent_replica(fixture.end_attempt(fixture.last.id, 0, to, Outcome::connect_failed));
  ASSERT_NE(to, 0u);
  const auto actions = fixture.end_attempt(fixture.last.id, 1, to, Outcome::connect_failed);
  EXPECT_EQ(sent_replica(actions), 0u);
  EXPECT_EQ(final_answer_count(actions), 1u);
}

}  // namespace
}  // namespace thornwick::testing
