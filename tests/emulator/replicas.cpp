// The engines of emulated replicas: steps, slots, memory, cached prompts, and the plain queue.
#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <map>

#include "emulator/engine.hpp"

using namespace thornwick;
using namespace thornwick::emulator;

namespace {

// Round metrics: a step takes 10 ms, and a thousand tokens are read in another 10.
ModelLimits round_limits() {
  ModelLimits limits;
  limits.slots = 4;
  limits.queue = 2;
  limits.memory_tokens = 20'000;
  limits.chunk = 1000;
  limits.step_us = 10'000;
  limits.per_sequence_us = 0;
  limits.context_us_per_k = 0;
  limits.read_per_s = 100'000;
  limits.block = 1;
  return limits;
}

struct Played {
  std::map<Job, Time> began;
  std::map<Job, Time> done;
  std::map<Job, double> cached;
  std::map<Job, double> generated;
};

void play(Engine& engine, Played& played, Time until) {
  std::vector<Report> reports;
  while (engine.next_event_at() <= until) {
    const Time at = engine.next_event_at();
    engine.advance(at, reports);
    for (const auto& report : reports) {
      if (report.kind == ReportKind::first_token) {
        played.began[report.job] = at;
        played.cached[report.job] = report.cached;
      }
      if (report.kind == ReportKind::completed) {
        played.done[report.job] = at;
        played.generated[report.job] = report.generated;
      }
    }
    reports.clear();
  }
}

Work work(Job job, double prompt, double generated, std::uint64_t session = 0) {
  return {.job = job, .session = session, .prompt = prompt, .generated = generated};
}

}  // namespace

