// The core without sockets: the tests set the clock, and the transport records its calls.
#include "core/request_manager.hpp"

#include <catch2/catch.hpp>

#include "core/slow_start_budget.hpp"

using namespace thornwick;
using namespace thornwick::core;

namespace {

// Implements all interfaces of the core, with one client and a clock that advance_to() sets.
struct CoreEnvironment : Clock, UpstreamTransport, Discovery, PeerTransport, Reply {
  CoreEnvironment() {
    settings.classes.push_back({.latency_objective = seconds(2), .deadline = seconds(8)});
    settings.max_attempts = 9;
    settings.may_cancel = true;
    settings.retry_after = true;
    settings.max_retry_after = seconds(2);
  }

  Time now() const override { return time; }
  void wake_at(Time when) override { wake_up_at = when; }
  void launch(AttemptId attempt, ReplicaId, std::shared_ptr<const Payload>, Time, std::uint16_t) override {
    CHECK(attempts.empty());  // at most one attempt is in flight
    attempts.push_back(attempt);
    ++launched;
  }
  bool abandon(AttemptId attempt) override { return std::erase(attempts, attempt) > 0 && request_written; }
  void pause_reading(AttemptId) override {}
  void resume_reading(AttemptId) override {}
  void probe(ReplicaId) override {}
  void subscribe() override {}
  void fetch() override {}
  void send(std::uint32_t, const std::string&) override {}
  void send_event(const StreamEvent& forwarded) override { events += forwarded.text; }
  void finish() override { ++finished; }
  void abort_answer() override { ++broken; }
  void reject(Time advised_retry_after) override {
    ++rejected;
    retry_after = advised_retry_after;
  }
  void fail(FailureReason, Time advised_retry_after) override {
    ++failed;
    retry_after = advised_retry_after;
  }
  bool client_connected() override { return connected; }
  int answers() const { return finished + broken + rejected + failed; }

  void list_replicas(RequestManager& core, int count) {
    std::vector<Endpoint> entries;
    for (int i = 1; i <= count; ++i) entries.push_back({.id = static_cast<ReplicaId>(i)});
    core.on_endpoints(EndpointUpdate::full, entries);
  }
  void advance_to(RequestManager& core, Time when) {
    while (wake_up_at <= when) {
      time = std::max(time, std::exchange(wake_up_at, kNever));
      core.wake();
    }
    time = when;
  }
  RequestId admit(RequestManager& core) {
    return core.admit({{.deadline = time + seconds(5), .prompt_tokens = 50, .max_tokens = 50}, nullptr},
                      *this);
  }

