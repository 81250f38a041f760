// The core between a decider that knows no rule and replicas that end attempts in any way: which sends it
// carries out, and which final answers it gives, held against rule 2 of the wire protocol.
#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <map>

#include "../support/effect_oracle.hpp"
#include "core/request_manager.hpp"

using namespace thornwick;
using namespace thornwick::core;
using thornwick::testing::EffectOracle;

namespace {

constexpr Time kTimeLimit = seconds(5);   // of each request
constexpr RequestId kRecentRequests = 3;  // the newest, which steps are about
constexpr ReplicaId kReplicas = 8;        // listed; the next ids are not

Endpoint endpoint(ReplicaId id) {
  Endpoint result;
  result.id = id;
  result.zone = static_cast<std::uint16_t>(id % 2);
  result.cell = static_cast<std::uint16_t>(id % 4);  // each cell is in one zone
  return result;
}

// Decides on the actions that the test puts here, whatever has happened to their requests.
class CarelessDecider final : public Decider {
 public:
  explicit CarelessDecider(std::vector<Action>& actions) : actions_(actions) {}
  void on_endpoints(Time, EndpointUpdate, std::span<const Endpoint>) override {}
  void on_request(Time, const Request&) override {}
  void on_first_token(Time, RequestId, std::uint8_t, ReplicaId, Time) override {}
  void on_attempt_result(Time, const AttemptResult&) override {}
  void on_client_disconnected(Time, RequestId) override {}
  void on_timer(Time, std::uint32_t) override {}
  void on_probe_result(Time, ReplicaId, bool, std::span<const float>) override {}
  void on_peer_message(Time, std::uint32_t, std::span<const std::uint8_t>) override {}
  std::vector<Action> take_actions() override { return std::exchange(actions_, {}); }

 private:
  std::vector<Action>& actions_;
};

// The core with one client for each request, in virtual time.
struct CoreWorld : Clock, UpstreamTransport, Discovery, PeerTransport {
  struct Client final : Reply {
    Client(CoreWorld& its, const ClassSettings& request_class) : world(its), oracle(request_class) {}
    void send_event(const StreamEvent&) override {}
    void finish() override { ++answers; }
    void abort_answer() override { ++answers; }
    void fail(FailureReason, Time) override { ++answers, ++world.failed; }
    void reject(Time) override {
      ++answers, ++world.rejected;
      world.harmful_rejections += oracle.permits_rejection() ? 0 : 1;
    }
    CoreWorld& world;
    EffectOracle oracle;
    int answers = 0;
    bool gone = false;
  };

  explicit CoreWorld(const ClassSettings& request_class)
      : settings(settings_with(request_class)),
        core(settings, {*this, *this, *this, *this}, std::make_unique<CarelessDecider>(next)) {
    std::vector<Endpoint> entries;
    for (ReplicaId id = 1; id <= kReplicas; ++id) entries.push_back(endpoint(id));
    core.on_endpoints(EndpointUpdate::full, entries);
  }
  static Settings settings_with(const ClassSettings& request_class) {
    Settings result;
    result.classes = {request_class};
    result.zone_count = 2;
    result.max_attempts = 200;
    return result;
  }

  Time now() const override { return time; }
  void wake_at(Time when) override { wake_up_at = when; }
  void launch(AttemptId attempt, ReplicaId replica, std::shared_ptr<const Payload>, Time,
              std::uint16_t) override {
    EffectOracle& oracle = client(attempt).oracle;
    repeats += oracle.may_have_executed() ? 1 : 0;
    harmful_sends += oracle.on_send(attempt.number, endpoint(replica), time) ? 0 : 1;
    in_flight.push_back(attempt);
  }
  bool abandon(AttemptId attempt) override {
    if (std::erase(in_flight, attempt) == 0) return false;
    const bool written = ++abandoned % 3 != 0;
    client(attempt).oracle.on_outcome(attempt.number, written ? Outcome::cancelled : Outcome::not_sent);
    return written;
  }
  void pause_reading(AttemptId) override {}
  void resume_reading(AttemptId) override {}
  void probe(ReplicaId) override {}
  void subscribe() override {}
  void fetch() override {}
  void send(std::uint32_t, const std::string&) override {}

  Client& client(AttemptId attempt) { return *clients.at(attempt.request_id - 1); }
  void admit() {
    clients.push_back(std::make_unique<Client>(*this, settings.classes.front()));
    core.admit({{.deadline = time + kTimeLimit}, nullptr}, *clients.back());
  }
  void decide(const Action& action) {
    next.push_back(action);
    core.on_peer_message(0, {});  // any event makes the core take the actions
  }
  void end_attempt(std::size_t index, Outcome outcome) {
    if (in_flight.empty()) return;
    const AttemptId attempt = in_flight[index % in_flight.size()];
    std::erase(in_flight, attempt);
    client(attempt).oracle.on_outcome(attempt.number, outcome);
    core.attempt_ended(attempt, outcome);
  }
  void disconnect(RequestId id) {
    Client& leaving = *clients.at(id - 1);
    if (leaving.answers > 0 || std::exchange(leaving.gone, true)) return;
    core.client_disconnected(id);
  }
  void advance(Time duration) {
    const Time end = time + duration;
    while (wake_up_at <= end) {
      time = std::max(time, std::exchange(wake_up_at, std::numeric_limits<Time>::max()));
      core.wake();
    }
    time = end;
  }

