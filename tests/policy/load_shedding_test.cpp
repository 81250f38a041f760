// Load shedding: which requests the routing policy rejects while answers are late, and how load shedding
// ends.
#include <gtest/gtest.h>

#include "support.hpp"

namespace thornwick::testing {
namespace {

// Answers 40 requests late. Then delivers 100 requests like `example`, and returns the fraction that is sent.
double sent_fraction_after_late_answers(PolicyFixture& fixture, const Request& example) {
  for (int i = 0; i < 40; ++i) {
    const auto replica = sent_replica(fixture.arrive_with_size(100));
    fixture.advance(seconds(3));  // longer than the latency objective
    if (replica != 0) fixture.serve(fixture.last.id, replica);
  }
  int sent = 0;
  constexpr int kRequests = 100;
  for (int i = 0; i < kRequests; ++i) {
    Request request = example;
    request.id = ++fixture.last_id;
    const auto replica = sent_replica(fixture.arrive(request));
    sent += replica != 0;
    if (replica != 0)
      fixture.end_attempt(fixture.last.id, 0, replica, Outcome::served,
                          true);  // without a first token, so that nothing is learned
  }
  return static_cast<double>(sent) / kRequests;
}

TEST(LoadShedding, LateAnswersCauseAFractionOfTheRequestsToBeRejected) {
  PolicyFixture fixture;
  fixture.list_equal_replicas(2);
  const double fraction = sent_fraction_after_late_answers(fixture, {.prompt_tokens = 100});
  EXPECT_LT(fraction, 0.8);
  EXPECT_GT(fraction, 0.0);
}

// Only answers end load shedding, so a router must never stop sending attempts entirely.
TEST(LoadShedding, ARouterWithoutAnyAnswerStillSendsAttempts) {
  PolicyFixture fixture;
  fixture.list_equal_replicas(2);
  sent_fraction_after_late_answers(fixture, {.prompt_tokens = 100});
  int rejected_run = 0;
  int longest_run = 0;
  int attempted = 0;
  for (int i = 0; i < 400; ++i) {
    const bool sent = sent_replica(fixture.arrive_with_size(100)) != 0;
    attempted += sent;
    rejected_run = sent ? 0 : rejected_run + 1;
    longest_run = std::max(longest_run, rejected_run);
    fixture.advance(milliseconds(250));  // no attempt is ever answered
  }
  EXPECT_GT(attempted, 10);
  EXPECT_LT(longest_run, 120);
}

TEST(LoadShedding, RequestsWithALowPriorityWeightAreRejectedFirst) {
  auto settings = plain_settings();
  settings.classes.push_back(settings.classes[0]);
  settings.classes[1].priority_weight = 5;
  PolicyFixture fixture(settings);
  fixture.list_equal_replicas(2);
  sent_fraction_after_late_answers(fixture, {.prompt_tokens = 100});
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

TEST(LoadShedding, RequestsOfATenantAboveItsShareAreRejectedFirst) {
  auto settings = plain_settings();
  settings.tenants = {{.share = 0.5}, {.share = 0.5}};
  settings.over_share_weight = 0.1;
  PolicyFixture fixture(settings);
  fixture.list_equal_replicas(2);
  int sent[2] = {0, 0};
  int arrived[2] = {0, 0};
  for (int i = 0; i < 300; ++i) {
    const std::uint16_t tenant = i % 5 == 0 ? 1 : 0;  // tenant 0 sends four fifths of the requests
    const auto replica = sent_replica(fixture.arrive({.tenant = tenant, .prompt_tokens = 100}));
    ++arrived[tenant];
    sent[tenant] += replica != 0;
    if (replica != 0 && i % 3 == 0) {
      fixture.advance(seconds(3));
      fixture.serve(fixture.last.id, replica);
    } else if (replica != 0) {
      fixture.serve(fixture.last.id, replica);
    }
  }
  EXPECT_GT(sent[1] * arrived[0], sent[0] * arrived[1]);
}

TEST(LoadShedding, RequestsThatTheirClientsRepeatAreRejectedFirst) {
  PolicyFixture fixture;
  fixture.list_equal_replicas(2);
  sent_fraction_after_late_answers(fixture, {.prompt_tokens = 100});
  int sent[2] = {0, 0};
  for (int i = 0; i < 100; ++i) {
    fixture.arrive_with_size(100);
    fixture.advance(seconds(3));
    sent[i % 2] += sent_replica(fixture.arrive({.prompt_tokens = 100, .client_repeat = i % 2 == 1})) != 0;
  }
  EXPECT_GT(sent[0], sent[1]);
}

// Rejected requests yield no answers. While nine of ten requests are rejected, each answer must count for ten
// arrivals. Counted once, recovery takes ten times as long.
TEST(LoadShedding, RecoveryCountsEachAnswerForAllArrivalsThatItRepresents) {
  PolicyFixture fixture;
  fixture.list_equal_replicas(2);
  sent_fraction_after_late_answers(fixture, {.prompt_tokens = 100});
  int arrivals = 0;
  for (int run = 0; run < 10 && arrivals < 500; ++arrivals) {
    const auto replica = sent_replica(fixture.arrive_with_size(100));
    run = replica != 0 ? run + 1 : 0;
    if (replica != 0) fixture.serve(fixture.last.id, replica);
  }
  EXPECT_LT(arrivals, 90);
}

TEST(LoadShedding, LoadSheddingEndsSoonAfterAnswersAreInTimeAgain) {
  PolicyFixture fixture;
  fixture.list_equal_replicas(2);
  sent_fraction_after_late_answers(fixture, {.prompt_tokens = 100});
  const auto sent_of = [&](int arrivals) {
    int sent = 0;
    for (int i = 0; i < arrivals; ++i) {
      const auto replica = sent_replica(fixture.arrive_with_size(100));
      sent += replica != 0;
      if (replica != 0) fixture.serve(fixture.last.id, replica);
    }
    return sent;
  };
  int answers = 0;
  while (answers < 40) answers += sent_of(1);
  EXPECT_EQ(sent_of(30), 30);
}

}  // namespace
}  // namespace thornwick::testing