  static constexpr Time kNever = std::numeric_limits<Time>::max();
  Settings settings;
  bool connected = true;
  bool request_written = true;
  Time time = seconds(1'000);
  Time wake_up_at = kNever;
  Time retry_after = 0;
  std::vector<AttemptId> attempts;
  int launched = 0;
  int finished = 0;
  int broken = 0;
  int rejected = 0;
  int failed = 0;
  std::string events;
};

StreamEvent delta(const std::string& text) {
  StreamEvent event;
  event.kind = EventKind::delta;
  event.text = text;
  return event;
}

}  // namespace

TEST_CASE("without any endpoint list, a request gets exactly one final answer within the deadline slack") {
  CoreEnvironment environment;
  RequestManager core(environment.settings, {environment, environment, environment, environment});
  const Time start = environment.time;
  environment.admit(core);
  CHECK(environment.answers() == 0);
  environment.advance_to(core, start + seconds(5) + kDeadlineSlack);
  CHECK(environment.answers() == 1);
  CHECK(environment.retry_after > 0);
  CHECK(core.open_requests() == 0);
}

TEST_CASE("an attempt without an answer is abandoned at the deadline, before the one final answer") {
  CoreEnvironment environment;
  RequestManager core(environment.settings, {environment, environment, environment, environment});
  environment.list_replicas(core, 3);
  environment.admit(core);
  REQUIRE(environment.attempts.size() == 1);
  environment.advance_to(core, environment.time + seconds(5) + kDeadlineSlack);
  CHECK(environment.attempts.empty());
  CHECK(environment.answers() == 1);
}

TEST_CASE("failed attempts are retried up to the limit of the settings and end in one final answer") {
  CoreEnvironment environment;
  RequestManager core(environment.settings, {environment, environment, environment, environment});
  environment.list_replicas(core, 20);
  environment.admit(core);
  while (!environment.attempts.empty()) {
    const AttemptId attempt = environment.attempts.back();
    environment.attempts.clear();
    core.attempt_ended(attempt, Outcome::connect_failed);
    core.attempt_ended(attempt, Outcome::connect_failed);  // the second end of an attempt is ignored
  }
  CHECK(environment.launched > 1);
  CHECK(environment.launched <= static_cast<int>(environment.settings.max_attempts));
  CHECK(environment.answers() == 1);
}

TEST_CASE("after the first event the deadline does not apply and no other attempt is made") {
  CoreEnvironment environment;
  RequestManager core(environment.settings, {environment, environment, environment, environment});
  environment.list_replicas(core, 3);
  environment.admit(core);
  const AttemptId attempt = environment.attempts.back();
  core.attempt_event(attempt, delta("one"));
  environment.advance_to(core, environment.time + seconds(60));
  CHECK(environment.answers() == 0);
  core.attempt_ended(attempt, Outcome::reset);
  CHECK(environment.broken == 1);
  CHECK(environment.launched == 1);
  core.attempt_event(attempt, delta("two"));
  CHECK(environment.events == "one");
  CHECK(environment.answers() == 1);
}

TEST_CASE("the attempt of a client that disconnects is abandoned, and nothing is answered") {
  CoreEnvironment environment;
  RequestManager core(environment.settings, {environment, environment, environment, environment});
  environment.list_replicas(core, 3);
  core.client_disconnected(environment.admit(core));
  CHECK(environment.attempts.empty());
  environment.advance_to(core, environment.time + seconds(6));
  CHECK(environment.answers() == 0);
  CHECK(core.counters().client_disconnected == 1);
}

// The only ready replica has just started. It gets the requests that it can process, and the other requests
// are answered at once.
TEST_CASE(
    "a burst of requests for a cold replica is answered, and no more requests are sent than the budget "
    "allows") {
  CoreEnvironment environment;
  environment.settings.tenants.push_back({.share = 1, .quota_per_s = 5});
  environment.settings.warm_up = milliseconds(8700);
  environment.settings.initial_capacity = 0.3;
  environment.settings.overload_multiple = 3;
  environment.settings.overload_after = seconds(2);
  auto budget = std::make_unique<SlowStartBudget>(make_routing_policy(environment.settings, environment.time),
                                                  environment.settings, environment.time - seconds(10));
  RequestManager core(environment.settings, {environment, environment, environment, environment},
                      std::move(budget));
  const Endpoint warming_up[] = {{.id = 1, .started_at = environment.time - seconds(4)}};
  core.on_endpoints(EndpointUpdate::full, warming_up);
  for (int i = 0; i < 200; ++i) {
    const auto id = environment.admit(core);
    if (environment.attempts.empty()) continue;
    core.attempt_event(environment.attempts.back(), delta("one"));
    core.client_disconnected(id);
  }
  // The limit is 3 x 0.46 x 5 x 2 requests, for the capacity at the start of the window and a single router.
  CHECK(environment.launched >= 13);
  CHECK(environment.launched <= 14);
  CHECK(core.open_requests() == 0);
  CHECK(environment.rejected + environment.failed == 200 - environment.launched);
}

TEST_CASE("nothing is sent for a client that has disconnected, even before its end of file was read") {
  CoreEnvironment environment;
  RequestManager core(environment.settings, {environment, environment, environment, environment});
  SECTION("before the first attempt") {
    environment.admit(core);  // the request waits for an endpoint list
    environment.connected = false;
    environment.list_replicas(core, 3);
    environment.advance_to(core, environment.time + seconds(6));
    CHECK(environment.launched == 0);
  }
  SECTION("between two attempts") {
    environment.list_replicas(core, 3);
    environment.admit(core);
    environment.connected = false;
    const AttemptId attempt = std::exchange(environment.attempts, {}).back();
    core.attempt_ended(attempt, Outcome::connect_failed);
    CHECK(environment.launched == 1);
  }
  SECTION("while an attempt's connection comes up") {
    environment.list_replicas(core, 3);
    environment.admit(core);
    const AttemptId attempt = environment.attempts.back();
    CHECK(core.client_is_waiting(attempt));
    environment.connected = false;
    CHECK_FALSE(core.client_is_waiting(attempt));
    CHECK(environment.attempts.empty());
  }
  CHECK(core.open_requests() == 0);
  CHECK(core.counters().client_disconnected == 1);
  CHECK(environment.answers() == 0);
  environment.advance_to(core, environment.time + seconds(6));
  CHECK(core.pending_timers() == 0);
}

// Requests of an unsafe class must not run twice. A rejection states to the client that its request did not
// run.
TEST_CASE("a request that was never written completely is rejected rather than failed") {
  CoreEnvironment environment;
  environment.settings.classes[0].effect = Effect::unsafe;
  RequestManager core(environment.settings, {environment, environment, environment, environment});
  SECTION("its connection did not come up in time") {
    environment.list_replicas(core, 3);
    environment.request_written = false;
    environment.admit(core);
    REQUIRE(environment.attempts.size() == 1);
    environment.advance_to(core, environment.time + seconds(5) + kDeadlineSlack);
    CHECK((environment.rejected == 1 && environment.failed == 0));
    CHECK(core.counters().outcomes.at(Outcome::not_sent) == 1);
  }
  SECTION("it was never sent in an attempt") {
    environment.admit(core);
    environment.advance_to(core, environment.time + seconds(5) + kDeadlineSlack);
    CHECK((environment.rejected == 1 && environment.failed == 0));
  }
  SECTION("it was written, and no answer arrived") {
    environment.list_replicas(core, 3);
    environment.admit(core);
    environment.advance_to(core, environment.time + seconds(5) + kDeadlineSlack);
    CHECK((environment.rejected == 0 && environment.failed == 1));
    CHECK(core.counters().outcomes.at(Outcome::timed_out) == 1);
  }
  CHECK(environment.answers() == 1);
  CHECK(environment.launched <= 1);
}

// Guards against timers that remain until the deadline, possibly for an hour, of a request that has ended.
TEST_CASE("no timer outlives its request") {
  CoreEnvironment environment;
  RequestManager core(environment.settings, {environment, environment, environment, environment});
  environment.list_replicas(core, 3);
  for (int i = 0; i < 50; ++i) {
    const auto id = core.admit(
        {{.deadline = environment.time + seconds(3600), .prompt_tokens = 50, .max_tokens = 50}, nullptr},
        environment);
    if (i % 2 == 0) {
      core.client_disconnected(id);
    } else {
      core.attempt_event(environment.attempts.back(), delta("one"));
      core.attempt_ended(environment.attempts.back(), Outcome::reset);
    }
  }
  environment.advance_to(core, environment.time + seconds(10));  // later than the routing policy's own timers
  CHECK(core.pending_timers() == 0);
}

// Guards against a repeat that is decided within the window and sent after it, because its connection came up
// late.
TEST_CASE("a repeat whose connection comes up after the window of its class is not sent") {
  CoreEnvironment environment;
  environment.settings.classes[0].effect = Effect::keyed;
  environment.settings.classes[0].dedup_window = milliseconds(100);
  RequestManager core(environment.settings, {environment, environment, environment, environment});
  environment.list_replicas(core, 3);
  environment.admit(core);
  const Time first_sent = environment.time;
  const AttemptId first = std::exchange(environment.attempts, {}).back();
  CHECK(core.repeat_is_allowed(first));
  environment.advance_to(core, first_sent + milliseconds(50));
  core.attempt_ended(first, Outcome::error);
  REQUIRE(environment.launched == 2);
  const AttemptId second = environment.attempts.back();
  environment.advance_to(core, first_sent + milliseconds(100) - 1);
  CHECK(core.repeat_is_allowed(second));
  environment.advance_to(core, first_sent + milliseconds(100));
  CHECK_FALSE(core.repeat_is_allowed(second));
  environment.attempts.clear();
  core.attempt_ended(second, Outcome::not_sent);
  CHECK(environment.launched == 2);
  CHECK((environment.rejected == 1 && environment.answers() == 1));
}
