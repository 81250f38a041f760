// The four rules for all decisions of the routing policy: no request is lost, no effect happens twice,
// draining replicas get no requests, and replicas that warm up are not overloaded.
#include <gtest/gtest.h>

#include <cmath>
#include <map>

#include "support.hpp"

namespace thornwick::testing {
namespace {

TEST(RuleNoRequestLost, ARequestAtAnUnresponsiveReplicaGetsOneFinalAnswerByItsDeadline) {
  PolicyFixture fixture;
  fixture.list_equal_replicas(2);
  auto actions = fixture.arrive_with_size(100);
  const auto id = fixture.last.id;
  const auto later = fixture.advance(fixture.last.deadline - fixture.now);
  actions.insert(actions.end(), later.begin(), later.end());
  EXPECT_EQ(final_answer_count(actions), 1u);
  EXPECT_EQ(final_answer_count(fixture.advance(seconds(20))), 0u);
  EXPECT_TRUE(actions_of_kind(fixture.end_attempt(id, 0, 10, Outcome::timed_out), ActionKind::send).empty());
}

TEST(RuleNoRequestLost, ARequestWaitsWhileTheEndpointListIsEmptyAndIsThenRejected) {
  PolicyFixture fixture;
  EXPECT_EQ(final_answer_count(fixture.arrive_with_size(100)), 0u);
  const auto actions = fixture.advance(seconds(8));
  EXPECT_EQ(final_answer_count(actions), 1u);
  EXPECT_TRUE(actions_of_kind(actions, ActionKind::send).empty());
}

TEST(RuleNoRequestLost, AWaitingRequestIsSentWhenAReplicaIsListed) {
  PolicyFixture fixture;
  fixture.arrive_with_size(100);
  fixture.list_equal_replicas(1);
  EXPECT_EQ(sent_replica(fixture.advance(kSecond)), 10u);
}

TEST(RuleNoRequestLost, ARequestThatArrivesAfterItsDeadlineGetsAFinalAnswer) {
  PolicyFixture fixture;
  fixture.list_equal_replicas(1);
  EXPECT_EQ(final_answer_count(fixture.arrive({.deadline = fixture.now, .prompt_tokens = 100})), 1u);
}

TEST(RuleNoRequestLost, NothingIsSentAfterTheClientHasDisconnected) {
  PolicyFixture fixture;
  fixture.list_equal_replicas(2);
  const auto replica = sent_replica(fixture.arrive_with_size(100));
  fixture.router.on_client_disconnected(fixture.now, fixture.last.id);
  EXPECT_TRUE(fixture.end_attempt(fixture.last.id, 0, replica, Outcome::connect_failed).empty());
  EXPECT_TRUE(fixture.advance(seconds(20)).empty());
}

TEST(RuleNoRequestLost, EventsOfUnknownRequestsAndReplicasAreIgnored) {
  PolicyFixture fixture;
  fixture.list_equal_replicas(2);
  fixture.end_attempt(999, 3, 10, Outcome::error);
  fixture.end_attempt(999, 0, 12345, Outcome::served, true);
  fixture.first_token(999, 0, 10);
  fixture.router.on_client_disconnected(fixture.now, 999);
  fixture.router.on_timer(fixture.now, 424242);
  fixture.router.on_probe_result(fixture.now, 12345, true, {});
  fixture.router.on_peer_message(fixture.now, 1, {});
  EXPECT_TRUE(fixture.take_actions().empty());
  const auto replica = sent_replica(fixture.arrive({.id = 5, .prompt_tokens = 10}));
  EXPECT_TRUE(actions_of_kind(fixture.arrive({.id = 5, .prompt_tokens = 10}), ActionKind::send)
                  .empty());  // the id is in use
  fixture.serve(5, replica);
}

// Settings with one class of requests with this effect.
Settings effect_settings(Effect effect, DedupScope scope = DedupScope::all) {
  auto settings = plain_settings();
  settings.classes[0].effect = effect;
  settings.classes[0].dedup_scope = scope;
  settings.classes[0].dedup_window = kSecond;
  return settings;
}

TEST(RuleNoEffectTwice, AnUnsafeRequestIsNeitherRetriedNorRejectedAfterAnError) {
  PolicyFixture fixture(effect_settings(Effect::unsafe));
  fixture.list_equal_replicas(3);
  fixture.fill_retry_budget();
  const auto replica = sent_replica(fixture.arrive_with_size(100));
  const auto actions = fixture.end_attempt(fixture.last.id, 0, replica, Outcome::error);
  EXPECT_TRUE(actions_of_kind(actions, ActionKind::send).empty());
  EXPECT_TRUE(actions_of_kind(actions, ActionKind::reject).empty());
  EXPECT_EQ(actions_of_kind(actions, ActionKind::fail).size(), 1u);
}

TEST(RuleNoEffectTwice, AnUnsafeRequestIsRetriedIfTheFirstAttemptCannotHaveRun) {
  PolicyFixture fixture(effect_settings(Effect::unsafe));
  fixture.list_equal_replicas(3);
  const auto replica = sent_replica(fixture.arrive_with_size(100));
  const auto actions = fixture.end_attempt(fixture.last.id, 0, replica, Outcome::connect_failed);
  ASSERT_EQ(actions_of_kind(actions, ActionKind::send).size(), 1u);
  EXPECT_NE(sent_replica(actions), replica);
}

TEST(RuleNoEffectTwice, AnUnsafeRequestIsNotHedgedWhileTheFirstAttemptIsUnanswered) {
  PolicyFixture fixture(effect_settings(Effect::unsafe));
  fixture.list_equal_replicas(3);
  fixture.arrive_with_size(100);
  const auto actions = fixture.advance(seconds(8));
  EXPECT_TRUE(actions_of_kind(actions, ActionKind::send).empty());
  EXPECT_TRUE(actions_of_kind(actions, ActionKind::reject).empty());
  EXPECT_EQ(actions_of_kind(actions, ActionKind::fail).size(), 1u);
}

TEST(RuleNoEffectTwice, AKeyedRequestIsRetriedOnlyWithinItsDeduplicationScope) {
  PolicyFixture fixture(effect_settings(Effect::keyed, DedupScope::cell));
  fixture.list({{.id = 1, .cell = 1}, {.id = 2, .cell = 2}, {.id = 3, .cell = 2}});
  std::map<ReplicaId, int> sends;
  for (int i = 0; i < 40; ++i) {
    const auto replica = sent_replica(fixture.arrive_with_size(100));
    fixture.advance(kSecond / 4);
    const auto again = fixture.end_attempt(fixture.last.id, 0, replica, Outcome::error);
    const auto second = sent_replica(again);
    EXPECT_TRUE(actions_of_kind(again, ActionKind::reject).empty());
    if (second != 0) {
      EXPECT_EQ(second == 1, replica == 1);
      fixture.serve(fixture.last.id, second, 1);
    }
    fixture.advance(seconds(20));
  }
}

TEST(RuleNoEffectTwice, AKeyedRequestIsNotRetriedAfterItsDeduplicationWindow) {
  PolicyFixture fixture(effect_settings(Effect::keyed));
  fixture.list_equal_replicas(3);
  for (int i = 0; i < 15; ++i)
    fixture.serve(fixture.last_id, sent_replica(fixture.arrive_with_size(100)));  // fills the retry budget
  const auto replica = sent_replica(fixture.arrive_with_size(100));
  fixture.advance(kSecond + 1);
  const auto actions = fixture.end_attempt(fixture.last.id, 0, replica, Outcome::error);
  EXPECT_TRUE(actions_of_kind(actions, ActionKind::send).empty());
  EXPECT_EQ(final_answer_count(actions), 1u);
}

TEST(RuleNoEffectTwice, ASecondAttemptIsSentInParallelOnlyIfHedgingIsAllowed) {
  auto settings = plain_settings();
  for (const bool allowed : {true, false}) {
    settings.hedging = allowed;
    PolicyFixture fixture(settings);
    fixture.list_equal_replicas(2);
    fixture.fill_retry_budget();
    std::size_t second_attempts = 0;
    for (int i = 0; i < 6; ++i) {
      fixture.arrive_with_size(100);
      second_attempts += actions_of_kind(fixture.advance(seconds(10)), ActionKind::send).size();
    }
    EXPECT_EQ(second_attempts > 0, allowed);
  }
}

TEST(RuleDrains, NoRequestIsSentToADrainingRemovedOrUnlistedReplica) {
  PolicyFixture fixture;
  fixture.list_equal_replicas(4);
  fixture.list({{.id = 10, .state = EndpointState::draining}, {.id = 20, .state = EndpointState::removed}},
               EndpointUpdate::delta);
  for (int i = 0; i < 20; ++i) EXPECT_GE(sent_replica(fixture.arrive_with_size(50 + 10 * i)), 30u);
  fixture.list({{.id = 40}});
  for (int i = 0; i < 20; ++i) EXPECT_EQ(sent_replica(fixture.arrive_with_size(50 + 10 * i)), 40u);
}

TEST(RuleDrains, ARetryIsNotSentToADrainingReplica) {
  PolicyFixture fixture;
  fixture.list_equal_replicas(2);
  const auto replica = sent_replica(fixture.arrive_with_size(100));
  const ReplicaId other = replica == 10 ? 20 : 10;
  fixture.list({{.id = other, .state = EndpointState::draining}}, EndpointUpdate::delta);
  EXPECT_TRUE(actions_of_kind(fixture.end_attempt(fixture.last.id, 0, replica, Outcome::connect_failed),
                              ActionKind::send)
                  .empty());
}

TEST(RuleWarmingUpReplicas, TheShareOfAWarmingUpReplicaRisesFromZero) {
  PolicyFixture fixture;
  const auto share_at = [&](Time age) {
    int sent_to_cold = 0;
    for (int i = 0; i < 400; ++i) {
      fixture.list({{.id = 10}, {.id = 20, .started_at = fixture.now - age}});
      const auto replica =
          sent_replica(fixture.arrive({.prompt_tokens = 100, .session = static_cast<std::uint64_t>(i + 1)}));
      sent_to_cold += replica == 20;
      fixture.serve(fixture.last.id, replica);
    }
    return sent_to_cold / 400.0;
  };
  EXPECT_LT(share_at(kSecond / 10), 0.05);
  const double early = share_at(seconds(2));
  const double late = share_at(seconds(8));
  EXPECT_GT(early, 0.05);
  EXPECT_LT(early, 0.25);
  EXPECT_GT(late, early);
  EXPECT_NEAR(share_at(seconds(11)), 0.5, 0.1);
}

TEST(RuleWarmingUpReplicas, MostRequestsAreRejectedAtFirstWhileAllReplicasWarmUp) {
  PolicyFixture fixture;
  fixture.list(
      {{.id = 10, .started_at = fixture.now - kSecond}, {.id = 20, .started_at = fixture.now - kSecond}});
  int sent = 0;
  for (int i = 0; i < 200; ++i) {
    const auto actions = fixture.arrive({.prompt_tokens = 100, .session = static_cast<std::uint64_t>(i + 1)});
    sent += sent_replica(actions) != 0;
    if (sent_replica(actions) != 0) fixture.serve(fixture.last.id, sent_replica(actions));
  }
  EXPECT_GT(sent, 2);
  EXPECT_LT(sent, 50);
}

// Guards against rejections by a hash of the session: some sessions would be rejected until the first replica
// has warmed up. Rejections are drawn at random for each request.
TEST(RuleWarmingUpReplicas, NoSessionIsAlwaysRejectedWhileAllReplicasWarmUp) {
  PolicyFixture fixture;
  fixture.list({{.id = 10, .started_at = fixture.now - seconds(3)},
                {.id = 20, .started_at = fixture.now - seconds(3)}});
  int never_served = 0;
  int sent = 0;
  for (std::uint64_t session = 1; session <= 50; ++session) {
    int served = 0;
    for (int turn = 0; turn < 20; ++turn) {
      const auto replica = sent_replica(fixture.arrive({.prompt_tokens = 100, .session = session}));
      served += replica != 0;
      if (replica != 0) fixture.serve(fixture.last.id, replica);
    }
    never_served += served == 0;
    sent += served;
  }
  EXPECT_LT(sent, 700);  // precondition: a large fraction of the 1000 requests is rejected
  EXPECT_LE(never_served, 2);
}

TEST(RuleWarmingUpReplicas, ARetryIsNeverSentToAWarmingUpReplica) {
  PolicyFixture fixture;
  fixture.list({{.id = 10}, {.id = 20, .started_at = fixture.now - 1}});
  for (int i = 0; i < 20; ++i) EXPECT_EQ(sent_replica(fixture.arrive_with_size(100)), 10u);
  EXPECT_TRUE(
      actions_of_kind(fixture.end_attempt(fixture.last.id, 0, 10, Outcome::full), ActionKind::send).empty());
}

TEST(RuleWarmingUpReplicas, AHeavyRequestIsNotSentToAWarmingUpReplica) {
  PolicyFixture fixture;
  fixture.list({{.id = 10}, {.id = 20, .started_at = fixture.now - seconds(3)}});
  int light = 0;
  int heavy = 0;
  for (std::uint64_t i = 1; i <= 400; ++i) {
    const bool is_heavy = i % 10 == 0;
    const auto replica = sent_replica(
        fixture.arrive({.prompt_tokens = 100, .work_hint = is_heavy ? 30'000.0 : 1000.0, .session = i}));
    if (i > 150) (is_heavy ? heavy : light) += replica == 20;  // by then the mean work is known
    fixture.serve(fixture.last.id, replica);
    fixture.advance(2'000);
  }
  EXPECT_GT(light, 20);
  EXPECT_EQ(heavy, 0);
}

TEST(RuleWarmingUpReplicas, ARequestThatItsClientRepeatsIsNotSentToAWarmingUpReplica) {
  PolicyFixture fixture;
  fixture.list({{.id = 10}, {.id = 20, .started_at = fixture.now - seconds(5)}});
  int first = 0;
  int again = 0;
  for (std::uint64_t i = 1; i <= 200; ++i) {
    const auto replica = sent_replica(fixture.arrive({.prompt_tokens = 100, .session = i}));
    first += replica == 20;
    fixture.serve(fixture.last.id, replica);
    const auto repeat =
        sent_replica(fixture.arrive({.prompt_tokens = 100, .session = i, .client_repeat = true}));
    again += repeat == 20;
    fixture.serve(fixture.last.id, repeat);
  }
  EXPECT_GT(first, 20);
  EXPECT_EQ(again, 0);
}

TEST(RuleWarmingUpReplicas, TheLiveWeightOfAWarmingUpReplicaIsLimitedToTheMeanOfWarmReplicas) {
  auto settings = plain_settings();
  settings.weight_source = WeightSource::live;
  PolicyFixture fixture(settings);
  // The overloaded replicas list a tenth of their capacity; the idle new replica lists its full capacity.
  fixture.list({{.id = 10, .weight = 0.1f},
                {.id = 20, .started_at = fixture.now - seconds(2)},
                {.id = 30, .weight = 0.1f}});
  int sent_to_cold = 0;
  for (std::uint64_t i = 1; i <= 200; ++i) {
    const auto replica = sent_replica(fixture.arrive({.prompt_tokens = 100, .session = i}));
    sent_to_cold += replica == 20;
    fixture.serve(fixture.last.id, replica);
  }
  EXPECT_LT(sent_to_cold, 40);  // its listed weight alone would give it half of them
}

}  // namespace
}  // namespace thornwick::testing
