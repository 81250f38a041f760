// Outlier ejection and speed factors: how the routing policy treats replicas that fail or are slow.
#include <gtest/gtest.h>

#include <map>
#include <set>

#include "support.hpp"

namespace thornwick::testing {
namespace {

// Delivers 40 requests. The replica `failing` fails each request that it gets; the other replicas answer.
// Returns the number of requests that the replica got before it was ejected.
int requests_until_ejected(PolicyFixture& fixture, ReplicaId failing, Outcome outcome) {
  int failures = 0;
  for (int i = 0; i < 40; ++i) {
    const auto replica = sent_replica(fixture.arrive_with_size(100, 0));
    if (replica == failing) {
      ++failures;
      fixture.end_attempt(fixture.last.id, 0, failing, outcome);
      fixture.router.on_client_disconnected(fixture.now, fixture.last.id);
    } else if (replica != 0) {
      fixture.serve(fixture.last.id, replica);
    }
  }
  return failures;
}

TEST(OutlierEjection, ErrorsEjectAReplicaWhoseShareThenRisesSlowly) {
  PolicyFixture fixture;
  fixture.list_equal_replicas(3);
  EXPECT_EQ(requests_until_ejected(fixture, 20, Outcome::error), 2);
  fixture.advance(seconds(2) + kSecond / 2);  // longer than the ejection of one latency objective
  std::map<ReplicaId, int> sent_by_replica;
  for (int i = 0; i < 60; ++i) {
    const auto replica =
        sent_replica(fixture.arrive({.prompt_tokens = 100, .session = static_cast<std::uint64_t>(i + 1)}));
    ++sent_by_replica[replica];
    if (replica != 20) fixture.serve(fixture.last.id, replica);
  }
  EXPECT_GT(sent_by_replica[20], 0);
  EXPECT_LT(sent_by_replica[20], 20);
}

// Any replica fails an answer at times. Ejecting the replica for that would overload the other ones.
TEST(OutlierEjection, SingleFailuresBetweenAnswersDoNotEjectAReplica) {
  for (const auto outcome : {Outcome::error, Outcome::reset, Outcome::connect_failed}) {
    PolicyFixture fixture;
    fixture.list_equal_replicas(1);
    for (int i = 0; i < 40; ++i) {
      ASSERT_EQ(sent_replica(fixture.arrive_with_size(100)), 10u);
      if (i % 2 == 0) {
        fixture.end_attempt(fixture.last.id, 0, 10, outcome);
        fixture.router.on_client_disconnected(fixture.now, fixture.last.id);
      } else {
        fixture.serve(fixture.last.id, 10);
      }
    }
  }
}

TEST(OutlierEjection, TwoFailedConnectionsEjectAReplica) {
  PolicyFixture fixture;
  fixture.list_equal_replicas(3);
  EXPECT_EQ(requests_until_ejected(fixture, 10, Outcome::connect_failed), 2);
}

TEST(OutlierEjection, AFailedAttemptIsRetriedAtAnotherReplica) {
  PolicyFixture fixture;
  fixture.list_equal_replicas(3);
  for (int i = 0; i < 12; ++i)
    fixture.serve(fixture.last_id, sent_replica(fixture.arrive_with_size(100)));  // fills the retry budget
  const auto replica = sent_replica(fixture.arrive_with_size(100));
  const auto again = sent_replica(fixture.end_attempt(fixture.last.id, 0, replica, Outcome::reset));
  EXPECT_NE(again, 0u);
  EXPECT_NE(again, replica);
}

TEST(OutlierEjection, RetriesAreALimitedFractionOfTheRequests) {
  PolicyFixture fixture;
  fixture.list_equal_replicas(6);
  int retries = 0;
  for (int i = 0; i < 200; ++i) {
    const auto replica = sent_replica(fixture.arrive_with_size(100));
    const bool fails = i % 2 == 0;  // half of the requests fail, at replicas that answer others in between
    const auto again =
        fails ? sent_replica(fixture.end_attempt(fixture.last.id, 0, replica, Outcome::error)) : 0;
    retries += again != 0;
    if (!fails || again != 0) fixture.serve(fixture.last.id, fails ? again : replica, fails ? 1 : 0);
    for (ReplicaId id = 10; id <= 60; id += 10) fixture.end_attempt(0, 0, id, Outcome::served, true);
  }
  EXPECT_GT(retries, 5);
  EXPECT_LE(retries, 25);
}

TEST(OutlierEjection, NeverEjectsAllReplicas) {
  PolicyFixture fixture;
  fixture.list_equal_replicas(3);
  for (int i = 0; i < 60; ++i) {
    const auto replica = sent_replica(fixture.arrive_with_size(100));
    ASSERT_NE(replica, 0u);
    fixture.end_attempt(fixture.last.id, 0, replica, Outcome::error);
    fixture.router.on_client_disconnected(fixture.now, fixture.last.id);
  }
}

TEST(OutlierEjection, AnUnresponsiveReplicaLosesItsShare) {
  PolicyFixture fixture;
  fixture.list_equal_replicas(4);
  int sent_to_unresponsive = 0;
  for (int i = 0; i < 80; ++i) {
    const auto replica =
        sent_replica(fixture.arrive({.prompt_tokens = 100, .session = static_cast<std::uint64_t>(i + 1)}));
    if (i >= 40) sent_to_unresponsive += replica == 20;
    if (replica != 20) fixture.serve(fixture.last.id, replica);
    fixture.advance(kSecond / 4);
  }
  EXPECT_LE(sent_to_unresponsive, 6);  // 10 of 40 without ejection
}

TEST(OutlierEjection, AnUnansweredRequestDoesNotCountAsAFailureIfTheReplicaAnswersOthers) {
  PolicyFixture fixture;
  fixture.list_equal_replicas(1);
  const auto slow = fixture.arrive_with_size(100);
  for (int i = 0; i < 4; ++i) {
    const auto replica = sent_replica(fixture.arrive_with_size(100));
    fixture.serve(fixture.last.id, replica);
    fixture.advance(kSecond / 2);
  }
  EXPECT_EQ(sent_replica(fixture.arrive_with_size(100)), 10u);
}

TEST(OutlierEjection, ANewReplicaWithAUsedIdDoesNotInheritFailures) {
  PolicyFixture fixture;
  fixture.list_equal_replicas(2);
  requests_until_ejected(fixture, 10, Outcome::connect_failed);
  fixture.list({{.id = 20}});
  fixture.list_equal_replicas(2);
  int sent_to_first = 0;
  for (int i = 0; i < 30; ++i) sent_to_first += sent_replica(fixture.arrive_with_size(100 + 50 * i)) == 10;
  EXPECT_GT(sent_to_first, 0);
}

TEST(OutlierEjection, ARequestInFlightAtARemovedReplicaGetsItsFinalAnswer) {
  PolicyFixture fixture;
  fixture.list_equal_replicas(1);
  const auto replica = sent_replica(fixture.arrive_with_size(100));
  fixture.list({});
  EXPECT_FALSE(fixture.end_attempt(fixture.last.id, 0, replica, Outcome::reset).empty());  // its final answer
  fixture.list({});
}

TEST(OutlierEjection, ASlowReplicaGetsFewerRequestsThanOthersOfItsKind) {
  PolicyFixture fixture;
  fixture.list_equal_replicas(4);
  std::map<ReplicaId, int> sent_by_replica;
  for (int i = 0; i < 400; ++i) {
    const auto replica =
        sent_replica(fixture.arrive({.prompt_tokens = 100, .session = static_cast<std::uint64_t>(i + 1)}));
    if (i >= 200) ++sent_by_replica[replica];
    if (replica == 20) fixture.advance(kSecond + kSecond / 2);  // slow, but not late
    if (replica != 0) fixture.serve(fixture.last.id, replica);
  }
  EXPECT_GT(sent_by_replica[20], 0);
  EXPECT_LT(6 * sent_by_replica[20], sent_by_replica[10] + sent_by_replica[30] +
                                         sent_by_replica[40]);  // under half of the others' mean
}

TEST(OutlierEjection, ARestartOfAReplicaClearsItsFailures) {
  PolicyFixture fixture;
  fixture.list_equal_replicas(2);
  requests_until_ejected(fixture, 10, Outcome::connect_failed);
  fixture.list({{.id = 10, .started_at = fixture.now - seconds(20)}}, EndpointUpdate::delta);
  std::set<ReplicaId> used_replicas;
  for (int i = 0; i < 20; ++i) {
    used_replicas.insert(
        sent_replica(fixture.arrive({.prompt_tokens = 100, .session = static_cast<std::uint64_t>(i + 1)})));
  }
  EXPECT_TRUE(used_replicas.contains(10));
}

TEST(OutlierEjection, ASlowKindOfReplicasGetsFewerRequests) {
  PolicyFixture fixture;
  fixture.list({{.id = 10, .kind = 0}, {.id = 20, .kind = 1}, {.id = 30, .kind = 0}, {.id = 40, .kind = 1}});
  int sent_to_slow = 0;
  constexpr int kRequests = 300;
  for (int i = 0; i < 2 * kRequests; ++i) {
    const auto replica =
        sent_replica(fixture.arrive({.prompt_tokens = 100, .session = static_cast<std::uint64_t>(i + 1)}));
    const bool slow = replica == 20 || replica == 40;
    fixture.advance(slow ? milliseconds(1'500)
                         : milliseconds(100));  // slow, but within the latency objective of two seconds
    fixture.serve(fixture.last.id, replica);
    if (i >= kRequests) sent_to_slow += slow;
  }
  EXPECT_GT(sent_to_slow, 0);
  EXPECT_LT(sent_to_slow, kRequests * 35 / 100);  // half of them if the policy did not distinguish kinds
}

}  // namespace
}  // namespace thornwick::testing
