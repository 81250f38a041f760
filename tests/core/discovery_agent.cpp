// One router calls an agent on its machine in virtual time. The rule, from the protocol and the standing
// test: what the agent has counts as known at once, whether or not a watch is open; while discovery is down
// the agent is silent, and what it gets at the return counts at once; nothing is sent to a draining replica
// after the grace of the settings, even if the router is held up for 0.15 s before a write.
#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <optional>
#include <vector>

#include "core/discovery_schedule.hpp"

using namespace thornwick;
using core::DiscoverySchedule;
using core::DiscoveryTerms;

namespace {

constexpr Time kStep = milliseconds(1);
// From the standing test: how long a router may be held up between reading its clock and writing.
constexpr Time kHeldUp = milliseconds(150);
// The shortest grace for which the schedule promises the rule (core/discovery_waits.hpp).
constexpr int kMinGraceMs = 250;

// What becomes of a call.
enum class Fate {
  answered,
  lost,      // no answer, or half of one
  rejected,  // fails at once
  cut        // fails after the time of an answer
};

// A router with one agent. Calls are handled as net::DiscoveryClient does.
class RouterWithAgent {
 public:
  RouterWithAgent(const DiscoveryTerms& terms, Time answer_duration, std::function<double()> random)
      : schedule_(terms, std::move(random)), answer_duration_(answer_duration) {
    next_call_at_ = schedule_.first_call_time(0);
  }

  Time now() const { return now_; }
  // When the router applied the present list; empty: it has not.
  std::optional<Time> applied_at() const {
    return applied_revision_ == revision_ ? std::optional(applied_at_) : std::nullopt;
  }
  void change_list() { ++revision_; }
  // From now on, calls that are in flight or begin get no answer, not even after the outage.
  void begin_outage() {
    in_outage_ = true;
    lose_open_calls();
  }
  void end_outage() { in_outage_ = false; }
  void lose_open_calls() {
    for (Call& call : calls_) call.fate = Fate::lost;
  }
  // The fates of the calls that begin from now on; later calls are answered.
  void set_fates(std::vector<Fate> fates) { fates_ = std::move(fates); }

  void run_until(Time end) {
    for (; now_ < end; now_ += kStep) {
      if (now_ >= next_call_at_) begin_call();
      end_due_calls();
    }
  }

 private:
  struct Call {
    std::uint64_t number = 0;
    DiscoverySchedule::Call plan;
    Fate fate = Fate::answered;
    std::uint64_t known_revision = 0;
    Time answered_at = 0;  // once the agent answers
    std::uint64_t answer_revision = 0;
  };

  void begin_call() {
    if (calls_.size() == DiscoverySchedule::kMaxCallsInFlight) calls_.erase(calls_.begin() + 1);
    Call call{.number = ++last_number_,
              .plan = schedule_.begin_call(now_),
              .fate = take_fate(),
              .known_revision = applied_revision_};
    next_call_at_ = call.plan.next_call_at;
    calls_.push_back(call);
  }
  Fate take_fate() {
    if (in_outage_) return Fate::lost;
    if (fates_.empty()) return Fate::answered;
    const Fate fate = fates_.front();
    fates_.erase(fates_.begin());
    return fate;
  }
  void end_due_calls() {
    for (Call& call : calls_) {
      const bool has_news =
          revision_ > call.known_revision || now_ >= call.plan.started_at + call.plan.max_wait;
      if (call.answered_at > 0 || !has_news) continue;
      call.answered_at = now_ + answer_duration_;
      call.answer_revision = revision_;
    }
    for (std::size_t i = 0; i < calls_.size(); ++i) {
      const Call call = calls_[i];
      const bool fails = call.fate == Fate::rejected ||
                         (call.fate == Fate::cut && call.answered_at > 0 && now_ >= call.answered_at);
      const bool is_answered =
          call.fate == Fate::answered && call.answered_at > 0 && now_ >= call.answered_at;
      if (fails) return fail(call, i);
      if (is_answered) return answer(call, i);
    }
  }
  void fail(const Call& call, std::size_t index) {
    calls_.erase(calls_.begin() + static_cast<std::ptrdiff_t>(index));
    if (call.number == last_number_) next_call_at_ = schedule_.on_call_failed(now_, call.plan);
  }
  void answer(const Call& call, std::size_t index) {
    calls_.erase(calls_.begin(), calls_.begin() + static_cast<std::ptrdiff_t>(index) + 1);
    const bool changed = call.answer_revision > applied_revision_;
    if (changed) applied_at_ = now_;
    applied_revision_ = std::max(applied_revision_, call.answer_revision);
    if (!calls_.empty()) return;
    schedule_.on_call_answered();
    next_call_at_ = changed ? now_ : schedule_.next_call_after_unchanged(now_, call.plan);
  }