  Settings settings;
  Time time = seconds(1'000);
  Time wake_up_at = std::numeric_limits<Time>::max();
  std::vector<Action> next;
  std::vector<std::unique_ptr<Client>> clients;  // by the core's number of their request, from 1
  std::vector<AttemptId> in_flight;
  int abandoned = 0;
  int rejected = 0;
  int failed = 0;
  int repeats = 0;
  int harmful_rejections = 0;
  int harmful_sends = 0;
  RequestManager core;  // last: it calls the members above
};

ClassSettings drawn_class() {
  ClassSettings result;
  result.effect = *rc::gen::element(Effect::safe, Effect::keyed, Effect::unsafe);
  result.dedup_scope = *rc::gen::element(DedupScope::all, DedupScope::zone, DedupScope::cell);
  result.dedup_window = milliseconds(*rc::gen::inRange(0, 3'000));
  return result;
}

std::shared_ptr<const Allowance> exceeded_limit() {
  auto allowance = std::make_shared<Allowance>();
  allowance->rejection = Allowance::Rejection::limit_exceeded;
  return allowance;
}

Action drawn_action(RequestId id) {
  Action action{.id = id};
  action.kind = *rc::gen::element(ActionKind::send, ActionKind::send, ActionKind::send, ActionKind::send,
                                  ActionKind::send, ActionKind::send, ActionKind::cancel, ActionKind::cancel,
                                  ActionKind::reject, ActionKind::reject, ActionKind::fail);
  action.replica = *rc::gen::inRange<ReplicaId>(1, kReplicas + 2);
  action.attempt = *rc::gen::inRange<std::uint8_t>(0, 4);
  if (*rc::gen::arbitrary<bool>()) action.allowance = exceeded_limit();
  if (action.kind == ActionKind::send && *rc::gen::inRange(0, 10) == 0) action.time = kNotSent;
  return action;
}

void play_step(CoreWorld& world) {
  const RequestId newest = world.clients.size();
  const RequestId oldest = newest < kRecentRequests ? 1 : newest - kRecentRequests + 1;
  const RequestId drawn_request = *rc::gen::inRange<RequestId>(oldest, newest + 1);
  switch (*rc::gen::inRange(0, 30)) {
    case 0:
    case 1: return world.admit();
    case 2: return world.disconnect(drawn_request);
    case 3:
    case 4: return world.advance(milliseconds(*rc::gen::inRange(0, 1'500)));
    case 5:
    case 6:
    case 7:
    case 8:
    case 9:
    case 10: {
      const auto outcome = *rc::gen::element(Outcome::error, Outcome::full, Outcome::timed_out,
                                             Outcome::connect_failed, Outcome::reset, Outcome::not_sent);
      return world.end_attempt(*rc::gen::inRange<std::size_t>(0, 100), outcome);
    }
    default: return world.decide(drawn_action(drawn_request));
  }
}

}  // namespace

// Guards against a decider that answers or sends without regard to what the request's attempts may have done.
TEST_CASE("whatever a decider decides, answers and sends keep the rule against duplicate effects") {
  int rejected = 0;
  int failed = 0;
  int repeats = 0;
  std::uint64_t withheld = 0;
  CHECK(rc::check("no harmful rejection and no harmful send", [&] {
    CoreWorld world(drawn_class());
    world.admit();
    const int steps = *rc::gen::inRange(100, 400);
    for (int i = 0; i < steps; ++i) play_step(world);
    world.advance(kTimeLimit + kDeadlineSlack);
    RC_ASSERT(world.harmful_rejections == 0);
    RC_ASSERT(world.harmful_sends == 0);
    RC_ASSERT(world.core.open_requests() == 0u);
    for (const auto& client : world.clients) RC_ASSERT(client->answers == (client->gone ? 0 : 1));
    rejected += world.rejected;
    failed += world.failed;
    repeats += world.repeats;
    withheld += world.core.counters().rejections_not_permitted;
  }));
  // The random orders reach what the property is about.
  CHECK(rejected > 100);
  CHECK(failed > 100);
  CHECK(repeats > 100);
  CHECK(withheld > 50);
}

// Guards against a repeat that another replica's group does not discard, whichever decider asks for it.
TEST_CASE("the core sends a keyed request again only within the group of its first replica") {
  struct Group {
    DedupScope scope;
    ReplicaId next;
    bool sent;
  };
  // Replica 1 is in zone 1 and cell 1, replica 5 too, replica 3 in zone 1 and cell 3, replica 2 in zone 0.
  const Group group = GENERATE(
      Group{DedupScope::all, 2, true}, Group{DedupScope::zone, 2, false}, Group{DedupScope::zone, 3, true},
      Group{DedupScope::cell, 3, false}, Group{DedupScope::cell, 5, true},
      Group{DedupScope::zone, kReplicas + 1, false}, Group{DedupScope::cell, 1, true});
  CoreWorld world({.effect = Effect::keyed, .dedup_scope = group.scope, .dedup_window = seconds(2)});
  world.admit();
  world.decide({.kind = ActionKind::send, .id = 1, .replica = 1});
  world.end_attempt(0, Outcome::reset);
  world.decide({.kind = ActionKind::send, .id = 1, .replica = group.next});
  CHECK(world.in_flight.size() == (group.sent ? 1 : 0));
  CHECK(world.harmful_sends == 0);
}
