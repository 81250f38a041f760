// The final answers and the sends of requests through the whole chain of deciders: slow start, pools with
// their fallbacks, budgets, fair shares and the routing policy. They are held against rule 2 of the wire
// protocol.
#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "installation.hpp"

using namespace thornwick;
using namespace thornwick::models;
using namespace thornwick::testing;

namespace {

constexpr budgets::Units kAttemptTokens = 100;    // charged for an attempt that is reset, at price 1
constexpr budgets::Units kAmple = 10'000'000;     // tokens that never run out
constexpr budgets::Units kRefillTokens = 10'000;  // of a bucket, each second
constexpr budgets::Units kSomeRequests = 5'000;
constexpr budgets::Units kManyRequests = 60'000;
// Covers one request of 100 and 100 tokens, and not a second one after the charge for a first attempt.
constexpr budgets::Units kOneRequest = 450;

// `member`: budgets::kSeparateAccounts or kSharedAccount.
budgets::Budget budget(budgets::LimitKind kind, budgets::Units tokens, std::uint16_t member) {
  budgets::Budget result = daily_budget("limit", tokens);
  result.rule.kind = kind;
  result.member = member;
  if (kind == budgets::LimitKind::bucket) result.rule.per_s = kRefillTokens * budgets::kUnitsPerToken;
  return result;
}

// A quota store of which this router's lease grants a number of reservations, and no more until it is
// renewed: after `denials` further ones.
class LaggingQuotaStore final : public budgets::QuotaStore {
 public:
  LaggingQuotaStore(int grants, int denials) : grants_(grants), denials_(denials) {}
  AccountIndex open(const std::string&, const budgets::LimitRule& rule) override {
    limit_ = rule.amount;
    return accounts_++;
  }
  void change(AccountIndex, const budgets::LimitRule&) override {}
  bool reserve(AccountIndex, budgets::Units, Time) override {
    return reservations_++ % (grants_ + denials_) < grants_;
  }
  void settle(AccountIndex, budgets::Units, budgets::Units, Time, Time) override {}
  QuotaStatus quota_status(AccountIndex, budgets::Units, Time) override {
    return {.remaining = limit_, .retry_after = milliseconds(100), .awaiting_lease = true};
  }

 private:
  int grants_;
  int denials_;
  int reservations_ = 0;
  AccountIndex accounts_ = 0;
  budgets::Units limit_ = 0;
};

// What denies the second attempt of a request.
enum class DeniedBy { minute_budget, day_budget, shared_account, journal, quota_store };

struct ExpectedAnswer {
  Effect effect;
  DedupScope scope;
  bool rejected;
};

}  // namespace

// Guards against a request that runs twice: its work was done, a limit denied its second attempt, and its
// client was answered that a repeat does no harm (review/6).
TEST_CASE("a request that may have run is not rejected because a limit denies its second attempt") {
  const DeniedBy denied_by = GENERATE(DeniedBy::minute_budget, DeniedBy::day_budget, DeniedBy::shared_account,
                                      DeniedBy::journal, DeniedBy::quota_store);
  const ExpectedAnswer expected = GENERATE(ExpectedAnswer{Effect::safe, DedupScope::all, true},
                                           ExpectedAnswer{Effect::keyed, DedupScope::all, true},
                                           ExpectedAnswer{Effect::keyed, DedupScope::zone, false},
                                           ExpectedAnswer{Effect::keyed, DedupScope::cell, false});
  Settings drawn = settings();
  drawn.classes[0].effect = expected.effect;
  drawn.classes[0].dedup_scope = expected.scope;
  drawn.classes[0].dedup_window = seconds(4);
  Catalogue catalogue = two_models();
  for (Model& each : catalogue.models) each.fallbacks.clear();
  const bool awaits_store = denied_by == DeniedBy::journal || denied_by == DeniedBy::quota_store;
  const auto kind =
      denied_by == DeniedBy::minute_budget ? budgets::LimitKind::minute : budgets::LimitKind::day;
  const budgets::Units tokens = awaits_store ? 10 * kOneRequest : kOneRequest;
  const std::uint16_t member =
      denied_by == DeniedBy::shared_account ? budgets::kSharedAccount : budgets::kSeparateAccounts;
  LaggingJournal journal;
  LaggingQuotaStore quota_store(1, 1);
  budgets::Options limits = budgets_of({budget(kind, tokens, member)});
  limits.block_fraction = 0.1;  // a block covers the first attempt, and not a second one after its charge
  Simulation simulation(drawn, catalogue, limits, denied_by == DeniedBy::journal ? &journal : nullptr, 1);
  if (denied_by == DeniedBy::quota_store) simulation.quota_store = &quota_store;
  simulation.faults = {.reset = 1000};
  simulation.add_replica("l-1", "L"), simulation.add_replica("l-2", "L");
  simulation.start();
  const auto answer_index = simulation.send_request(request(1));
  simulation.run(seconds(6));
  const Simulation::Answer& answer = simulation.answers[answer_index];
  CHECK(answer.may_have_run);
  CHECK(answer.rejected.has_value() == expected.rejected);
  CHECK(answer.failed != expected.rejected);
  CHECK(simulation.harmful_rejections == 0);
  CHECK(simulation.repeats == 0);
  const budgets::Metrics metrics = simulation.quota_service->accounts.metrics();
  CHECK(metrics.denied == (awaits_store ? 0 : 1));
  CHECK(metrics.denied_awaiting_store == (awaits_store ? 1 : 0));
  CHECK(metrics.charged_units == kAttemptTokens * budgets::kUnitsPerToken);
  CHECK(simulation.summaries.at(0).refusal == RefusalReason::limit_exceeded);
  CHECK(simulation.counters().rejections_not_permitted == (expected.rejected ? 0 : 1));
}

