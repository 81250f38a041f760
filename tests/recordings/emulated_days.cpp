// Recorded emulated days: each test plays a day (or a virtual play) on a fixed seed through the calls that
// `thornwick lab run`, `thornwick copies virtual`, `thornwick group virtual` and `thornwick group table`
// make, and compares what it came to with what it came to when the recording was made.
#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <cmath>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <ostream>
#include <set>
#include <string>
#include <vector>

#include "digest.hpp"
#include "emulator/baseline_policies.hpp"
#include "emulator/day.hpp"
#include "emulator/group_faults.hpp"
#include "emulator/replication_simulation.hpp"
#include "experiments/group_table.hpp"

using namespace thornwick;
using namespace thornwick::emulator;
using thornwick::recordings::Digest;

namespace {

constexpr double kMicrosecondsPerSecond = 1e6;

// Of the recorded plays with copies: the later ones take long under the sanitizers.
#ifdef THORNWICK_SHORT
constexpr std::size_t kCopiesPlays = 1;
#else
constexpr std::size_t kCopiesPlays = 3;
#endif

// ---------------------------------------------------------------- days

struct DayRecording {
  std::uint64_t digest = 0;  // of all that the day came to
  // Some of its counts, for whoever has to find a difference.
  std::uint64_t turns = 0, tries = 0, attempts = 0, served = 0, rejected = 0, failed = 0, timed_out = 0,
                broken = 0, gone = 0, rules_broken = 0;

