#include "day_recording.hpp"

#include <fmt/format.h>

#include <catch2/catch.hpp>

#include "digest.hpp"

namespace thornwick::recordings {

using namespace emulator;

namespace {

constexpr double kMicrosecondsPerSecond = 1e6;

void add(Digest& digest, std::initializer_list<std::uint64_t> counts) {
  for (const std::uint64_t count : counts) digest.add(count);
}

void add(Digest& digest, const Histogram& histogram) {
  digest.add(histogram.total());
  digest.add_rounded(histogram.mean());
  for (const double fraction : {0.1, 0.5, 0.9, 0.99, 0.999}) digest.add_rounded(histogram.quantile(fraction));
}

void add(Digest& digest, const ClassResult& result) {
  add(digest, {result.turns, result.served, result.in_time, result.given_up});
  digest.add_rounded(result.priority_weight.share());
  add(digest, result.first_token_us);
  add(digest, result.answer_us);
  digest.add_rounded(result.answered_of_longest(0, 0.1));
  digest.add_rounded(result.rejected_session_excess());
  for (const RequestOutcome& outcome : result.outcomes) {
    add(digest, {outcome.session, std::uint64_t{outcome.answered}});
    digest.add_rounded(outcome.prompt);
  }
}

void add(Digest& digest, const ReplicaResult& replica) {
  add(digest, {replica.id, replica.sent, replica.full});
  digest.add_rounded(replica.work / kMicrosecondsPerSecond);
  for (const std::uint32_t held : replica.request_counts) digest.add(std::uint64_t{held});
  for (const double read : replica.tokens_read) digest.add_rounded(read);
}

void add(Digest& digest, const RequestTotals& totals) {
  add(digest, {totals.admitted, totals.served, totals.rejected, totals.failed, totals.timed_out,
               totals.interrupted, totals.client_disconnected, totals.open});
  for (const double tokens : {totals.generated_tokens, totals.delivered_tokens, totals.discarded_tokens}) {
    digest.add_rounded(tokens);
  }
}

// Returns the digest of a result without its costs, which differ from run to run, and its names, which affect
// nothing.
std::uint64_t digest_of(const Result& result) {
  Digest digest;
  add(digest, {result.seed, result.routers, result.replicas, result.turns, result.tries, result.attempts,
               result.cross_zone_attempts, result.events, result.peer_bytes, result.fleet_losses,
               result.replica_losses, result.regained, result.slowdowns});
  add(digest, {result.violations.unanswered_tries, result.violations.concurrent_attempts,
               result.violations.attempts_to_draining, result.violations.overloaded_replicas});
  add(digest, result.totals);
  for (const ClassResult& each : result.classes) add(digest, each);
  for (const ReplicaResult& replica : result.fleet) add(digest, replica);
  for (const EarnedWeight& window : result.windows) digest.add_rounded(window.share());
  for (const EarnedWeight& member : result.members) digest.add_rounded(member.share());
  for (const double figure :
       {result.score, result.total_weight.share(), result.cached_share(), result.prompt_tokens,
        result.requested_work / kMicrosecondsPerSecond, result.wasted_work / kMicrosecondsPerSecond,
        worst_share(result, 5, 0, result.seconds)}) {
    digest.add_rounded(figure);
  }
  if (result.slowdowns > 0) {
    digest.add_rounded(result.slowdown_sum / static_cast<double>(result.slowdowns));
    digest.add_rounded(result.wait_sum / static_cast<double>(result.slowdowns));
  }
  return digest.value();
}

// Returns an example that is shortened to 20 seconds.
Scenario shortened(const std::string& name) {
  Scenario scenario = recordings::example(name);
  scenario.seconds = 20;
  scenario.warm_up_s = 5;
  return scenario;
}

}  // namespace

std::ostream& operator<<(std::ostream& out, const DayRecording& recording) {
  return out << fmt::format(
             "{{.digest = {:#018x}, .turns = {}, .tries = {}, .attempts = {}, .served = {}, .shed = {}, "
             ".failed = {}, .timed_out = {}, .broken = {}, .gone = {}, .rules_broken = {}}}",
             recording.digest, recording.turns, recording.tries, recording.attempts, recording.served,
             recording.rejected, recording.failed, recording.timed_out, recording.broken, recording.gone,
             recording.rules_broken);
}

Scenario example(const std::string& name) {
  return read_scenario(std::string(THORNWICK_EXAMPLES) + "/lab/" + name + ".toml");
}

DayRecording record_day(const Scenario& scenario, std::uint64_t seed) {
  const Result result = play_day(scenario, seed);
  CHECK(result.totals.counts_add_up());
  CHECK(result.totals.token_counts_add_up());
  return {.digest = digest_of(result),
          .turns = result.turns,
          .tries = result.tries,
          .attempts = result.attempts,
          .served = result.totals.served,
          .rejected = result.totals.rejected,
          .failed = result.totals.failed,
          .timed_out = result.totals.timed_out,
          .broken = result.totals.interrupted,
          .gone = result.totals.client_disconnected,
          .rules_broken = result.violations.all()};
}

std::vector<DayRecording> record_days(const Scenario& scenario, std::initializer_list<std::uint64_t> seeds) {
  std::vector<DayRecording> recordings;
  for (const std::uint64_t seed : seeds) recordings.push_back(record_day(scenario, seed));
  return recordings;
}

Scenario calm_day() { return shortened("suva-calm"); }

Scenario lost_zone_day() {
  Scenario scenario = shortened("suva-hall-lost");
  for (DayFault& fault : scenario.faults) {
    fault.at_s = {7, 8};
    fault.seconds = {4, 6};
  }
  return scenario;
}

Scenario overload_day() {
  Scenario scenario = shortened("suva-overload");
  scenario.load = {1.5, 1.6};
  for (DayFault& fault : scenario.faults) {
    fault.at_s = {6, 8};
    fault.seconds = {4, 6};
  }
  return scenario;
}

Scenario rough_day() {
  Scenario scenario = calm_day();
  scenario.load = {1.1, 1.1};
  scenario.fair_admission = true;
  scenario.faults = {
      {.kind = DayFaultKind::burst, .at_s = {4, 6}, .seconds = {2, 4}, .size = {1.6, 2}},
      {.kind = DayFaultKind::zone_lost,
       .at_s = {5, 7},
       .seconds = {3, 5},
       .unreachable = true,
       .routers = true},
      {.kind = DayFaultKind::zone_lost, .at_s = {12, 13}, .seconds = {2, 3}},
      {.kind = DayFaultKind::slow, .at_s = {8, 9}, .seconds = {2, 3}, .size = {1.5, 2}},
      {.kind = DayFaultKind::flush, .at_s = {10, 11}, .size = {0.9, 0.9}},
      {.kind = DayFaultKind::ageing, .at_s = {2, 3}, .seconds = {8, 8}, .size = {3, 3}},
      {.kind = DayFaultKind::replacement, .at_s = {3, 4}, .seconds = {10, 10}, .every_s = {2, 3}},
      {.kind = DayFaultKind::partition, .at_s = {3, 4}, .seconds = {5, 5}}};
  return scenario;
}

Scenario queue_day() {
  Scenario scenario;
  scenario.seconds = 20;
  scenario.routers = 1;
  scenario.replicas = 2;
  scenario.load = {0.6, 0.6};
  scenario.kinds.front().queue = true;
  RequestClass& request_class = scenario.classes.front();
  request_class.alpha = 1.1;
  request_class.min_us = 5'000;
  request_class.max_us = 2'000'000;
  request_class.mean_us = 25'000;
  return scenario;
}

}  // namespace thornwick::recordings
