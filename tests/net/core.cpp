// The core without sockets: a clock that is set by hand, and an egress that only keeps count.
#include <catch2/catch.hpp>

#include "core/request_manager.hpp"
#include "core/slow_start_budget.hpp"

using namespace thornwick;
using namespace thornwick::core;

namespace {

struct World : Clock, UpstreamTransport, Discovery, PeerTransport, Reply {
  World() {
    settings.classes.push_back({.latency_objective = 2'000'000, .deadline = 8'000'000});
    settings.max_attempts = 9;
    settings.may_cancel = settings.retry_after = true;
    settings.max_retry_after = 2'000'000;
  }

  Time now() const override { return time; }
  void wake_at(Time when) override { wake = when; }
  void launch(AttemptId attempt, ReplicaId, std::shared_ptr<const Payload>, Time, std::uint16_t) override {
    CHECK(out.empty());  // never two at once
    out.push_back(attempt);
    ++launched;
  }
  bool abandon(AttemptId attempt) override { return std::erase(out, attempt) > 0 && written; }
  void hold(AttemptId, bool) override {}
  void probe(ReplicaId) override {}
  void watch() override {}
  void fetch() override {}
  void tell(std::uint32_t, const std::string&) override {}
  void event(const StreamEvent& e) override { events += e.text; }
  void finish() override { ++whole; }
  void break_off() override { ++broken; }
  void reject(Time back) override { ++rejected, retry_after = back; }
  void fail(Failure, Time back) override { ++failed, retry_after = back; }
  bool client_there() override { return there; }
  int answers() const { return whole + broken + rejected + failed; }

  void list(RequestManager& core, int count) {
    std::vector<Endpoint> entries;
    for (int i = 1; i <= count; ++i) entries.push_back({.id = static_cast<ReplicaId>(i)});
    core.on_endpoints(EndpointUpdate::full, entries);
  }
  void advance_to(RequestManager& core, Time when) {
    while (wake <= when) {
      time = std::max(time, std::exchange(wake, kNever));
      core.wake();
    }
    time = when;
  }
  RequestId ask(RequestManager& core) {
    return core.admit({{.due = time + 5'000'000, .prompt_tokens = 50, .max_tokens = 50}, nullptr}, *this);
  }