  bool operator==(const DayRecording&) const = default;
};

std::ostream& operator<<(std::ostream& out, const DayRecording& r) {
  return out << fmt::format(
             "{{.digest = {:#018x}, .turns = {}, .tries = {}, .attempts = {}, .served = {}, .shed = {}, "
             ".failed = {}, .timed_out = {}, .broken = {}, .gone = {}, .rules_broken = {}}}",
             r.digest, r.turns, r.tries, r.attempts, r.served, r.rejected, r.failed, r.timed_out, r.broken,
             r.gone, r.rules_broken);
}

void add(Digest& digest, std::initializer_list<std::uint64_t> counts) {
  for (const std::uint64_t count : counts) digest.add(count);
}

void add(Digest& digest, const Histogram& histogram) {
  digest.add(histogram.total());
  digest.add_rounded(histogram.mean());
  for (const double part : {0.1, 0.5, 0.9, 0.99, 0.999}) digest.add_rounded(histogram.quantile(part));
}

void add(Digest& digest, const ClassResult& result) {
  add(digest, {result.turns, result.served, result.in_time, result.given_up});
  digest.add_rounded(result.priority_weight.share());
  add(digest, result.first_us);
  add(digest, result.answer_us);
  digest.add_rounded(result.answered_of_longest(0, 0.1));
  digest.add_rounded(result.singled_out());
  for (const RequestOutcome& fate : result.outcomes) {
    add(digest, {fate.session, std::uint64_t{fate.answered}});
    digest.add_rounded(fate.prompt);
  }
}

void add(Digest& digest, const ReplicaResult& replica) {
  add(digest, {replica.id, replica.sent, replica.full});
  digest.add_rounded(replica.work / kMicrosecondsPerSecond);
  for (const std::uint32_t held : replica.held) digest.add(std::uint64_t{held});
  for (const double read : replica.read) digest.add_rounded(read);
}

void add(Digest& digest, const RequestTotals& totals) {
  add(digest, {totals.taken, totals.served, totals.rejected, totals.failed, totals.timed_out, totals.broken,
               totals.gone, totals.open});
  for (const double tokens : {totals.tokens_made, totals.tokens_charged, totals.tokens_for_nobody}) {
    digest.add_rounded(tokens);
  }
}

// All but the costs, which differ from run to run, and the names, which decide nothing.
std::uint64_t digest_of(const Result& result) {
  Digest digest;
  add(digest, {result.seed, result.routers, result.replicas, result.turns, result.tries, result.attempts,
               result.crossings, result.events, result.peer_bytes, result.fleet_losses, result.replica_losses,
               result.regained, result.slowdowns});
  add(digest,
      {result.violations.lost, result.violations.twice, result.violations.drained, result.violations.tipped});
  add(digest, result.totals);
  for (const ClassResult& each : result.classes) add(digest, each);
  for (const ReplicaResult& replica : result.fleet) add(digest, replica);
  for (const EarnedWeight& window : result.windows) digest.add_rounded(window.share());
  for (const EarnedWeight& member : result.members) digest.add_rounded(member.share());
  for (const double figure :
       {result.score, result.whole.share(), result.cached_share(), result.prompt_tokens,
        result.work_asked / kMicrosecondsPerSecond, result.work_wasted / kMicrosecondsPerSecond,
        worst_share(result, 5, 0, result.seconds)}) {
    digest.add_rounded(figure);
  }
  if (result.slowdowns > 0) {
    digest.add_rounded(result.slowdown_sum / static_cast<double>(result.slowdowns));
    digest.add_rounded(result.wait_sum / static_cast<double>(result.slowdowns));
  }
  return digest.value();
}

DayRecording record_day(const Scenario& scenario, std::uint64_t seed) {
  const Result result = play_day(scenario, seed);
  CHECK(result.totals.holds());
  CHECK(result.totals.tokens_hold());
  return {.digest = digest_of(result),
          .turns = result.turns,
          .tries = result.tries,
          .attempts = result.attempts,
          .served = result.totals.served,
          .rejected = result.totals.rejected,
          .failed = result.totals.failed,
          .timed_out = result.totals.timed_out,
          .broken = result.totals.broken,
          .gone = result.totals.gone,
          .rules_broken = result.violations.all()};
}

std::vector<DayRecording> record_days(const Scenario& scenario, std::initializer_list<std::uint64_t> seeds) {
  std::vector<DayRecording> recordings;
  for (const std::uint64_t seed : seeds) recordings.push_back(record_day(scenario, seed));
  return recordings;
}

Scenario example(const std::string& name) {
  return read_scenario(std::string(THORNWICK_EXAMPLES) + "/lab/" + name + ".toml");
}

Scenario shortened(const std::string& name) {
  Scenario scenario = example(name);
  scenario.seconds = 20;
  scenario.warm_up_s = 5;
  return scenario;
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

// All that may go wrong, at once, behind weighted fair admission.
Scenario rough_day() {
  Scenario scenario = calm_day();
  scenario.load = {1.1, 1.1};
  scenario.fair = true;
  scenario.faults = {
      {.kind = DayFaultKind::burst, .at_s = {4, 6}, .seconds = {2, 4}, .size = {1.6, 2}},
      {.kind = DayFaultKind::zone_lost, .at_s = {5, 7}, .seconds = {3, 5}, .silent = true, .routers = true},
      {.kind = DayFaultKind::zone_lost, .at_s = {12, 13}, .seconds = {2, 3}},
      {.kind = DayFaultKind::slow, .at_s = {8, 9}, .seconds = {2, 3}, .size = {1.5, 2}},
      {.kind = DayFaultKind::flush, .at_s = {10, 11}, .size = {0.9, 0.9}},
      {.kind = DayFaultKind::ageing, .at_s = {2, 3}, .seconds = {8, 8}, .size = {3, 3}},
      {.kind = DayFaultKind::replacement, .at_s = {3, 4}, .seconds = {10, 10}, .every_s = {2, 3}},
      {.kind = DayFaultKind::partition, .at_s = {3, 4}, .seconds = {5, 5}}};
  return scenario;
}

// Two hosts that are plain queues, with sizes from a Bounded Pareto distribution.
Scenario queue_day() {
  Scenario scenario;
  scenario.seconds = 20;
  scenario.routers = 1;
  scenario.replicas = 2;
  scenario.load = {0.6, 0.6};
  scenario.kinds.front().queue = true;
  RequestClass& demand = scenario.classes.front();
  demand.alpha = 1.1;
  demand.min_us = 5'000;
  demand.max_us = 2'000'000;
  demand.mean_us = 25'000;
  return scenario;
}

// ---------------------------------------------------------------- what is printed as JSON

// The names of all members, nested ones as "outer.inner" and those in lists as "outer[].inner".
void collect_keys(const nlohmann::json& json, const std::string& path, std::set<std::string>& keys) {
  if (json.is_object()) {
    for (const auto& [name, value] : json.items()) {
      const std::string full = path.empty() ? name : path + "." + name;
      keys.insert(full);
      collect_keys(value, full, keys);
    }
  } else if (json.is_array()) {
    for (const auto& value : json) collect_keys(value, path + "[]", keys);
  }
}

std::set<std::string> keys_of(const std::string& text) {
  std::set<std::string> keys;
  collect_keys(nlohmann::json::parse(text), "", keys);
  return keys;
}

const std::set<std::string> kKeysOfDay = {"attempts",
                                          "boxes",
                                          "classes",
                                          "classes[].answer_us",
                                          "classes[].answer_us.count",
                                          "classes[].answer_us.mean",
                                          "classes[].answer_us.p50",
                                          "classes[].answer_us.p90",
                                          "classes[].answer_us.p99",
                                          "classes[].answer_us.p999",
                                          "classes[].first_us",
                                          "classes[].first_us.count",
                                          "classes[].first_us.mean",
                                          "classes[].first_us.p50",
                                          "classes[].first_us.p90",
                                          "classes[].first_us.p99",
                                          "classes[].first_us.p999",
                                          "classes[].given_up",
                                          "classes[].in_time",
                                          "classes[].name",
                                          "classes[].served",
                                          "classes[].turns",
                                          "classes[].worth",
                                          "crossings",
                                          "events",
                                          "fleet",
                                          "fleet[].full",
                                          "fleet[].hall",
                                          "fleet[].held",
                                          "fleet[].id",
                                          "fleet[].kind",
                                          "fleet[].read",
                                          "fleet[].sent",
                                          "fleet[].work_us",
                                          "kept_share",
                                          "members",
                                          "members[].name",
                                          "members[].worth",
                                          "policy",
                                          "routers",
                                          "rules",
                                          "rules.drained",
                                          "rules.lost",
                                          "rules.tipped",
                                          "rules.twice",
                                          "sample_s",
                                          "scenario",
                                          "score",
                                          "seconds",
                                          "seed",
                                          "sum",
                                          "sum.broken",
                                          "sum.failed",
                                          "sum.gone",
                                          "sum.open",
                                          "sum.served",
                                          "sum.shed",
                                          "sum.taken",
                                          "sum.timed_out",
                                          "sum.tokens_charged",
                                          "sum.tokens_for_nobody",
                                          "sum.tokens_made",
                                          "tries",
                                          "trust",
                                          "trust.box_losses",
                                          "trust.fleet_losses",
                                          "trust.regained",
                                          "turns",
                                          "wasted_share",
                                          "whole",
                                          "windows"};

std::set<std::string> with(std::set<std::string> keys, std::initializer_list<std::string> more) {
  keys.insert(more);
  return keys;
}

// ---------------------------------------------------------------- plays in virtual time

struct CopiesRecording {
  std::uint64_t kills = 0, lost_disks = 0, older_disks = 0, stops = 0, cuts = 0, corrections = 0,
                confirmed = 0, granted = 0, rejected = 0;
  std::int64_t usable_thousandths = 0;

  bool operator==(const CopiesRecording&) const = default;
};

std::ostream& operator<<(std::ostream& out, const CopiesRecording& r) {
  return out << fmt::format("{{{}, {}, {}, {}, {}, {}, {}, {}, {}, {}}}", r.kills, r.lost_disks,
                            r.older_disks, r.stops, r.cuts, r.corrections, r.confirmed, r.granted, r.rejected,
                            r.usable_thousandths);
}

CopiesRecording record_copies(const ReplicationOptions& options) {
  const ReplicationResult result = simulate_replication(options);
  CHECK(result.violation == "");
  return {result.kills,       result.lost_disks,
          result.older_disks, result.stops,
          result.cuts,        result.corrections,
          result.confirmed,   result.granted,
          result.rejected,    std::llround(result.usable * 1000)};
}

struct GroupRecording {
  std::uint64_t faults = 0, words_of_gone = 0, lines = 0;  // lines: faults and changes of mind that were told
  Time agreed_after = 0;

  bool operator==(const GroupRecording&) const = default;
};

std::ostream& operator<<(std::ostream& out, const GroupRecording& r) {
  return out << fmt::format("{{{}, {}, {}, {}}}", r.faults, r.words_of_gone, r.lines, r.agreed_after);
}

GroupRecording record_group(std::uint64_t seed) {
  std::uint64_t lines = 0;
  const GroupScriptResult played = play_script(random_script(seed), [&](const std::string&) { ++lines; });
  CHECK(played.violation == "");
  return {played.faults, played.gone_reports, lines, played.agreed_after};
}

std::uint64_t digest_of(const experiments::GroupRow& row) {
  Digest digest;
  add(digest, {row.routers, row.kills, row.not_found});
  for (const double figure :
       {row.loss, row.found_p50_s, row.found_p99_s, row.false_gone_per_h, row.false_suspicions_per_h,
        row.messages_per_s, row.bytes_per_s, row.agreed_after_s}) {
    digest.add_rounded(figure);
  }
  return digest.value();
}

}  // namespace

TEST_CASE("emulated days: calm") {
  const std::vector<DayRecording> expected = {{.digest = 0xf2cb91f3a228ff02,
                                               .turns = 578,
                                               .tries = 598,
                                               .attempts = 574,
                                               .served = 571,
                                               .rejected = 26,
                                               .failed = 0,
                                               .timed_out = 0,
                                               .broken = 0,
                                               .gone = 1,
                                               .rules_broken = 0},
                                              {.digest = 0x6bb51824b0962673,
                                               .turns = 730,
                                               .tries = 733,
                                               .attempts = 730,
                                               .served = 729,
                                               .rejected = 3,
                                               .failed = 0,
                                               .timed_out = 0,
                                               .broken = 0,
                                               .gone = 1,
                                               .rules_broken = 0}};
  CHECK(record_days(calm_day(), {41, 141}) == expected);
}

TEST_CASE("emulated days: a zone is lost") {
  const std::vector<DayRecording> expected = {{.digest = 0x756a252183a1d4e5,
                                               .turns = 994,
                                               .tries = 1123,
                                               .attempts = 1033,
                                               .served = 957,
                                               .rejected = 135,
                                               .failed = 0,
                                               .timed_out = 0,
                                               .broken = 9,
                                               .gone = 22,
                                               .rules_broken = 0},
                                              {.digest = 0xc9401f36eaa3eff2,
                                               .turns = 973,
                                               .tries = 1173,
                                               .attempts = 997,
                                               .served = 915,
                                               .rejected = 220,
                                               .failed = 0,
                                               .timed_out = 0,
                                               .broken = 17,
                                               .gone = 21,
                                               .rules_broken = 0}};
  CHECK(record_days(lost_zone_day(), {42, 142}) == expected);
}

TEST_CASE("emulated days: overload with a burst and slow boxes") {
  const std::vector<DayRecording> expected = {{.digest = 0x458c39d7e9fb3b5e,
                                               .turns = 3574,
                                               .tries = 8901,
                                               .attempts = 2318,
                                               .served = 1571,
                                               .rejected = 7310,
                                               .failed = 0,
                                               .timed_out = 0,
                                               .broken = 0,
                                               .gone = 20,
                                               .rules_broken = 0},
                                              {.digest = 0x6f5543774a8aae87,
                                               .turns = 5455,
                                               .tries = 15479,
                                               .attempts = 3067,
                                               .served = 1696,
                                               .rejected = 13753,
                                               .failed = 0,
                                               .timed_out = 0,
                                               .broken = 0,
                                               .gone = 30,
                                               .rules_broken = 0}};
  CHECK(record_days(overload_day(), {43, 143}) == expected);
}

TEST_CASE("emulated days: all troubles at once, behind fair admission") {
  const std::vector<DayRecording> expected = {{.digest = 0xa273f53a58b461b3,
                                               .turns = 1912,
                                               .tries = 5278,
                                               .attempts = 1173,
                                               .served = 993,
                                               .rejected = 4202,
                                               .failed = 0,
                                               .timed_out = 0,
                                               .broken = 41,
                                               .gone = 42,
                                               .rules_broken = 0},
                                              {.digest = 0x55e87a0e4d72be44,
                                               .turns = 1924,
                                               .tries = 5658,
                                               .attempts = 1039,
                                               .served = 867,
                                               .rejected = 4684,
                                               .failed = 0,
                                               .timed_out = 0,
                                               .broken = 69,
                                               .gone = 38,
                                               .rules_broken = 0}};
  CHECK(record_days(rough_day(), {44, 144}) == expected);
}

TEST_CASE("emulated days: plain queues") {
  const std::vector<DayRecording> expected = {{.digest = 0x0786fe1487cdc0c5,
                                               .turns = 926,
                                               .tries = 956,
                                               .attempts = 920,
                                               .served = 920,
                                               .rejected = 36,
                                               .failed = 0,
                                               .timed_out = 0,
                                               .broken = 0,
                                               .gone = 0,
                                               .rules_broken = 0},
                                              {.digest = 0x088f9ae8dba77d60,
                                               .turns = 968,
                                               .tries = 993,
                                               .attempts = 963,
                                               .served = 963,
                                               .rejected = 30,
                                               .failed = 0,
                                               .timed_out = 0,
                                               .broken = 0,
                                               .gone = 0,
                                               .rules_broken = 0}};
  CHECK(record_days(queue_day(), {45, 145}) == expected);
}

// In the order of baseline_policy_names().
TEST_CASE("emulated days: each rival policy on a lost zone") {
  const std::vector<DayRecording> expected = {{.digest = 0xb20a683939e50dfb,
                                               .turns = 1047,
                                               .tries = 1327,
                                               .attempts = 1441,
                                               .served = 902,
                                               .rejected = 362,
                                               .failed = 0,
                                               .timed_out = 0,
                                               .broken = 21,
                                               .gone = 42,
                                               .rules_broken = 0},
                                              {.digest = 0xa69aff0d449094e7,
                                               .turns = 1047,
                                               .tries = 1282,
                                               .attempts = 1384,
                                               .served = 946,
                                               .rejected = 303,
                                               .failed = 0,
                                               .timed_out = 0,
                                               .broken = 7,
                                               .gone = 26,
                                               .rules_broken = 0},
                                              {.digest = 0x64c0ace5b483296f,
                                               .turns = 1047,
                                               .tries = 1235,
                                               .attempts = 1685,
                                               .served = 973,
                                               .rejected = 223,
                                               .failed = 0,
                                               .timed_out = 0,
                                               .broken = 11,
                                               .gone = 28,
                                               .rules_broken = 0},
                                              {.digest = 0x25b32e2694dcf16f,
                                               .turns = 1047,
                                               .tries = 1186,
                                               .attempts = 1377,
                                               .served = 1001,
                                               .rejected = 150,
                                               .failed = 0,
                                               .timed_out = 0,
                                               .broken = 11,
                                               .gone = 24,
                                               .rules_broken = 0},
                                              {.digest = 0x907aaef5201170e8,
                                               .turns = 1047,
                                               .tries = 1324,
                                               .attempts = 1593,
                                               .served = 824,
                                               .rejected = 450,
                                               .failed = 0,
                                               .timed_out = 0,
                                               .broken = 14,
                                               .gone = 36,
                                               .rules_broken = 0},
                                              {.digest = 0x1d1238a20225161a,
                                               .turns = 1047,
                                               .tries = 1275,
                                               .attempts = 1683,
                                               .served = 890,
                                               .rejected = 341,
                                               .failed = 0,
                                               .timed_out = 0,
                                               .broken = 15,
                                               .gone = 29,
                                               .rules_broken = 0},
                                              {.digest = 0x40665106e0943a55,
                                               .turns = 1047,
                                               .tries = 3970,
                                               .attempts = 18716,
                                               .served = 13,
                                               .rejected = 3930,
                                               .failed = 0,
                                               .timed_out = 0,
                                               .broken = 0,
                                               .gone = 27,
                                               .rules_broken = 0}};
  std::vector<DayRecording> played;
  for (const std::string& policy : baseline_policy_names()) {
    Scenario scenario = lost_zone_day();
    scenario.policy = policy;
    played.push_back(record_day(scenario, 46));
  }
  CHECK(played == expected);
}

TEST_CASE("emulated days: the examples in full") {
  const std::vector<DayRecording> expected = {{.digest = 0x89ca20553acee7ea,
                                               .turns = 41,
                                               .tries = 41,
                                               .attempts = 41,
                                               .served = 41,
                                               .rejected = 0,
                                               .failed = 0,
                                               .timed_out = 0,
                                               .broken = 0,
                                               .gone = 0,
                                               .rules_broken = 0},
                                              {.digest = 0xcc0710e9e914ee9b,
                                               .turns = 3901,
                                               .tries = 4109,
                                               .attempts = 3852,
                                               .served = 3837,
                                               .rejected = 269,
                                               .failed = 0,
                                               .timed_out = 0,
                                               .broken = 0,
                                               .gone = 3,
                                               .rules_broken = 0},
                                              {.digest = 0xd2a07203053debed,
                                               .turns = 5221,
                                               .tries = 6852,
                                               .attempts = 4795,
                                               .served = 4671,
                                               .rejected = 2170,
                                               .failed = 0,
                                               .timed_out = 0,
                                               .broken = 0,
                                               .gone = 11,
                                               .rules_broken = 0},
                                              {.digest = 0x744345c9e438fd4f,
                                               .turns = 5221,
                                               .tries = 8610,
                                               .attempts = 4619,
                                               .served = 3985,
                                               .rejected = 4470,
                                               .failed = 0,
                                               .timed_out = 0,
                                               .broken = 60,
                                               .gone = 95,
                                               .rules_broken = 0},
                                              {.digest = 0x251c920c2aa40c57,
                                               .turns = 10008,
                                               .tries = 25677,
                                               .attempts = 6776,
                                               .served = 4314,
                                               .rejected = 21314,
                                               .failed = 0,
                                               .timed_out = 0,
                                               .broken = 0,
                                               .gone = 49,
                                               .rules_broken = 0}};
  std::vector<DayRecording> played;
  for (const char* name : {"demo", "suva-calm", "suva-flush", "suva-hall-lost", "suva-overload"}) {
    played.push_back(record_day(example(name), 1));
  }
  CHECK(played == expected);
}

TEST_CASE("emulated days: the names in the JSON of lab run") {
  CHECK(keys_of(to_json(play_day(calm_day(), 41), Costs::left_out)) == kKeysOfDay);
  CHECK(keys_of(to_json(play_day(queue_day(), 45), Costs::included)) ==
        with(kKeysOfDay, {"slowdown", "wait_us", "wall_s", "module_s"}));
}

TEST_CASE("copies in virtual time") {
  std::vector<CopiesRecording> expected = {{8, 1, 1, 3, 8, 4, 3, 5246, 5191, 997},
                                           {5, 1, 0, 4, 8, 5, 5, 5724, 4563, 994},
                                           {9, 1, 2, 5, 14, 7, 7, 5682, 5014, 990}};
  expected.resize(kCopiesPlays);
  const std::vector<ReplicationOptions> plays = {
      {.seed = 51},
      {.routers = 5, .sites = 3, .replicas = 5, .seed = 52},
      {.routers = 9, .sites = 3, .replicas = 3, .ledgers = 3, .seed = 53}};
  std::vector<CopiesRecording> played;
  for (std::size_t play = 0; play < kCopiesPlays; ++play) played.push_back(record_copies(plays[play]));
  CHECK(played == expected);
}

TEST_CASE("a group in virtual time") {
  const std::vector<GroupRecording> expected = {{9, 10, 90, 0},      {5, 5, 64, 0},        {17, 3, 51, 0},
                                                {6, 5, 70, 3000000}, {7, 0, 167, 4000000}, {7, 6, 96, 0},
                                                {9, 8, 60, 0},       {10, 9, 144, 0}};
  std::vector<GroupRecording> played;
  for (std::uint64_t seed = 61; seed <= 68; ++seed) played.push_back(record_group(seed));
  CHECK(played == expected);
}

TEST_CASE("a group's time to find a death") {
  const experiments::GroupTableOptions options{.calm_s = 120, .kills = 3, .seed = 71};
  CHECK(digest_of(experiments::measure_group("measured", 9, 0.1, options)) == 0xf7c2afe3c8984e45);
  CHECK(digest_of(experiments::measure_group("plain", 9, 0.3, options)) == 0x3c8472ccfe72f73);
  CHECK(digest_of(experiments::measure_group("lifeguard", 9, 0.1, options)) == 0x421a4c286f3b42a1);
}
