// What the module does when parts fail, when there is too much to do, and how it keeps the directory.
#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <numeric>

#include "support.hpp"

namespace thornwick::testing {
namespace {

// Makes the given replica fail often enough to be ejected; returns how many requests that took.
int fail_until_quiet(Fixture& f, ReplicaId bad, Outcome outcome) {
  int failures = 0;
  for (int i = 0; i < 40; ++i) {
    const auto to = sent_to(f.arrive_sized(100, 0));
    if (to == bad) {
      ++failures;
      f.result(f.last.id, 0, bad, outcome);
      f.router.on_client_gone(f.now, f.last.id);
    } else if (to != 0) {
      f.serve(f.last.id, to);
    }
  }
  return failures;
}

TEST(Health, ErrorsEjectAReplicaAndItComesBackGently) {
  Fixture f;
  f.list_plain(3);
  EXPECT_EQ(fail_until_quiet(f, 20, Outcome::error), 2);
  f.advance(seconds(2) + kSecond / 2);  // past the ejection of one longest aim
  std::map<ReplicaId, int> met;
  for (int i = 0; i < 60; ++i) {
    const auto to = sent_to(f.arrive({.prompt_tokens = 100, .session = static_cast<std::uint64_t>(i + 1)}));
    ++met[to];
    if (to != 20) f.serve(f.last.id, to);
  }
  EXPECT_GT(met[20], 0);
  EXPECT_LT(met[20], 20);
}

// Any replica spoils an answer at times; leaving it out for that cost the others more than it could.
TEST(Health, OneErrorOrBrokenAnswerAmongGoodOnesDoesNotEject) {
  for (const auto outcome : {Outcome::error, Outcome::reset, Outcome::connect_failed}) {
    Fixture f;
    f.list_plain(1);
    for (int i = 0; i < 40; ++i) {
      ASSERT_EQ(sent_to(f.arrive_sized(100)), 10u);
      if (i % 2 == 0) {
        f.result(f.last.id, 0, 10, outcome);
        f.router.on_client_gone(f.now, f.last.id);
      } else {
        f.serve(f.last.id, 10);
      }
    }
  }
}

TEST(Health, AReplicaThatCannotBeReachedTwiceIsEjected) {
  Fixture f;
  f.list_plain(3);
  EXPECT_EQ(fail_until_quiet(f, 10, Outcome::connect_failed), 2);
}

TEST(Health, FailuresDoNotStepButGetASecondAttemptElsewhere) {
  Fixture f;
  f.list_plain(3);
  for (int i = 0; i < 12; ++i) f.serve(f.last_id, sent_to(f.arrive_sized(100)));  // earns a second attempt
  const auto to = sent_to(f.arrive_sized(100));
  const auto again = sent_to(f.result(f.last.id, 0, to, Outcome::reset));
  EXPECT_NE(again, 0u);
  EXPECT_NE(again, to);
}

TEST(Health, SecondAttemptsAreABoundedPartOfTheRequests) {
  Fixture f;
  f.list_plain(6);
  int second = 0;
  for (int i = 0; i < 200; ++i) {
    const auto to = sent_to(f.arrive_sized(100));
    const bool errs = i % 2 == 0;  // half of the requests err, on replicas that answer in between
    const auto again = errs ? sent_to(f.result(f.last.id, 0, to, Outcome::error)) : 0;
    second += again != 0;
    if (!errs || again != 0) f.serve(f.last.id, errs ? again : to, errs ? 1 : 0);
    for (ReplicaId id = 10; id <= 60; id += 10) f.result(0, 0, id, Outcome::served, true);
  }
  EXPECT_GT(second, 5);
  EXPECT_LE(second, 25);
}

TEST(Health, NeverEjectsEverybody) {
  Fixture f;
  f.list_plain(3);
  for (int i = 0; i < 60; ++i) {
    const auto to = sent_to(f.arrive_sized(100));
    ASSERT_NE(to, 0u);
    f.result(f.last.id, 0, to, Outcome::error);
    f.router.on_client_gone(f.now, f.last.id);
  }
}

TEST(Health, ASilentReplicaLosesItsShare) {
  Fixture f;
  f.list_plain(4);
  int to_silent = 0;
  for (int i = 0; i < 80; ++i) {
    const auto to = sent_to(f.arrive({.prompt_tokens = 100, .session = static_cast<std::uint64_t>(i + 1)}));
    if (i >= 40) to_silent += to == 20;
    if (to != 20) f.serve(f.last.id, to);
    f.advance(kSecond / 4);
  }
  EXPECT_LE(to_silent, 6);  // a quarter of 40 if it were not noticed
}

TEST(Health, SilenceWhileTheReplicaAnswersOthersIsNoFailure) {
  Fixture f;
  f.list_plain(1);
  const auto slow = f.arrive_sized(100);
  for (int i = 0; i < 4; ++i) {
    const auto to = sent_to(f.arrive_sized(100));
    f.serve(f.last.id, to);
    f.advance(kSecond / 2);
  }
  EXPECT_EQ(sent_to(f.arrive_sized(100)), 10u);
}

TEST(Health, OneThatHasGoneLeavesNoRecordToWhoeverGetsItsId) {
  Fixture f;
  f.list_plain(2);
  fail_until_quiet(f, 10, Outcome::connect_failed);
  f.list({{.id = 20}});
  f.list_plain(2);
  int met = 0;
  for (int i = 0; i < 30; ++i) met += sent_to(f.arrive_sized(100 + 50 * i)) == 10;
  EXPECT_GT(met, 0);
}

TEST(Health, OneThatGoesWithARequestInWorkIsRememberedForIt) {
  Fixture f;
  f.list_plain(1);
  const auto to = sent_to(f.arrive_sized(100));
  f.list({});
  EXPECT_FALSE(f.result(f.last.id, 0, to, Outcome::reset).empty());  // its one final answer
  f.list({});
}

TEST(Health, ASingleReplicaWhoseAnswersAreSlowGetsLessThanOthersOfItsKind) {
  Fixture f;
  f.list_plain(4);
  std::map<ReplicaId, int> met;
  for (int i = 0; i < 400; ++i) {
    const auto to = sent_to(f.arrive({.prompt_tokens = 100, .session = static_cast<std::uint64_t>(i + 1)}));
    if (i >= 200) ++met[to];
    if (to == 20) f.advance(kSecond + kSecond / 2);  // slow, but not late
    if (to != 0) f.serve(f.last.id, to);
  }
  EXPECT_GT(met[20], 0);
  EXPECT_LT(6 * met[20], met[10] + met[30] + met[40]);  // under half of the others' mean
}

TEST(Health, ARestartUnderTheSameIdClearsTheRecord) {
  Fixture f;
  f.list_plain(2);
  fail_until_quiet(f, 10, Outcome::connect_failed);
  f.list({{.id = 10, .started = f.now - seconds(20)}}, EndpointUpdate::delta);
  std::set<ReplicaId> met;
  for (int i = 0; i < 20; ++i) {
    met.insert(sent_to(f.arrive({.prompt_tokens = 100, .session = static_cast<std::uint64_t>(i + 1)})));
  }
  EXPECT_TRUE(met.contains(10));
}

TEST(Health, AKindWhoseAnswersAreSlowGetsLess) {
  Fixture f;
  f.list({{.id = 10, .kind = 0}, {.id = 20, .kind = 1}, {.id = 30, .kind = 0}, {.id = 40, .kind = 1}});
  int to_slow = 0;
  constexpr int kMany = 300;
  for (int i = 0; i < 2 * kMany; ++i) {
    const auto to = sent_to(f.arrive({.prompt_tokens = 100, .session = static_cast<std::uint64_t>(i + 1)}));
    const bool slow = to == 20 || to == 40;
    f.advance(slow ? 1'500'000 : 100'000);  // slow, but within the aim of two seconds
    f.serve(f.last.id, to);
    if (i >= kMany) to_slow += slow;
  }
  EXPECT_GT(to_slow, 0);
  EXPECT_LT(to_slow, kMany * 35 / 100);  // half, were kinds not told apart
}

TEST(Full, StepsOnceToTheAdjacentReplicaThenRefuses) {
  Fixture f;
  f.list_plain(3);
  const auto to = sent_to(f.arrive_sized(100));
  const auto step = f.result(f.last.id, 0, to, Outcome::full);
  const auto next = sent_to(step);
  EXPECT_EQ(next, to == 30 ? 20u : to + 10);
  const auto after = f.result(f.last.id, 1, next, Outcome::full);
  EXPECT_TRUE(only(after, ActionKind::send).empty());
  EXPECT_EQ(only(after, ActionKind::reject).size(), 1u);
}

TEST(Full, IsNoFailure) {
  Fixture f;
  f.list_plain(2);
  for (int i = 0; i < 10; ++i) {
    const auto to = sent_to(f.arrive_sized(100, 0));
    f.result(f.last.id, 0, to, Outcome::full);
    f.router.on_client_gone(f.now, f.last.id);
  }
  std::set<ReplicaId> met;
  for (int i = 0; i < 20; ++i) {
    met.insert(sent_to(f.arrive({.prompt_tokens = 100, .session = static_cast<std::uint64_t>(i + 1)})));
  }
  EXPECT_EQ(met.size(), 2u);
}

TEST(Attempts, TheLimitHolds) {
  auto s = plain_settings();
  s.max_attempts = 2;
  Fixture f(s);
  f.list_plain(6);
  auto to = sent_to(f.arrive_sized(100));
  to = sent_to(f.result(f.last.id, 0, to, Outcome::connect_failed));
  ASSERT_NE(to, 0u);
  const auto actions = f.result(f.last.id, 1, to, Outcome::connect_failed);
  EXPECT_EQ(sent_to(actions), 0u);
  EXPECT_EQ(finals(actions), 1u);
}

// Late answers for a while; returns the part of the given requests that is then sent.
double sent_part_under_jam(Fixture& f, const Request& shape) {
  for (int i = 0; i < 40; ++i) {
    const auto to = sent_to(f.arrive_sized(100));
    f.advance(seconds(3));  // past the aim
    if (to != 0) f.serve(f.last.id, to);
  }
  int sent = 0;
  constexpr int kMany = 100;
  for (int i = 0; i < kMany; ++i) {
    Request r = shape;
    r.id = ++f.last_id;
    const auto to = sent_to(f.arrive(r));
    sent += to != 0;
    if (to != 0) f.result(f.last.id, 0, to, Outcome::served, true);  // without a first token: teaches nothing
  }
  return static_cast<double>(sent) / kMany;
}

TEST(Overload, ShedsWhenAnswersComeLateButNotAll) {
  Fixture f;
  f.list_plain(2);
  const double part = sent_part_under_jam(f, {.prompt_tokens = 100});
  EXPECT_LT(part, 0.8);
  EXPECT_GT(part, 0.0);
}

// Whatever it believes of a jam, a router goes on trying: its way out needs no success.
TEST(Overload, ARouterThatNeverHearsAnAnswerStillTries) {
  Fixture f;
  f.list_plain(2);
  sent_part_under_jam(f, {.prompt_tokens = 100});
  int run = 0, longest = 0, tried = 0;
  for (int i = 0; i < 400; ++i) {
    const bool sent = sent_to(f.arrive_sized(100)) != 0;
    tried += sent;
    longest = std::max(longest, run = sent ? 0 : run + 1);
    f.advance(250'000);  // nothing ever answers
  }
  EXPECT_GT(tried, 10);
  EXPECT_LT(longest, 120);
}

TEST(Overload, LowWorthGivesWayFirst) {
  auto s = plain_settings();
  s.classes.push_back(s.classes[0]);
  s.classes[1].priority_weight = 5;
  Fixture f(s);
  f.list_plain(2);
  sent_part_under_jam(f, {.prompt_tokens = 100});
  int sent[2] = {0, 0};
  for (int i = 0; i < 100; ++i) {
    const std::uint8_t cls = i % 2;
    f.arrive_sized(100);
    f.advance(seconds(3));
    sent[cls] += sent_to(f.arrive({.cls = cls, .prompt_tokens = 100})) != 0;
  }
  EXPECT_GT(sent[1], sent[0]);
}

TEST(Overload, ATenantOverItsShareGivesWayToOneWithin) {
  auto s = plain_settings();
  s.tenants = {{.share = 0.5}, {.share = 0.5}};
  s.over_share_weight = 0.1;
  Fixture f(s);
  f.list_plain(2);
  int sent[2] = {0, 0}, asked[2] = {0, 0};
  for (int i = 0; i < 300; ++i) {
    const std::uint16_t tenant = i % 5 == 0 ? 1 : 0;  // tenant 0 asks for four fifths
    const auto to = sent_to(f.arrive({.tenant = tenant, .prompt_tokens = 100}));
    ++asked[tenant];
    sent[tenant] += to != 0;
    if (to != 0 && i % 3 == 0) {
      f.advance(seconds(3));
      f.serve(f.last.id, to);
    } else if (to != 0) {
      f.serve(f.last.id, to);
    }
  }
  EXPECT_GT(sent[1] * asked[0], sent[0] * asked[1]);
}

TEST(Overload, AClientsRepeatGivesWayToFirstTries) {
  Fixture f;
  f.list_plain(2);
  sent_part_under_jam(f, {.prompt_tokens = 100});
  int sent[2] = {0, 0};
  for (int i = 0; i < 100; ++i) {
    f.arrive_sized(100);
    f.advance(seconds(3));
    sent[i % 2] += sent_to(f.arrive({.prompt_tokens = 100, .client_repeat = i % 2 == 1})) != 0;
  }
  EXPECT_GT(sent[0], sent[1]);
}

// What is rejected gives no answers: at 0.9 one answer once stood for itself alone, and recovery took ten
// times as long.
TEST(Overload, SheddingFallsByTheArrivalsThatAnAnswerStandsFor) {
  Fixture f;
  f.list_plain(2);
  sent_part_under_jam(f, {.prompt_tokens = 100});
  int arrivals = 0;
  for (int run = 0; run < 10 && arrivals < 500; ++arrivals) {
    const auto to = sent_to(f.arrive_sized(100));
    run = to != 0 ? run + 1 : 0;
    if (to != 0) f.serve(f.last.id, to);
  }
  EXPECT_LT(arrivals, 90);
}

TEST(Overload, SheddingEndsSoonAfterAJam) {
  Fixture f;
  f.list_plain(2);
  sent_part_under_jam(f, {.prompt_tokens = 100});
  const auto sent_of = [&](int arrivals) {
    int sent = 0;
    for (int i = 0; i < arrivals; ++i) {
      const auto to = sent_to(f.arrive_sized(100));
      sent += to != 0;
      if (to != 0) f.serve(f.last.id, to);
    }
    return sent;
  };
  int answers = 0;
  while (answers < 40) answers += sent_of(1);
  EXPECT_EQ(sent_of(30), 30);
}

TEST(Zones, SlowAnswersAtHomeSendSomeSessionsAway) {
  auto s = plain_settings();
  s.zone_count = 2;
  Fixture f(s);
  f.list({{.id = 1, .zone = 0}, {.id = 2, .zone = 1}});
  for (int i = 0; i < 12; ++i) {
    const auto to = sent_to(f.arrive({.prompt_tokens = 100, .session = static_cast<std::uint64_t>(i + 1)}));
    if (to == 0) continue;
    f.advance(1'500'000);  // slow, not late
    f.serve(f.last.id, to);
  }
  std::map<ReplicaId, int> met;
  for (int i = 0; i < 60; ++i) {
    const auto to =
        sent_to(f.arrive({.prompt_tokens = 100, .session = static_cast<std::uint64_t>(1000 + i)}));
    ++met[to];
    f.serve(f.last.id, to);
  }
  EXPECT_GT(met[2], 0);
  EXPECT_GT(met[1], 0);
}

TEST(Zones, ALostZoneSendsAllAway) {
  auto s = plain_settings();
  s.zone_count = 2;
  Fixture f(s);
  f.list({{.id = 1, .zone = 0}, {.id = 2, .zone = 1}});
  f.list({{.id = 1, .state = EndpointState::gone}}, EndpointUpdate::delta);
  for (int i = 0; i < 10; ++i) EXPECT_EQ(sent_to(f.arrive_sized(100)), 2u);
}

TEST(Zones, AZoneThatComesBackColdIsFilledOnlyAsItWarms) {
  auto s = plain_settings();
  s.zone_count = 2;
  Fixture f(s);
  f.list(
      {{.id = 1, .started = f.now - kSecond}, {.id = 3, .started = f.now - kSecond}, {.id = 2, .zone = 1}});
  int home = 0;
  for (int i = 0; i < 200; ++i) {
    const auto to = sent_to(f.arrive({.prompt_tokens = 100, .session = static_cast<std::uint64_t>(i + 1)}));
    home += to != 2;
    f.serve(f.last.id, to);
  }
  EXPECT_LT(home, 50);
}

TEST(Zones, ColdReplicasGetNoHeadroomForTheWarmOnes) {
  auto s = plain_settings();
  s.zone_count = 2;
  s.overload_multiple = 4;
  Fixture f(s);
  f.list({{.id = 1, .started = f.now - seconds(5)},
          {.id = 3, .started = f.now - seconds(5)},
          {.id = 2, .zone = 1}});
  int home = 0;
  for (int i = 0; i < 400; ++i) {
    const auto to = sent_to(f.arrive({.prompt_tokens = 100, .session = static_cast<std::uint64_t>(i + 1)}));
    home += to != 2;
    f.serve(f.last.id, to);
  }
  EXPECT_NEAR(home, 200, 40);  // half warm: half of the usual, not three quarters
}

// ---------------------------------------------------------------- the directory

Settings asking() {
  auto s = plain_settings();
  s.discovery_by_polling = true;
  return s;
}

TEST(Directory, IsAskedSoonAfterTheStartAndNotAgainOnceSubscribed) {
  Fixture f(asking());
  EXPECT_EQ(only(f.advance(seconds(2)), ActionKind::watch_endpoints).size(), 1u);
  f.list_plain(2);
  EXPECT_TRUE(only(f.advance(seconds(60)), ActionKind::watch_endpoints).empty());
}

TEST(Directory, IsAskedAgainAfterEachFailureLessAndLessOften) {
  Fixture f(asking());
  f.advance(seconds(2));
  Time gap_before = 0;
  for (int i = 0; i < 4; ++i) {
    f.list({}, EndpointUpdate::failed);
    const Time from = f.now;
    while (only(f.advance(10'000), ActionKind::watch_endpoints).empty()) ASSERT_LT(f.now - from, seconds(10));
    if (i % 3 == 0) {
      EXPECT_GT(f.now - from, gap_before);
      gap_before = f.now - from;
    }
  }
}

// A directory that works through the calls of all routers in turn, 20 a second. One that has waited for 2 s
// fails, and was work all the same. Returns the calls of each second that failed; the routers of `again`
// start anew at 10 s.
std::vector<int> failed_calls(std::uint32_t routers, std::uint32_t again, int duration_s) {
  auto s = asking();
  s.group_size = routers;
  std::vector<std::unique_ptr<Fixture>> fleet(routers);
  std::vector<std::pair<Time, std::uint32_t>> due;  // of calls: when they are answered or fail
  std::vector<int> failed(static_cast<std::size_t>(duration_s));
  const Time start = seconds(1000);
  const Time tick = milliseconds(10);
  Time free_at = start;
  const auto begin = [&](std::uint32_t r, Time now) {
    s.seed = 1000 + r + static_cast<std::uint64_t>(now);
    std::erase_if(due, [&](auto& d) { return d.second == r; });
    fleet[r] = std::make_unique<Fixture>(s, now);
  };
  for (std::uint32_t r = 0; r < routers; ++r) begin(r, start);
  for (Time now = start; now < start + seconds(duration_s); now += tick) {
    for (std::uint32_t r = 0; r < again && now == start + seconds(10); ++r) begin(r, now);
    for (const auto& [at, r] : std::exchange(due, {})) {
      if (at > now) {
        due.emplace_back(at, r);
        continue;
      }
      fleet[r]->now = now;
      const bool late = at % 2 == 1;  // marked so when it was made
      if (late) ++failed[static_cast<std::size_t>((now - start) / kSecond)];
      fleet[r]->list({}, late ? EndpointUpdate::failed : EndpointUpdate::delta);
    }
    for (std::uint32_t r = 0; r < routers; ++r) {
      if (only(fleet[r]->advance(now - fleet[r]->now), ActionKind::watch_endpoints).empty()) continue;
      free_at = std::max(free_at, now) + kSecond / 20;
      const Time wait = std::min(free_at - now, seconds(2)) / 2 * 2;
      due.emplace_back(now + wait + (wait == seconds(2) ? 1 : 0), r);
    }
  }
  return failed;
}

// Guards against a hundred calls in one moment, of which those that fail come again and keep the queue full.
TEST(Directory, AHundredRoutersAreAllToldEvenWhenSeventyStartAnewAtOnce) {
  const auto failed = failed_calls(100, 70, 30);
  EXPECT_EQ(std::accumulate(failed.begin(), failed.end(), 0), 0);
}

TEST(Directory, AFewRoutersAskAsSoonAsBefore) {
  Fixture f(asking());
  EXPECT_EQ(only(f.advance(kSecond), ActionKind::watch_endpoints).size(), 1u);
}

TEST(Directory, RoutersThatStartTogetherAskSpreadOut) {
  std::set<Time> asked;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    auto s = asking();
    s.seed = seed;
    Fixture f(s);
    while (only(f.advance(1'000), ActionKind::watch_endpoints).empty()) ASSERT_LT(f.now, seconds(1010));
    asked.insert(f.now);
  }
  EXPECT_GT(asked.size(), 10u);
}

TEST(Directory, AFailureKeepsTheListInEffect) {
  Fixture f(asking());
  f.list_plain(2);
  f.list({}, EndpointUpdate::failed);
  EXPECT_NE(sent_to(f.arrive_sized(100)), 0u);
}

TEST(Directory, ACachedListServesUntilAFreshOneComes) {
  Fixture f(asking());
  f.list({{.id = 10}}, EndpointUpdate::cached);
  EXPECT_EQ(sent_to(f.arrive_sized(100)), 10u);
  EXPECT_FALSE(only(f.advance(seconds(2)), ActionKind::watch_endpoints).empty());
}

}  // namespace
}  // namespace thornwick::testing