TEST_CASE("a prompt is read in chunks, and its first token comes with the last of them") {
  const auto replica = make_model_replica(round_limits(), 1);
  Played played;
  REQUIRE(replica->offer(0, work(1, 2500, 3)));
  play(*replica, played, 1'000'000);
  CHECK(played.began[1] == 20'000 + 20'000 + 15'000);
  CHECK(played.done[1] == played.began[1] + 2 * 10'000);
  CHECK(replica->load().running == 0);
}

TEST_CASE("a run of steps ends for a new request at the end of the current step") {
  const auto replica = make_model_replica(round_limits(), 1);
  Played played;
  replica->offer(0, work(1, 100, 101));
  play(*replica, played, 11'000);
  REQUIRE(played.began[1] == 11'000);
  replica->offer(24'000, work(2, 500, 1));  // within the step from 21 to 31 ms
  play(*replica, played, 2'000'000);
  CHECK(played.began[2] == 31'000 + 15'000);
  // 101 tokens: one with the reading, then steps of 10 ms, one of them 5 ms longer for the newcomer's
  // reading.
  CHECK(played.done[1] == 11'000 + 100 * 10'000 + 5'000);
}

TEST_CASE("steps grow with contexts, in one event as in many") {
  ModelLimits limits = round_limits();
  limits.per_sequence_us = 100;
  limits.context_us_per_k = 1000;
  const auto whole = make_model_replica(limits, 2);
  const auto cut = make_model_replica(limits, 2);
  Played a;
  Played b;
  whole->offer(0, work(1, 1000, 500));
  cut->offer(0, work(1, 1000, 500));
  play(*whole, a, 100'000'000);
  for (Time at = milliseconds(1); at < 10'000'000; at += 13'000) {
    play(*cut, b, at);
    cut->set_speed_factor(at, 1);  // ends the run, changes nothing
  }
  play(*cut, b, 100'000'000);
  CHECK(std::abs(a.done[1] - b.done[1]) <= 500);  // each event is rounded to a microsecond
}

TEST_CASE("slots and queue are bounded, and work beyond them is rejected") {
  const auto replica = make_model_replica(round_limits(), 1);
  int taken = 0;
  for (Job job = 1; job <= 9; ++job) taken += replica->offer(0, work(job, 100, 10));
  CHECK(taken == 4 + 2);
}

TEST_CASE("a session's next prompt is read from the end of the cached one") {
  const auto replica = make_model_replica(round_limits(), 1);
  Played played;
  replica->offer(0, work(1, 2000, 10, 77));
  play(*replica, played, 1'000'000);
  replica->offer(1'000'000, work(2, 2500, 10, 77));
  play(*replica, played, 2'000'000);
  CHECK(played.cached[2] == 2010);  // prompt and answer
  CHECK(played.began[2] == 1'000'000 + 10'000 + 4'900);
  replica->evict_cached(1);
  replica->offer(2'000'000, work(3, 3000, 10, 77));
  play(*replica, played, 3'000'000);
  CHECK(played.cached[3] == 0);
}

TEST_CASE("cached prompts are evicted when memory is needed, the least recently used first") {
  const auto replica = make_model_replica(round_limits(), 1);
  Played played;
  Time at = 0;
  for (Job job = 1; job <= 5; ++job) {
    replica->offer(at, work(job, 4990, 10, 100 + job));
    play(*replica, played, at += 1'000'000);
  }
  CHECK(replica->load().cached_tokens <= 20'000);
  replica->offer(at, work(6, 5500, 10, 101));
  play(*replica, played, at += 1'000'000);
  CHECK(played.cached[6] == 0);
  replica->offer(at, work(7, 5500, 10, 105));
  play(*replica, played, at += 1'000'000);
  CHECK(played.cached[7] == 5000);
}

TEST_CASE("when running contexts outgrow the memory the newest is preempted, and still completes") {
  ModelLimits limits = round_limits();
  limits.memory_tokens = 3000;
  const auto replica = make_model_replica(limits, 1);
  Played played;
  replica->offer(0, work(1, 1000, 900));
  replica->offer(0, work(2, 1000, 900));
  play(*replica, played, 60'000'000);
  CHECK(played.generated[1] == 900);
  CHECK(played.generated[2] == 900);
  CHECK(played.done[2] > played.done[1] + 1'000'000);
}

// Each accepted request completes once, with all its tokens, and the replica is empty afterwards.
TEST_CASE("every request that a replica accepts completes once, whatever arrives when") {
  CHECK(rc::check([] {
    ModelLimits limits = round_limits();
    limits.memory_tokens = *rc::gen::inRange(3000, 30'000);
    limits.slots = *rc::gen::inRange<std::size_t>(1, 6);
    limits.per_sequence_us = *rc::gen::inRange(0, 500);
    limits.context_us_per_k = *rc::gen::inRange(0, 500);
    const auto replica = make_model_replica(limits, 1);
    Played played;
    double asked = 0;
    std::size_t taken = 0;
    Time at = 0;
    const int count = *rc::gen::inRange(1, 40);
    for (int i = 1; i <= count; ++i) {
      at += *rc::gen::inRange(0, 100'000);
      play(*replica, played, at);
      if (*rc::gen::inRange(0, 8) == 0) replica->set_speed_factor(at, 0.5 + 0.1 * *rc::gen::inRange(0, 10));
      const Work offered = work(static_cast<Job>(i), *rc::gen::inRange(1, 2500), *rc::gen::inRange(1, 300),
                                *rc::gen::inRange<std::uint64_t>(0, 5));
      if (!replica->offer(at, offered)) continue;
      ++taken;
      asked += offered.generated;
    }
    play(*replica, played, at + 10'000'000'000);
    RC_ASSERT(played.done.size() == taken);
    RC_ASSERT(replica->load().completed_tokens == asked);
    RC_ASSERT(replica->load().running + replica->load().waiting == 0u);
    RC_ASSERT(replica->load().context_tokens == 0.0);
    RC_ASSERT(std::abs(replica->load().unread_tokens) < 1e-6);
    RC_ASSERT(replica->load().cached_tokens <= limits.memory_tokens);
  }));
}

TEST_CASE("a plain queue serves one after the other, and a change of pace takes effect at once") {
  const auto replica = make_queue_replica(2);
  Played played;
  replica->offer(0, {.job = 1, .generated = 1, .size = 1000});
  replica->offer(100, {.job = 2, .generated = 1, .size = 1000});
  play(*replica, played, 500);
  CHECK(played.done[1] == 500);
  replica->set_speed_factor(750, 0.5);  // half of it is done
  play(*replica, played, 10'000);
  CHECK(played.done[2] == 1250);
}