// Guards against an answer or a send that one decider allows because it does not know what another one has
// done: in random orders of attempts, outcomes, denials, fallbacks and clients that leave.
TEST_CASE("answers and sends of all deciders together keep the rule against duplicate effects") {
  std::uint64_t rejections = 0;
  std::uint64_t failures = 0;
  std::uint64_t repeats = 0;
  std::uint64_t withheld = 0;
  CHECK(rc::check("no harmful rejection and no harmful repeat", [&] {
    Settings drawn = settings();
    for (ClassSettings& each : drawn.classes) {
      each.effect = *rc::gen::element(Effect::safe, Effect::keyed, Effect::unsafe);
      each.dedup_scope = *rc::gen::element(DedupScope::all, DedupScope::zone, DedupScope::cell);
      each.dedup_window = milliseconds(*rc::gen::inRange(0, 4000));
      each.late_weight_fraction = *rc::gen::element(0.0, 0.3);
    }
    drawn.zone_count = 2;
    Catalogue catalogue = two_models();
    catalogue.limits.fallback_fraction = 1, catalogue.limits.initial_fallback_fraction = 1;
    catalogue.models[1].fallbacks = {{"large", kAnyReason, 0, 1}};
    const auto kind =
        *rc::gen::element(budgets::LimitKind::bucket, budgets::LimitKind::minute, budgets::LimitKind::day);
    const auto member = *rc::gen::element(budgets::kSharedAccount, budgets::kSeparateAccounts);
    const budgets::Units tokens = *rc::gen::element(kOneRequest, kSomeRequests, kManyRequests, kAmple);
    LaggingJournal journal;
    LaggingQuotaStore quota_store(*rc::gen::inRange(1, 10), *rc::gen::inRange(1, 10));
    const int counted_by = *rc::gen::inRange(0, 3);
    const auto seed = static_cast<std::uint64_t>(*rc::gen::inRange(1, 1'000'000));
    budgets::Options limits = budgets_of({budget(kind, tokens, member)});
    limits.block_fraction = *rc::gen::element(0.02, 0.1, 1.0);
    Simulation simulation(drawn, catalogue, limits, counted_by == 1 ? &journal : nullptr, seed);
    if (counted_by == 2) simulation.quota_store = &quota_store;
    if (*rc::gen::arbitrary<bool>()) simulation.fair_share_options = budgets::FairShareOptions{};
    simulation.slow_start = *rc::gen::arbitrary<bool>();
    for (int i = 0; i < 8; ++i) {
      auto& replica = simulation.add_replica("b-" + std::to_string(i), i % 2 == 0 ? "L" : "S");
      replica.listing.zone = static_cast<std::uint16_t>(i / 2 % 2);
      replica.listing.cell = static_cast<std::uint16_t>(i / 4);
    }
    simulation.faults = {.full = 100, .rejected = 50, .error = 150, .reset = 150, .silent = 50, .gone = 20};
    simulation.faults.unwritten = 300;
    simulation.reset_after = milliseconds(*rc::gen::element(0, 50, 900, 2500, 4500));
    simulation.start();
    for (int i = 0; i < 1500; ++i) {
      Request drawn_request = request(static_cast<ModelId>(1 + i % 2));
      drawn_request.priority_class = static_cast<std::uint8_t>(simulation.draw(2));
      drawn_request.tenant = static_cast<std::uint16_t>(simulation.draw(3));
      simulation.send_request(drawn_request);
      simulation.run(10'000);
      if (simulation.draw(20) == 0) journal.write();
    }
    simulation.run(seconds(8));
    RC_ASSERT(simulation.harmful_rejections == 0u);
    RC_ASSERT(simulation.harmful_repeats == 0u);
    RC_ASSERT(simulation.open() == 0u);
    for (const Simulation::Answer& answer : simulation.answers) RC_ASSERT(answer.over);
    rejections += simulation.rejections_after_run;
    repeats += simulation.repeats;
    withheld += simulation.counters().rejections_not_permitted;
    for (const Simulation::Answer& answer : simulation.answers) failures += answer.failed ? 1 : 0;
  }));
  // The random orders reach what the property is about.
  CHECK(rejections > 100);
  CHECK(failures > 100);
  CHECK(repeats > 100);
  CHECK(withheld > 100);
}