  static constexpr Time kNever = std::numeric_limits<Time>::max();
  Settings settings;
  bool there = true, written = true;
  Time time = seconds(1'000), wake = kNever, retry_after = 0;
  std::vector<AttemptId> out;
  int launched = 0, whole = 0, broken = 0, rejected = 0, failed = 0;
  std::string events;
};

StreamEvent delta(const std::string& text) {
  StreamEvent event;
  event.kind = EventKind::delta;
  event.text = text;
  return event;
}

}  // namespace

TEST_CASE("an exchange without any list gets its one final answer within the slack") {
  World world;
  RequestManager core(world.settings, {world, world, world, world});
  const Time start = world.time;
  world.ask(core);
  CHECK(world.answers() == 0);
  world.advance_to(core, start + 5'000'000 + kDeadlineSlack);
  CHECK(world.answers() == 1);
  CHECK(world.retry_after > 0);
  CHECK(core.open() == 0);
}

TEST_CASE("a silent attempt is closed at the deadline, before the one final answer") {
  World world;
  RequestManager core(world.settings, {world, world, world, world});
  world.list(core, 3);
  world.ask(core);
  REQUIRE(world.out.size() == 1);
  world.advance_to(core, world.time + 5'000'000 + kDeadlineSlack);
  CHECK(world.out.empty());
  CHECK(world.answers() == 1);
}

TEST_CASE("attempts that fail follow one another, as many as the settings allow, and end in one answer") {
  World world;
  RequestManager core(world.settings, {world, world, world, world});
  world.list(core, 20);
  world.ask(core);
  while (!world.out.empty()) {
    const AttemptId attempt = world.out.back();
    world.out.clear();
    core.attempt_ended(attempt, Outcome::connect_failed);
    core.attempt_ended(attempt, Outcome::connect_failed);  // a second end of an attempt is no news
  }
  CHECK(world.launched > 1);
  CHECK(world.launched <= static_cast<int>(world.settings.max_attempts));
  CHECK(world.answers() == 1);
}

TEST_CASE("after the first event there is no deadline and no other attempt") {
  World world;
  RequestManager core(world.settings, {world, world, world, world});
  world.list(core, 3);
  world.ask(core);
  const AttemptId attempt = world.out.back();
  core.attempt_event(attempt, delta("one"));
  world.advance_to(core, world.time + 60'000'000);
  CHECK(world.answers() == 0);
  core.attempt_ended(attempt, Outcome::reset);
  CHECK(world.broken == 1);
  CHECK(world.launched == 1);
  core.attempt_event(attempt, delta("two"));
  CHECK(world.events == "one");
  CHECK(world.answers() == 1);
}

TEST_CASE("a client that goes takes its attempt along and gets no answer") {
  World world;
  RequestManager core(world.settings, {world, world, world, world});
  world.list(core, 3);
  core.client_gone(world.ask(core));
  CHECK(world.out.empty());
  world.advance_to(core, world.time + 6'000'000);
  CHECK(world.answers() == 0);
  CHECK(core.counters().gone == 1);
}

// All that is ready has just started: it gets what it can bear, and the others of a crowd their answer at
// once.
TEST_CASE("a crowd at a cold replica is answered, and no more of it is sent than the budget covers") {
  World world;
  world.settings.tenants.push_back({.share = 1, .quota_per_s = 5});
  world.settings.warm_up = 8'700'000, world.settings.initial_capacity = 0.3,
  world.settings.overload_multiple = 3, world.settings.overload_after = 2'000'000;
  auto budget = std::make_unique<SlowStartBudget>(make_routing_policy(world.settings, world.time),
                                                  world.settings, world.time - 10'000'000);
  RequestManager core(world.settings, {world, world, world, world}, std::move(budget));
  const Endpoint warm_up[] = {{.id = 1, .started = world.time - 4'000'000}};
  core.on_endpoints(EndpointUpdate::full, warm_up);
  for (int i = 0; i < 200; ++i) {
    const auto id = world.ask(core);
    if (world.out.empty()) continue;
    core.attempt_event(world.out.back(), delta("one"));
    core.client_gone(id);
  }
  // 3 x 0.46 x 5 x 2, as of a window ago; there is one router, and all of it is its part.
  CHECK(world.launched >= 13);
  CHECK(world.launched <= 14);
  CHECK(core.open() == 0);
  CHECK(world.rejected + world.failed == 200 - world.launched);
}

TEST_CASE("nothing is sent for a client whose end nobody has read yet") {
  World world;
  RequestManager core(world.settings, {world, world, world, world});
  SECTION("before the first attempt") {
    world.ask(core);  // waits: there is no list
    world.there = false;
    world.list(core, 3);
    world.advance_to(core, world.time + 6'000'000);
    CHECK(world.launched == 0);
  }
  SECTION("between two attempts") {
    world.list(core, 3);
    world.ask(core);
    world.there = false;
    const AttemptId attempt = std::exchange(world.out, {}).back();
    core.attempt_ended(attempt, Outcome::connect_failed);
    CHECK(world.launched == 1);
  }
  SECTION("while an attempt's connection comes up") {
    world.list(core, 3);
    world.ask(core);
    const AttemptId attempt = world.out.back();
    CHECK(core.still_wanted(attempt));
    world.there = false;
    CHECK_FALSE(core.still_wanted(attempt));
    CHECK(world.out.empty());
  }
  CHECK(core.open() == 0);
  CHECK(core.counters().gone == 1);
  CHECK(world.answers() == 0);
  world.advance_to(core, world.time + 6'000'000);
  CHECK(core.timers() == 0);
}

// A class that must not run twice: what has not run may be repeated, and its client has to hear so.
TEST_CASE("what was never written whole has not run, and is refused, not failed") {
  World world;
  world.settings.classes[0].effect = Effect::unsafe;
  RequestManager core(world.settings, {world, world, world, world});
  SECTION("its connection did not come up in time") {
    world.list(core, 3);
    world.written = false;
    world.ask(core);
    REQUIRE(world.out.size() == 1);
    world.advance_to(core, world.time + 5'000'000 + kDeadlineSlack);
    CHECK((world.rejected == 1 && world.failed == 0));
    CHECK(core.counters().outcomes.at(Outcome::not_sent) == 1);
  }
  SECTION("it never had an attempt") {
    world.ask(core);
    world.advance_to(core, world.time + 5'000'000 + kDeadlineSlack);
    CHECK((world.rejected == 1 && world.failed == 0));
  }
  SECTION("it was written, and nothing came") {
    world.list(core, 3);
    world.ask(core);
    world.advance_to(core, world.time + 5'000'000 + kDeadlineSlack);
    CHECK((world.rejected == 0 && world.failed == 1));
    CHECK(core.counters().outcomes.at(Outcome::timed_out) == 1);
  }
  CHECK(world.answers() == 1);
  CHECK(world.launched <= 1);
}

// A client that would wait for an hour once left its alarms behind for as long.
TEST_CASE("no alarm outlives its exchange") {
  World world;
  RequestManager core(world.settings, {world, world, world, world});
  world.list(core, 3);
  for (int i = 0; i < 50; ++i) {
    const auto id = core.admit(
        {{.due = world.time + 3'600'000'000, .prompt_tokens = 50, .max_tokens = 50}, nullptr}, world);
    if (i % 2 == 0) {
      core.client_gone(id);
    } else {
      core.attempt_event(world.out.back(), delta("one"));
      core.attempt_ended(world.out.back(), Outcome::reset);
    }
  }
  world.advance_to(core, world.time + 10'000'000);  // past the module's own timers
  CHECK(core.timers() == 0);
}
