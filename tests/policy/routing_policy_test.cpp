// The ordinary path and the four rules, on the module alone.
#include <gtest/gtest.h>

#include <cmath>
#include <map>

#include "support.hpp"

namespace thornwick::testing {
namespace {

TEST(Settings, ThatMakeNoSenseAreRejected) {
  EXPECT_THROW(RoutingPolicy(Settings{}, 0), std::invalid_argument);
  auto s = plain_settings();
  s.zone = 3;
  EXPECT_THROW(RoutingPolicy(s, 0), std::invalid_argument);
  s = plain_settings();
  s.initial_capacity = 1.5;
  EXPECT_THROW(RoutingPolicy(s, 0), std::invalid_argument);
  s = plain_settings();
  s.max_attempts = 0;
  EXPECT_THROW(RoutingPolicy(s, 0), std::invalid_argument);
  s = plain_settings();
  s.classes[0].latency_objective = 0;
  EXPECT_THROW(RoutingPolicy(s, 0), std::invalid_argument);
  EXPECT_NO_THROW(RoutingPolicy(plain_settings(), 0));
}

TEST(OrdinaryPath, IsRandomUntilEnoughSizesAreSeen) {
  Fixture f;
  f.list_plain(4);
  std::set<ReplicaId> met;
  for (int i = 0; i < 12; ++i) met.insert(sent_to(f.arrive_sized(500)));
  EXPECT_GT(met.size(), 1u);
  EXPECT_FALSE(met.contains(0));
}

TEST(OrdinaryPath, GivesEachReplicaAnIntervalOfSizesInIdOrder) {
  Fixture f;
  f.list_plain(4);
  f.learn_sizes(200, 100, 4000);
  ReplicaId before = 0;
  std::set<ReplicaId> met;
  for (double size = 150; size < 4000; size += 50) {
    const auto to = sent_to(f.arrive_sized(size, 0));
    f.serve(f.last.id, to);
    EXPECT_GE(to, before) << "size " << size;
    before = to;
    met.insert(to);
  }
  EXPECT_EQ(met, (std::set<ReplicaId>{10, 20, 30, 40}));
}

TEST(OrdinaryPath, CutsEqualWorkNotEqualCounts) {
  Fixture f;
  f.list_plain(2);
  f.learn_sizes(200, 0, 1000);
  // Half of the work of sizes even over 0..1000 is below 1000 / sqrt(2).
  EXPECT_EQ(sent_to(f.arrive_sized(620, 0)), 10u);
  EXPECT_EQ(sent_to(f.arrive_sized(800, 0)), 20u);
}

TEST(OrdinaryPath, UsesTheCostHintAsWork) {
  Fixture f;
  f.list_plain(2);
  for (int i = 0; i < 100; ++i) {  // small requests carry nine tenths of the work
    const auto sent =
        f.arrive({.prompt_tokens = i % 2 ? 100.0 + i : 1000.0 + i, .work_hint = i % 2 ? 9e4 : 1e4});
    f.serve(f.last.id, sent_to(sent));
    f.advance(20'000);
  }
  EXPECT_EQ(sent_to(f.arrive({.prompt_tokens = 1000, .work_hint = 1e4})), 20u);
  EXPECT_EQ(sent_to(f.arrive({.prompt_tokens = 195, .work_hint = 9e4})), 20u);
  EXPECT_EQ(sent_to(f.arrive({.prompt_tokens = 110, .work_hint = 9e4})), 10u);
}

TEST(OrdinaryPath, GivesIntervalsInProportionToWeight) {
  auto s = plain_settings();
  s.weights = WeightSource::nominal;
  Fixture f(s);
  f.list({{.id = 1, .weight = 3}, {.id = 2, .weight = 1}});
  f.learn_sizes(200, 0, 1000);
  EXPECT_EQ(sent_to(f.arrive_sized(830, 0)), 1u);  // three quarters of the work are below 866
  EXPECT_EQ(sent_to(f.arrive_sized(910, 0)), 2u);
}

TEST(OrdinaryPath, StepsToTheNextHigherWhenTheOwnerIsClearlyBusier) {
  Fixture f;
  f.list_plain(3);
  f.learn_sizes(200, 0, 1000);
  std::map<ReplicaId, int> held;
  for (int i = 0; i < 6; ++i) ++held[sent_to(f.arrive_sized(100, 0))];
  EXPECT_GE(held[10], 3);  // the owner by size
  EXPECT_GE(held[20], 1);  // the adjacent one
  EXPECT_EQ(held[30], 0);
}

TEST(OrdinaryPath, TheTopIntervalStepsToTheNextLower) {
  Fixture f;
  f.list_plain(3);
  f.learn_sizes(200, 0, 1000);
  std::map<ReplicaId, int> held;
  for (int i = 0; i < 6; ++i) ++held[sent_to(f.arrive_sized(990, 0))];
  EXPECT_GE(held[30], 3);
  EXPECT_GE(held[20], 1);
  EXPECT_EQ(held[10], 0);
}

TEST(OrdinaryPath, KeepsASessionOnItsReplica) {
  Fixture f;
  f.list_plain(8);
  f.learn_sizes(100, 900, 1100);
  for (std::uint64_t session = 1; session <= 20; ++session) {
    std::set<ReplicaId> met;
    for (int turn = 0; turn < 3; ++turn) {
      met.insert(sent_to(f.arrive({.prompt_tokens = 950.0 + 20 * turn, .session = session})));
      f.serve(f.last.id, *met.begin());
      f.advance(kSecond / 2);
    }
    EXPECT_EQ(met.size(), 1u) << "session " << session;
  }
}

TEST(OrdinaryPath, SpreadsAHotPrefixOverSeveralReplicas) {
  Fixture f;
  f.list_plain(8);
  std::set<ReplicaId> met;
  for (std::uint64_t i = 1; i <= 200; ++i) {
    const auto to =
        sent_to(f.arrive({.prompt_tokens = 1000, .prefix_tokens = 900, .session = i, .prefix = 77}));
    f.serve(f.last.id, to);
    f.advance(20'000);
    if (i > 100) met.insert(to);
  }
  EXPECT_GE(met.size(), 4u);
}

TEST(OrdinaryPath, StaysInTheOwnZone) {
  auto s = plain_settings();
  s.zone_count = 2;
  s.zone = 1;
  Fixture f(s);
  f.list({{.id = 1, .zone = 0}, {.id = 2, .zone = 1}, {.id = 3, .zone = 0}, {.id = 4, .zone = 1}});
  for (int i = 0; i < 30; ++i) {
    const auto to = sent_to(f.arrive_sized(100 + i));
    EXPECT_EQ(to % 2, 0u);
    f.serve(f.last.id, to);
  }
}

// Routers that kept to their own zones once left the replicas of quiet zones idle while others rejected.
TEST(Agreement, RoutersOfAllZonesCutOverTheSameReplicas) {
  std::map<ReplicaId, int> sent[2];
  for (std::uint16_t zone = 0; zone < 2; ++zone) {
    auto s = plain_settings();
    s.group_size = 2;
    s.rank = s.zone = zone;
    s.zone_count = 2;
    Fixture f(s);
    f.list({{.id = 1, .zone = 0}, {.id = 2, .zone = 1}, {.id = 3, .zone = 0}, {.id = 4, .zone = 1}});
    for (int i = 0; i < 200; ++i) {
      const auto to = sent_to(f.arrive_sized(100 + i % 40));
      ++sent[zone][to];
      f.serve(f.last.id, to);
    }
    EXPECT_EQ(sent[zone].size(), 4u);
  }
}

TEST(Agreement, ManyRoutersWithFewSamplesShareTheWorkEvenly) {
  constexpr int kRouters = 60, kReplicas = 8, kEach = 40;
  std::map<ReplicaId, double> work;
  double total = 0;
  std::uint64_t state = 12345;
  const auto draw = [&] {
    return static_cast<double>((state = state * 6364136223846793005ULL + 1) >> 11) * 0x1p-53;
  };
  for (int r = 0; r < kRouters; ++r) {
    auto s = plain_settings();
    s.seed = static_cast<std::uint64_t>(r);
    Fixture f(s);
    f.list_plain(kReplicas);
    for (int i = 0; i < kEach; ++i) {
      const double size = 200 * std::pow(20.0, draw());
      const auto to = sent_to(f.arrive({.prompt_tokens = size, .session = state}));
      f.serve(f.last.id, to);
      f.advance(kSecond);  // a router that sees one request a second
      if (i < 20) continue;
      work[to] += size;
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
  Fixture a, b;
  for (auto* f : {&a, &b}) f->list_plain(5);
  for (int i = 0; i < 100; ++i) {
    const auto x = a.arrive_sized(100 + 7 * i), y = b.arrive_sized(100 + 7 * i);
    ASSERT_EQ(sent_to(x), sent_to(y));
  }
}

// ---------------------------------------------------------------- rule 1: no request lost

TEST(RuleNoRequestLost, ASilentReplicaStillYieldsOneFinalAnswerBeforeDue) {
  Fixture f;
  f.list_plain(2);
  auto actions = f.arrive_sized(100);
  const auto id = f.last.id;
  const auto later = f.advance(f.last.due - f.now);
  actions.insert(actions.end(), later.begin(), later.end());
  EXPECT_EQ(finals(actions), 1u);
  EXPECT_EQ(finals(f.advance(seconds(20))), 0u);
  EXPECT_TRUE(only(f.result(id, 0, 10, Outcome::timed_out), ActionKind::send).empty());
}

TEST(RuleNoRequestLost, WithAnEmptyListTheRequestWaitsAndIsThenRefused) {
  Fixture f;
  EXPECT_EQ(finals(f.arrive_sized(100)), 0u);
  const auto actions = f.advance(seconds(8));
  EXPECT_EQ(finals(actions), 1u);
  EXPECT_TRUE(only(actions, ActionKind::send).empty());
}

TEST(RuleNoRequestLost, AHeldRequestGoesOutWhenAReplicaAppears) {
  Fixture f;
  f.arrive_sized(100);
  f.list_plain(1);
  EXPECT_EQ(sent_to(f.advance(kSecond)), 10u);
}

TEST(RuleNoRequestLost, ARequestThatArrivesPastItsDueIsAnswered) {
  Fixture f;
  f.list_plain(1);
  EXPECT_EQ(finals(f.arrive({.due = f.now, .prompt_tokens = 100})), 1u);
}

TEST(RuleNoRequestLost, NothingIsSentAfterTheClientLeft) {
  Fixture f;
  f.list_plain(2);
  const auto to = sent_to(f.arrive_sized(100));
  f.router.on_client_gone(f.now, f.last.id);
  EXPECT_TRUE(f.result(f.last.id, 0, to, Outcome::connect_failed).empty());
  EXPECT_TRUE(f.advance(seconds(20)).empty());
}

TEST(RuleNoRequestLost, OddButLegalEventsArePassedOver) {
  Fixture f;
  f.list_plain(2);
  f.result(999, 3, 10, Outcome::error);
  f.result(999, 0, 12345, Outcome::served, true);
  f.first_token(999, 0, 10);
  f.router.on_client_gone(f.now, 999);
  f.router.on_timer(f.now, 424242);
  f.router.on_probe_result(f.now, 12345, true, {});
  f.router.on_peer_message(f.now, 1, {});
  EXPECT_TRUE(f.absorb().empty());
  const auto to = sent_to(f.arrive({.id = 5, .prompt_tokens = 10}));
  EXPECT_TRUE(only(f.arrive({.id = 5, .prompt_tokens = 10}), ActionKind::send).empty());  // never twice
  f.serve(5, to);
}

// ---------------------------------------------------------------- rule 2: no effect twice

Settings effect_settings(Effect effect, DedupScope scope = DedupScope::all) {
  auto s = plain_settings();
  s.classes[0].effect = effect;
  s.classes[0].dedup_scope = scope;
  s.classes[0].dedup_window = kSecond;
  return s;
}

TEST(RuleNoEffectTwice, UnsafeIsNotRetriedNorRefusedAfterAnError) {
  Fixture f(effect_settings(Effect::unsafe));
  f.list_plain(3);
  f.earn_second_attempts();
  const auto to = sent_to(f.arrive_sized(100));
  const auto actions = f.result(f.last.id, 0, to, Outcome::error);
  EXPECT_TRUE(only(actions, ActionKind::send).empty());
  EXPECT_TRUE(only(actions, ActionKind::reject).empty());
  EXPECT_EQ(only(actions, ActionKind::fail).size(), 1u);
}

TEST(RuleNoEffectTwice, UnsafeIsRetriedWhereTheFirstAttemptProvablyNeverRan) {
  Fixture f(effect_settings(Effect::unsafe));
  f.list_plain(3);
  const auto to = sent_to(f.arrive_sized(100));
  const auto actions = f.result(f.last.id, 0, to, Outcome::connect_failed);
  ASSERT_EQ(only(actions, ActionKind::send).size(), 1u);
  EXPECT_NE(sent_to(actions), to);
}

TEST(RuleNoEffectTwice, UnsafeGetsNoSecondCopyWhileTheFirstIsSilent) {
  Fixture f(effect_settings(Effect::unsafe));
  f.list_plain(3);
  f.arrive_sized(100);
  const auto actions = f.advance(seconds(8));
  EXPECT_TRUE(only(actions, ActionKind::send).empty());
  EXPECT_TRUE(only(actions, ActionKind::reject).empty());
  EXPECT_EQ(only(actions, ActionKind::fail).size(), 1u);
}

TEST(RuleNoEffectTwice, KeyedIsResentOnlyInItsGroup) {
  Fixture f(effect_settings(Effect::keyed, DedupScope::cell));
  f.list({{.id = 1, .cell = 1}, {.id = 2, .cell = 2}, {.id = 3, .cell = 2}});
  std::map<ReplicaId, int> sends;
  for (int i = 0; i < 40; ++i) {
    const auto to = sent_to(f.arrive_sized(100));
    f.advance(kSecond / 4);
    const auto again = f.result(f.last.id, 0, to, Outcome::error);
    const auto second = sent_to(again);
    EXPECT_TRUE(only(again, ActionKind::reject).empty());
    if (second != 0) {
      EXPECT_EQ(second == 1, to == 1);
      f.serve(f.last.id, second, 1);
    }
    f.advance(seconds(20));
  }
}

TEST(RuleNoEffectTwice, KeyedIsNotResentPastItsWindow) {
  Fixture f(effect_settings(Effect::keyed));
  f.list_plain(3);
  for (int i = 0; i < 15; ++i) f.serve(f.last_id, sent_to(f.arrive_sized(100)));  // earns a second attempt
  const auto to = sent_to(f.arrive_sized(100));
  f.advance(kSecond + 1);
  const auto actions = f.result(f.last.id, 0, to, Outcome::error);
  EXPECT_TRUE(only(actions, ActionKind::send).empty());
  EXPECT_EQ(finals(actions), 1u);
}

TEST(RuleNoEffectTwice, NoTwoAttemptsAtOnceWhereCopiesAreForbidden) {
  auto s = plain_settings();
  for (const bool allowed : {true, false}) {
    s.hedging = allowed;
    Fixture f(s);
    f.list_plain(2);
    f.earn_second_attempts();
    std::size_t copies = 0;
    for (int i = 0; i < 6; ++i) {
      f.arrive_sized(100);
      copies += only(f.advance(seconds(10)), ActionKind::send).size();
    }
    EXPECT_EQ(copies > 0, allowed);
  }
}

// ---------------------------------------------------------------- rule 3: drains

TEST(RuleDrains, NothingGoesToADrainingGoneOrOmittedReplica) {
  Fixture f;
  f.list_plain(4);
  f.list({{.id = 10, .state = EndpointState::draining}, {.id = 20, .state = EndpointState::gone}},
         EndpointUpdate::delta);
  for (int i = 0; i < 20; ++i) EXPECT_GE(sent_to(f.arrive_sized(50 + 10 * i)), 30u);
  f.list({{.id = 40}});
  for (int i = 0; i < 20; ++i) EXPECT_EQ(sent_to(f.arrive_sized(50 + 10 * i)), 40u);
}

TEST(RuleDrains, ASecondAttemptDoesNotGoToADrainingReplica) {
  Fixture f;
  f.list_plain(2);
  const auto to = sent_to(f.arrive_sized(100));
  const ReplicaId other = to == 10 ? 20 : 10;
  f.list({{.id = other, .state = EndpointState::draining}}, EndpointUpdate::delta);
  EXPECT_TRUE(only(f.result(f.last.id, 0, to, Outcome::connect_failed), ActionKind::send).empty());
}

// ---------------------------------------------------------------- rule 4: cold replicas

TEST(RuleColdReplicas, ANewcomersShareRisesFromZero) {
  Fixture f;
  const auto share_at = [&](Time age) {
    int to_newcomer = 0;
    for (int i = 0; i < 400; ++i) {
      f.list({{.id = 10}, {.id = 20, .started = f.now - age}});
      const auto to = sent_to(f.arrive({.prompt_tokens = 100, .session = static_cast<std::uint64_t>(i + 1)}));
      to_newcomer += to == 20;
      f.serve(f.last.id, to);
    }
    return to_newcomer / 400.0;
  };
  EXPECT_LT(share_at(kSecond / 10), 0.05);
  const double early = share_at(seconds(2)), late = share_at(seconds(8));
  EXPECT_GT(early, 0.05);
  EXPECT_LT(early, 0.25);
  EXPECT_GT(late, early);
  EXPECT_NEAR(share_at(seconds(11)), 0.5, 0.1);
}

TEST(RuleColdReplicas, WhenAllAreColdMostIsRefusedAtFirst) {
  Fixture f;
  f.list({{.id = 10, .started = f.now - kSecond}, {.id = 20, .started = f.now - kSecond}});
  int sent = 0;
  for (int i = 0; i < 200; ++i) {
    const auto actions = f.arrive({.prompt_tokens = 100, .session = static_cast<std::uint64_t>(i + 1)});
    sent += sent_to(actions) != 0;
    if (sent_to(actions) != 0) f.serve(f.last.id, sent_to(actions));
  }
  EXPECT_GT(sent, 2);
  EXPECT_LT(sent, 50);
}

// The longest that a session may be singled out is by chance: once the same hash rejected it until the first
// was warm.
TEST(RuleColdReplicas, WhenAllAreColdNoSessionIsRefusedThroughout) {
  Fixture f;
  f.list({{.id = 10, .started = f.now - seconds(3)}, {.id = 20, .started = f.now - seconds(3)}});
  int throughout = 0, sent = 0;
  for (std::uint64_t session = 1; session <= 50; ++session) {
    int served = 0;
    for (int turn = 0; turn < 20; ++turn) {
      const auto to = sent_to(f.arrive({.prompt_tokens = 100, .session = session}));
      served += to != 0;
      if (to != 0) f.serve(f.last.id, to);
    }
    throughout += served == 0;
    sent += served;
  }
  EXPECT_LT(sent, 700);  // most of a crowd is rejected: else it shows nothing
  EXPECT_LE(throughout, 2);
}

TEST(RuleColdReplicas, AStepOrASecondAttemptNeverGoesToAColdOne) {
  Fixture f;
  f.list({{.id = 10}, {.id = 20, .started = f.now - 1}});
  for (int i = 0; i < 20; ++i) EXPECT_EQ(sent_to(f.arrive_sized(100)), 10u);
  EXPECT_TRUE(only(f.result(f.last.id, 0, 10, Outcome::full), ActionKind::send).empty());
}

TEST(RuleColdReplicas, AHeavyRequestDoesNotGoToAColdOne) {
  Fixture f;
  f.list({{.id = 10}, {.id = 20, .started = f.now - seconds(3)}});
  int light = 0, heavy = 0;
  for (std::uint64_t i = 1; i <= 400; ++i) {
    const bool is_heavy = i % 10 == 0;
    const auto to =
        sent_to(f.arrive({.prompt_tokens = 100, .work_hint = is_heavy ? 30'000.0 : 1000.0, .session = i}));
    if (i > 150) (is_heavy ? heavy : light) += to == 20;  // by then the mean work is known
    f.serve(f.last.id, to);
    f.advance(2'000);
  }
  EXPECT_GT(light, 20);
  EXPECT_EQ(heavy, 0);
}

TEST(RuleColdReplicas, AClientsRepeatDoesNotGoBackToAColdOne) {
  Fixture f;
  f.list({{.id = 10}, {.id = 20, .started = f.now - seconds(5)}});
  int first = 0, again = 0;
  for (std::uint64_t i = 1; i <= 200; ++i) {
    const auto to = sent_to(f.arrive({.prompt_tokens = 100, .session = i}));
    first += to == 20;
    f.serve(f.last.id, to);
    const auto repeat = sent_to(f.arrive({.prompt_tokens = 100, .session = i, .client_repeat = true}));
    again += repeat == 20;
    f.serve(f.last.id, repeat);
  }
  EXPECT_GT(first, 20);
  EXPECT_EQ(again, 0);
}

TEST(RuleColdReplicas, ANewcomersLiveWeightCountsAsTheWarmMeanAtMost) {
  auto s = plain_settings();
  s.weights = WeightSource::live;
  Fixture f(s);
  // Overloaded replicas list a tenth of their size; the idle newcomer lists its full size.
  f.list({{.id = 10, .weight = 0.1f}, {.id = 20, .started = f.now - seconds(2)}, {.id = 30, .weight = 0.1f}});
  int to_cold = 0;
  for (std::uint64_t i = 1; i <= 200; ++i) {
    const auto to = sent_to(f.arrive({.prompt_tokens = 100, .session = i}));
    to_cold += to == 20;
    f.serve(f.last.id, to);
  }
  EXPECT_LT(to_cold, 40);  // by its weight alone it would own half
}

}  // namespace
}  // namespace thornwick::testing
