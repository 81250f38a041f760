// Attempts that a replica rejects because it is full, and the limit on attempts.
#include <gtest/gtest.h>

#include <set>

#include "support.hpp"

namespace thornwick::testing {
namespace {

TEST(ReplicaRejection, ARequestIsRetriedOnceAtTheAdjacentReplicaAndThenRejected) {
  PolicyFixture fixture;
  fixture.list_equal_replicas(3);
  const auto replica = sent_replica(fixture.arrive_with_size(100));
  const auto after_first = fixture.end_attempt(fixture.last.id, 0, replica, Outcome::full);
  const auto next = sent_replica(after_first);
  EXPECT_EQ(next, replica == 30 ? 20u : replica + 10);
  const auto after_second = fixture.end_attempt(fixture.last.id, 1, next, Outcome::full);
  EXPECT_TRUE(actions_of_kind(after_second, ActionKind::send).empty());
  EXPECT_EQ(actions_of_kind(after_second, ActionKind::reject).size(), 1u);
}

TEST(ReplicaRejection, DoesNotCountAsAFailureOfTheReplica) {
  PolicyFixture fixture;
  fixture.list_equal_replicas(2);
  for (int i = 0; i < 10; ++i) {
    const auto replica = sent_replica(fixture.arrive_with_size(100, 0));
    fixture.end_attempt(fixture.last.id, 0, replica, Outcome::full);
    fixture.router.on_client_disconnected(fixture.now, fixture.last.id);
  }
  std::set<ReplicaId> used_replicas;
  for (int i = 0; i < 20; ++i) {
    used_replicas.insert(
        sent_replica(fixture.arrive({.prompt_tokens = 100, .session = static_cast<std::uint64_t>(i + 1)})));
  }
  EXPECT_EQ(used_replicas.size(), 2u);
}

TEST(AttemptLimit, NoAttemptExceedsTheLimit) {
  auto settings = plain_settings();
  settings.max_attempts = 2;
  PolicyFixture fixture(settings);
  fixture.list_equal_replicas(6);
  auto replica = sent_replica(fixture.arrive_with_size(100));
  replica = sent_replica(fixture.end_attempt(fixture.last.id, 0, replica, Outcome::connect_failed));
  ASSERT_NE(replica, 0u);
  const auto actions = fixture.end_attempt(fixture.last.id, 1, replica, Outcome::connect_failed);
  EXPECT_EQ(sent_replica(actions), 0u);
  EXPECT_EQ(final_answer_count(actions), 1u);
}

}  // namespace
}  // namespace thornwick::testing
