// The engines of emulated replicas: steps, slots, memory, cached prompts, and the plain queue.
#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <map>

#include "emulator/engine.hpp"

using namespace thornwick;
using namespace thornwick::emulator;

namespace {

// Returns limits with round numbers: a step takes 10 ms, and reading 1,000 tokens takes another 10 ms.
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

// Times, in microseconds, and token counts of the jobs of an engine.
struct JobResults {
  std::map<Job, Time> first_token_at;
  std::map<Job, Time> completed_at;
  std::map<Job, double> cached;
  std::map<Job, double> generated;
};

// Runs the engine until there is no event up to `until`, and adds the reports to `results`.
void run_until(Engine& engine, JobResults& results, Time until) {
  std::vector<Report> reports;
  while (engine.next_event_at() <= until) {
    const Time at = engine.next_event_at();
    engine.advance(at, reports);
    for (const auto& report : reports) {
      if (report.kind == ReportKind::first_token) {
        results.first_token_at[report.job] = at;
        results.cached[report.job] = report.cached;
      }
      if (report.kind == ReportKind::completed) {
        results.completed_at[report.job] = at;
        results.generated[report.job] = report.generated;
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
  JobResults results;
  REQUIRE(replica->offer(0, work(1, 2500, 3)));
  run_until(*replica, results, 1'000'000);
  CHECK(results.first_token_at[1] == 20'000 + 20'000 + 15'000);
  CHECK(results.completed_at[1] == results.first_token_at[1] + 2 * 10'000);
  CHECK(replica->load().running == 0);
}

TEST_CASE("a new request is admitted at the end of the current step") {
  const auto replica = make_model_replica(round_limits(), 1);
  JobResults results;
  replica->offer(0, work(1, 100, 101));
  run_until(*replica, results, 11'000);
  REQUIRE(results.first_token_at[1] == 11'000);
  replica->offer(24'000, work(2, 500, 1));  // within the step from 21 to 31 ms
  run_until(*replica, results, 2'000'000);
  CHECK(results.first_token_at[2] == 31'000 + 15'000);
  // The first of 101 tokens comes with the prompt's last step. Each of the others takes a step of 10 ms, one
  // of which is 5 ms longer because it reads the second request's prompt.
  CHECK(results.completed_at[1] == 11'000 + 100 * 10'000 + 5'000);
}

TEST_CASE("steps become longer as contexts grow, whether they are run in one event or in many") {
  ModelLimits limits = round_limits();
  limits.per_sequence_us = 100;
  limits.context_us_per_k = 1000;
  const auto whole = make_model_replica(limits, 2);
  const auto cut = make_model_replica(limits, 2);
  JobResults one_event;
  JobResults many_events;
  whole->offer(0, work(1, 1000, 500));
  cut->offer(0, work(1, 1000, 500));
  run_until(*whole, one_event, 100'000'000);
  for (Time at = milliseconds(1); at < 10'000'000; at += 13'000) {
    run_until(*cut, many_events, at);
    cut->set_speed_factor(at, 1);  // ends the run of steps and changes nothing else
  }
  run_until(*cut, many_events, 100'000'000);
  CHECK(std::abs(one_event.completed_at[1] - many_events.completed_at[1]) <=
        500);  // each event is rounded to a microsecond
}

TEST_CASE("work is rejected when all slots are in use and the queue is full") {
  const auto replica = make_model_replica(round_limits(), 1);
  int accepted = 0;
  for (Job job = 1; job <= 9; ++job) accepted += replica->offer(0, work(job, 100, 10));
  CHECK(accepted == 4 + 2);
}

TEST_CASE("only the part of a session's next prompt that is not cached is read") {
  const auto replica = make_model_replica(round_limits(), 1);
  JobResults results;
  replica->offer(0, work(1, 2000, 10, 77));
  run_until(*replica, results, 1'000'000);
  replica->offer(1'000'000, work(2, 2500, 10, 77));
  run_until(*replica, results, 2'000'000);
  CHECK(results.cached[2] == 2010);  // tokens of the prompt and of the answer
  CHECK(results.first_token_at[2] == 1'000'000 + 10'000 + 4'900);
  replica->evict_cached(1);
  replica->offer(2'000'000, work(3, 3000, 10, 77));
  run_until(*replica, results, 3'000'000);
  CHECK(results.cached[3] == 0);
}

TEST_CASE("cached prompts are evicted when memory is needed, the least recently used first") {
  const auto replica = make_model_replica(round_limits(), 1);
  JobResults results;
  Time at = 0;
  for (Job job = 1; job <= 5; ++job) {
    replica->offer(at, work(job, 4990, 10, 100 + job));
    run_until(*replica, results, at += 1'000'000);
  }
  CHECK(replica->load().cached_tokens <= 20'000);
  replica->offer(at, work(6, 5500, 10, 101));
  run_until(*replica, results, at += 1'000'000);
  CHECK(results.cached[6] == 0);
  replica->offer(at, work(7, 5500, 10, 105));
  run_until(*replica, results, at += 1'000'000);
  CHECK(results.cached[7] == 5000);
}

TEST_CASE("when running contexts exceed the memory the newest request is preempted, and completes later") {
  ModelLimits limits = round_limits();
  limits.memory_tokens = 3000;
  const auto replica = make_model_replica(limits, 1);
  JobResults results;
  replica->offer(0, work(1, 1000, 900));
  replica->offer(0, work(2, 1000, 900));
  run_until(*replica, results, 60'000'000);
  CHECK(results.generated[1] == 900);
  CHECK(results.generated[2] == 900);
  CHECK(results.completed_at[2] > results.completed_at[1] + 1'000'000);
}

// Each accepted request completes once with all its tokens, and no request remains in the replica.
TEST_CASE("every request that a replica accepts completes once, for random arrivals") {
  CHECK(rc::check([] {
    ModelLimits limits = round_limits();
    limits.memory_tokens = *rc::gen::inRange(3000, 30'000);
    limits.slots = *rc::gen::inRange<std::size_t>(1, 6);
    limits.per_sequence_us = *rc::gen::inRange(0, 500);
    limits.context_us_per_k = *rc::gen::inRange(0, 500);
    const auto replica = make_model_replica(limits, 1);
    JobResults results;
    double requested_tokens = 0;
    std::size_t accepted = 0;
    Time at = 0;
    const int count = *rc::gen::inRange(1, 40);
    for (int i = 1; i <= count; ++i) {
      at += *rc::gen::inRange(0, 100'000);
      run_until(*replica, results, at);
      if (*rc::gen::inRange(0, 8) == 0) replica->set_speed_factor(at, 0.5 + 0.1 * *rc::gen::inRange(0, 10));
      const Work offered = work(static_cast<Job>(i), *rc::gen::inRange(1, 2500), *rc::gen::inRange(1, 300),
                                *rc::gen::inRange<std::uint64_t>(0, 5));
      if (!replica->offer(at, offered)) continue;
      ++accepted;
      requested_tokens += offered.generated;
    }
    run_until(*replica, results, at + 10'000'000'000);
    RC_ASSERT(results.completed_at.size() == accepted);
    RC_ASSERT(replica->load().completed_tokens == requested_tokens);
    RC_ASSERT(replica->load().running + replica->load().waiting == 0u);
    RC_ASSERT(replica->load().context_tokens == 0.0);
    RC_ASSERT(std::abs(replica->load().unread_tokens) < 1e-6);
    RC_ASSERT(replica->load().cached_tokens <= limits.memory_tokens);
  }));
}

TEST_CASE("a plain queue serves one request after the other, and a change of speed takes effect at once") {
  const auto replica = make_queue_replica(2);
  JobResults results;
  replica->offer(0, {.job = 1, .generated = 1, .size = 1000});
  replica->offer(100, {.job = 2, .generated = 1, .size = 1000});
  run_until(*replica, results, 500);
  CHECK(results.completed_at[1] == 500);
  replica->set_speed_factor(750, 0.5);  // half of the second request is done
  run_until(*replica, results, 10'000);
  CHECK(results.completed_at[2] == 1250);
}