  DiscoverySchedule schedule_;
  Time answer_duration_;
  Time now_ = kStep;
  Time next_call_at_ = 0;
  std::vector<Call> calls_;  // the oldest first
  std::uint64_t last_number_ = 0;
  std::vector<Fate> fates_;
  bool in_outage_ = false;
  std::uint64_t revision_ = 1;
  std::uint64_t applied_revision_ = 0;
  Time applied_at_ = 0;
};

Time draw_ms(int min, int max) { return milliseconds(*rc::gen::inRange(min, max + 1)); }

std::function<double()> random_source() {
  const auto seed = *rc::gen::arbitrary<std::uint32_t>();
  return [random = rc::Random(seed)]() mutable {
    return static_cast<double>(random.next() >> 11) / static_cast<double>(1ULL << 53);
  };
}

DiscoveryTerms draw_terms() {
  return {.drain_grace = draw_ms(kMinGraceMs, 5'000),
          .routers = *rc::gen::inRange<std::uint32_t>(1, 301),
          .uses_local_agent = true};
}

std::vector<Fate> draw_fates(std::size_t max_count) {
  const auto count = *rc::gen::inRange<std::size_t>(0, max_count + 1);
  return *rc::gen::container<std::vector<Fate>>(count,
                                                rc::gen::element(Fate::lost, Fate::rejected, Fate::cut));
}

// Checks that the list as of now takes effect on all sends within the grace.
void check_in_effect_within_grace(RouterWithAgent& router, const DiscoveryTerms& terms) {
  const Time due_at = router.now() + terms.drain_grace;
  router.run_until(due_at);
  RC_ASSERT(router.applied_at().has_value());
  RC_ASSERT(*router.applied_at() + kHeldUp <= due_at);
}

}  // namespace

// Guards against review/10: waits that did not depend on the grace let sends to draining replicas go on.
TEST_CASE("what an agent has takes effect within the grace, whatever happened to earlier calls") {
  CHECK(rc::check("after an outage of any length", [] {
    const DiscoveryTerms terms = draw_terms();
    const Time max_answer = (terms.drain_grace - kHeldUp) / 8;
    RouterWithAgent router(terms, *rc::gen::inRange<Time>(0, max_answer), random_source());
    router.run_until(draw_ms(1, 3'000));  // 1 ms: a process that starts in the outage
    router.begin_outage();
    router.run_until(router.now() + draw_ms(1, 8'000));
    router.change_list();
    router.end_outage();
    router.set_fates(draw_fates(1));
    check_in_effect_within_grace(router, terms);
  }));
  CHECK(rc::check("after the open watch has fallen silent", [] {
    const DiscoveryTerms terms = draw_terms();
    const Time max_answer = (terms.drain_grace - kHeldUp) / 8;
    RouterWithAgent router(terms, *rc::gen::inRange<Time>(0, max_answer), random_source());
    router.run_until(draw_ms(1, 6'000));
    router.lose_open_calls();
    router.set_fates(draw_fates(1));
    router.change_list();
    check_in_effect_within_grace(router, terms);
  }));
  CHECK(rc::check("from an agent that answers late, at the start and after an outage", [] {
    const DiscoveryTerms terms = draw_terms();
    // Two answers, or one that follows a call without an answer.
    const Time max_answer = (terms.drain_grace - kHeldUp) / 4;
    RouterWithAgent router(terms, *rc::gen::inRange<Time>(0, max_answer), random_source());
    router.run_until(draw_ms(1, 3'000));
    if (*rc::gen::arbitrary<bool>()) {
      router.begin_outage();
      router.run_until(router.now() + draw_ms(1, 8'000));
      router.end_outage();
    }
    router.change_list();
    check_in_effect_within_grace(router, terms);
  }));
}

TEST_CASE("a router calls its agent no more often than its waits say, whatever the agent answers") {
  CHECK(rc::check([] {
    const DiscoveryTerms terms{.drain_grace = draw_ms(1, 5'000), .uses_local_agent = true};
    const core::DiscoveryWaits waits = core::derive_discovery_waits(terms);
    const Time shortest = std::max(milliseconds(25), (terms.drain_grace - kHeldUp) / 4) / 2;
    RC_ASSERT(waits.min_call_spacing >= std::min(shortest, milliseconds(300)));
    RC_ASSERT(waits.unanswered.min >= std::min(2 * shortest, seconds(1)));
    RC_ASSERT(waits.rejected.min >= std::min(2 * shortest, milliseconds(100)));
    RC_ASSERT(waits.watch >= std::min(3 * shortest, seconds(1)));
    if (terms.drain_grace >= milliseconds(kMinGraceMs)) RC_ASSERT(waits.meets_deadline());
  }));
}
