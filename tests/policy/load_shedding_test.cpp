// Load shedding: which requests the routing policy rejects while answers are late, and how it recovers.
#include <gtest/gtest.h>

#include "support.hpp"

namespace thornwick::testing {
namespace {

// Answers requests late for a while, then returns the part of 100 requests like `shape` that is sent.
double sent_part_while_answers_are_late(PolicyFixture& fixture, const Request& shape) {
  for (int i = 0; i < 40; ++i) {
    const auto to = sent_replica(fixture.arrive_with_size(100));
    fixture.advance(seconds(3));  // longer than the latency objective
    if (to != 0) fixture.serve(fixture.last.id, to);
  }
  int sent = 0;
  constexpr int kMany = 100;
  for (int i = 0; i < kMany; ++i) {
    Request request = shape;
    request.id = ++fixture.last_id;
    const auto to = sent_replica(fixture.arrive(request));
    sent += to != 0;
    if (to != 0)
      fixture.end_attempt(fixture.last.id, 0, to, Outcome::served,
                          true);  // without a first token, so that nothing is learned
  }
  return static_cast<double>(sent) / kMany;
}

TEST(LoadShedding, LateAnswersShedAPartOfTheRequests) {
  PolicyFixture fixture;
  fixture.list_equal_replicas(2);
  const double part = sent_part_while_answers_are_late(fixture, {.prompt_tokens = 100});
  EXPECT_LT(part, 0.8);
  EXPECT_GT(part, 0.0);
}

// A router never stops sending attempts entirely, because only answers end load shedding.
TEST(LoadShedding, ARouterWithoutAnyAnswerStillSendsAttempts) {
  PolicyFixture fixture;
  fixture.list_equal_replicas(2);
  sent_part_while_answers_are_late(fixture, {.prompt_tokens = 100});
  int rejected_in_a_row = 0;
  int longest_row = 0;
  int attempted = 0;
  for (int i = 0; i < 400; ++i) {
    const bool sent = sent_replica(fixture.arrive_with_size(100)) != 0;
    attempted += sent;
    rejected_in_a_row = sent ? 0 : rejected_in_a_row + 1;
    longest_row = std::max(longest_row, rejected_in_a_row);
    fixture.advance(milliseconds(250));  // nothing ever answers
  }
  EXPECT_GT(attempted, 10);
  EXPECT_LT(longest_row, 120);
}

TEST(LoadShedding, LowPriorityWeightIsShedFirst) {
  auto settings = plain_settings();
  settings.classes.push_back(settings.classes[0]);
  settings.classes[1].priority_weight = 5;
  PolicyFixture fixture(settings);
  fixture.list_equal_replicas(2);
  sent_part_while_answers_are_late(fixture, {.prompt_tokens = 100});
  int sent[2] = {0, 0};
  for (int i = 0; i < 100; ++i) {
    const std::uint8_t priority_class = i % 2;
    fixture.arrive_with_size(100);
    fixture.advance(seconds(3));
    sent[priority_class] +=
        sent_replica(fixture.arrive({.priority_class = priority_class, .prompt_tokens = 100})) != 0;
  }
  EXPECT_GT(sent[1], sent[0]);
}

TEST(LoadShedding, ATenantAboveItsShareIsShedBeforeOneWithin) {
  auto settings = plain_settings();
  settings.tenants = {{.share = 0.5}, {.share = 0.5}};
  settings.over_share_weight = 0.1;
  PolicyFixture fixture(settings);
  fixture.list_equal_replicas(2);
  int sent[2] = {0, 0};
  int arrived[2] = {0, 0};
  for (int i = 0; i < 300; ++i) {
    const std::uint16_t tenant = i % 5 == 0 ? 1 : 0;  // tenant 0 sends four fifths of the requests
    const auto to = sent_replica(fixture.arrive({.tenant = tenant, .prompt_tokens = 100}));
    ++arrived[tenant];
    sent[tenant] += to != 0;
    if (to != 0 && i % 3 == 0) {
      fixture.advance(seconds(3));
      fixture.serve(fixture.last.id, to);
    } else if (to != 0) {
      fixture.serve(fixture.last.id, to);
    }
  }
  EXPECT_GT(sent[1] * arrived[0], sent[0] * arrived[1]);
}

TEST(LoadShedding, RepeatsOfClientsAreShedBeforeFirstRequests) {
  PolicyFixture fixture;
  fixture.list_equal_replicas(2);
  sent_part_while_answers_are_late(fixture, {.prompt_tokens = 100});
  int sent[2] = {0, 0};
  for (int i = 0; i < 100; ++i) {
    fixture.arrive_with_size(100);
    fixture.advance(seconds(3));
    sent[i % 2] += sent_replica(fixture.arrive({.prompt_tokens = 100, .client_repeat = i % 2 == 1})) != 0;
  }
  EXPECT_GT(sent[0], sent[1]);
}

// Rejected requests yield no answers. When nine of ten requests are shed, each answer has to count for ten
// arrivals; an earlier version counted it once, and recovery took ten times as long.
TEST(LoadShedding, RecoversByTheArrivalsThatEachAnswerStandsFor) {
  PolicyFixture fixture;
  fixture.list_equal_replicas(2);
  sent_part_while_answers_are_late(fixture, {.prompt_tokens = 100});
  int arrivals = 0;
  for (int run = 0; run < 10 && arrivals < 500; ++arrivals) {
    const auto to = sent_replica(fixture.arrive_with_size(100));
    run = to != 0 ? run + 1 : 0;
    if (to != 0) fixture.serve(fixture.last.id, to);
  }
  EXPECT_LT(arrivals, 90);
}

TEST(LoadShedding, EndsSoonAfterAnswersAreInTimeAgain) {
  PolicyFixture fixture;
  fixture.list_equal_replicas(2);
  sent_part_while_answers_are_late(fixture, {.prompt_tokens = 100});
  const auto sent_of = [&](int arrivals) {
    int sent = 0;
    for (int i = 0; i < arrivals; ++i) {
      const auto to = sent_replica(fixture.arrive_with_size(100));
      sent += to != 0;
      if (to != 0) fixture.serve(fixture.last.id, to);
    }
    return sent;
  };
  int answers = 0;
  while (answers < 40) answers += sent_of(1);
  EXPECT_EQ(sent_of(30), 30);
}

}  // namespace
}  // namespace thornwick::testing
