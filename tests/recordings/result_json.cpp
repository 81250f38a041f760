// The recorded names of the members in the JSON output of `thornwick lab run --json`.
#include <catch2/catch.hpp>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

#include "day_recording.hpp"

using namespace thornwick::emulator;
using namespace thornwick::recordings;

namespace {

// Adds the names of all members to `keys`: nested ones as "outer.inner", and those in lists as
// "outer[].inner".
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
                                          "rules.misled",
                                          "rules.repeated",
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

// Returns `keys` with more names added.
std::set<std::string> with(std::set<std::string> keys, std::initializer_list<std::string> more) {
  keys.insert(more);
  return keys;
}

}  // namespace

TEST_CASE("emulated days: the JSON of lab run has the recorded names") {
  CHECK(keys_of(to_json(play_day(calm_day(), 41), Costs::excluded)) == kKeysOfDay);
  CHECK(keys_of(to_json(play_day(queue_day(), 45), Costs::included)) ==
        with(kKeysOfDay, {"slowdown", "wait_us", "wall_s", "module_s"}));
}
