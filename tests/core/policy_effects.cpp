// The routing policy alone, as behind the simulator's wire, where no core checks its sends and answers: held
// against rule 2 of the wire protocol in random orders of arrivals, outcomes, first tokens, lists and timers.
#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <map>
#include <queue>

#include "../support/effect_oracle.hpp"
#include "thornwick/routing_policy.hpp"

using namespace thornwick;
using thornwick::testing::EffectOracle;
using thornwick::testing::SecondCopies;

namespace {

constexpr ReplicaId kReplicas = 8;
constexpr Time kTimeLimit = seconds(4);  // of each request

struct OutstandingAttempt {
  RequestId id = 0;
  std::uint8_t number = 0;
  ReplicaId replica = 0;
  Time sent_at = 0;
};

// Plays the simulator's part around one policy.
class PolicyWorld {
 public:
  PolicyWorld(const Settings& settings, SecondCopies second_copies)
      : settings_(settings), second_copies_(second_copies), policy_(settings, time_) {
    for (ReplicaId id = 1; id <= kReplicas; ++id) list(id, EndpointState::ready);
  }

  void list(ReplicaId id, EndpointState state) {
    const Endpoint entry{.id = id,
                         .state = state,
                         .zone = static_cast<std::uint16_t>(id % 2),
                         .cell = static_cast<std::uint16_t>(id % 4)};
    replicas_[id] = entry;
    policy_.on_endpoints(time_, EndpointUpdate::delta, std::span(&entry, 1));
    carry_out();
  }
  void arrive() {
    const RequestId id = ++last_id_;
    open_.emplace(id, EffectOracle(settings_.classes.front(), second_copies_));
    policy_.on_request(
        time_,
        {.id = id, .deadline = time_ + kTimeLimit, .prompt_tokens = 100, .max_tokens = 50, .session = id});
    carry_out();
  }
  void end_attempt(std::size_t index, Outcome outcome) {
    if (outstanding_.empty()) return;
    const auto ended = outstanding_.begin() + static_cast<std::ptrdiff_t>(index % outstanding_.size());
    const OutstandingAttempt attempt = *ended;
    outstanding_.erase(ended);
    const auto open = open_.find(attempt.id);
    if (open != open_.end()) open->second.on_outcome(attempt.number, outcome);
    const bool concluded = open == open_.end() || outcome == Outcome::served;
    if (concluded) open_.erase(attempt.id);
    policy_.on_attempt_result(time_, {.id = attempt.id,
                                      .attempt = attempt.number,
                                      .replica = attempt.replica,
                                      .outcome = outcome,
                                      .elapsed = time_ - attempt.sent_at,
                                      .concluded = concluded});
    carry_out();
  }
  void advance(Time duration) {
    const Time end = time_ + duration;
    while (!timers_.empty() && timers_.top().first <= end) {
      time_ = std::max(time_, timers_.top().first);
      const std::uint32_t token = timers_.top().second;
      timers_.pop();
      policy_.on_timer(time_, token);
      carry_out();
    }
    time_ = end;
  }

  std::size_t open() const { return open_.size(); }

  int repeats = 0;
  int harmful_sends = 0;
  int rejections = 0;
  int failures = 0;
  int harmful_rejections = 0;

 private:
  using Timer = std::pair<Time, std::uint32_t>;

  void carry_out() {
    for (const Action& action : policy_.take_actions()) {
      if (action.kind == ActionKind::set_timer)
        timers_.emplace(std::max(action.time, time_ + 1), action.token);
      const auto open = open_.find(action.id);
      if (open == open_.end()) continue;
      if (action.kind == ActionKind::send) send(open->second, action);
      if (action.kind == ActionKind::reject) reject(open->second);
      if (action.kind == ActionKind::fail) ++failures;
      if (action.kind == ActionKind::reject || action.kind == ActionKind::fail) open_.erase(open);
    }
  }
  void send(EffectOracle& oracle, const Action& action) {
    const std::uint8_t number = attempts_[action.id]++;
    repeats += oracle.may_have_executed() ? 1 : 0;
    harmful_sends += oracle.on_send(number, replicas_.at(action.replica), time_) ? 0 : 1;
    outstanding_.push_back({action.id, number, action.replica, time_});
  }
  void reject(const EffectOracle& oracle) {
    rejections += oracle.may_have_executed() ? 1 : 0;
    harmful_rejections += oracle.permits_rejection() ? 0 : 1;
  }

  Settings settings_;
  SecondCopies second_copies_;
  Time time_ = seconds(1'000);
  RoutingPolicy policy_;
  std::map<ReplicaId, Endpoint> replicas_;
  std::map<RequestId, EffectOracle> open_;
  std::map<RequestId, std::uint8_t> attempts_;
  std::vector<OutstandingAttempt> outstanding_;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
  RequestId last_id_ = 0;
};

Settings drawn_settings(SecondCopies second_copies) {
  ClassSettings request_class;
  request_class.effect = *rc::gen::element(Effect::safe, Effect::keyed, Effect::unsafe);
  request_class.dedup_scope = *rc::gen::element(DedupScope::all, DedupScope::zone, DedupScope::cell);
  request_class.dedup_window = milliseconds(*rc::gen::inRange(0, 3'000));
  request_class.late_weight_fraction = *rc::gen::element(0.0, 0.3);
  Settings settings;
  settings.classes = {request_class};
  settings.seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
  settings.zone_count = 2;
  settings.max_attempts = 5;
  settings.may_cancel = true;
  settings.hedging = second_copies == SecondCopies::allowed;
  return settings;
}

void play_step(PolicyWorld& world) {
  switch (*rc::gen::inRange(0, 16)) {
    case 0: {
      const auto state =
          *rc::gen::element(EndpointState::ready, EndpointState::ready, EndpointState::draining);
      return world.list(*rc::gen::inRange<ReplicaId>(1, kReplicas + 1), state);
    }
    case 1:
    case 2: return world.advance(milliseconds(*rc::gen::inRange(0, 1'200)));
    case 3:
    case 4:
    case 5:
    case 6:
    case 7: return world.arrive();
    default: {
      const auto outcome =
          *rc::gen::element(Outcome::served, Outcome::error, Outcome::full, Outcome::timed_out,
                            Outcome::connect_failed, Outcome::reset, Outcome::cancelled, Outcome::not_sent);
      return world.end_attempt(*rc::gen::inRange<std::size_t>(0, 100), outcome);
    }
  }
}

}  // namespace

// Guards against a request that runs twice by a decision of the routing policy, which the simulator carries
// out as it is.
TEST_CASE("the routing policy alone keeps the rule against duplicate effects in its sends and rejections") {
  int repeats = 0;
  int rejections = 0;
  int failures = 0;
  CHECK(rc::check("no harmful rejection and no harmful send", [&] {
    const auto second_copies = *rc::gen::element(SecondCopies::forbidden, SecondCopies::allowed);
    PolicyWorld world(drawn_settings(second_copies), second_copies);
    const int steps = *rc::gen::inRange(50, 300);
    for (int i = 0; i < steps; ++i) play_step(world);
    world.advance(2 * kTimeLimit);
    RC_ASSERT(world.harmful_sends == 0);
    RC_ASSERT(world.harmful_rejections == 0);
    RC_ASSERT(world.open() == 0u);
    repeats += world.repeats;
    rejections += world.rejections;
    failures += world.failures;
  }));
  // The random orders reach what the property is about.
  CHECK(repeats > 100);
  CHECK(rejections > 100);
  CHECK(failures > 100);
}
