// The JSON object of a day with many kinds of faults: the keys, and the integer values on a fixed seed.
#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "emulator/day.hpp"

using namespace thornwick;
using namespace thornwick::emulator;

namespace {

using Json = nlohmann::ordered_json;

Scenario day_with_faults() {
  Scenario scenario = read_scenario(std::string(THORNWICK_EXAMPLES) + "/lab/suva-calm.toml");
  scenario.seconds = 16;
  scenario.warm_up_s = 4;
  scenario.load = {0.9, 0.9};
  scenario.faults = {
      {.kind = DayFaultKind::burst, .at_s = {4, 5}, .seconds = {2, 3}, .size = {1.6, 2}},
      {.kind = DayFaultKind::zone_lost,
       .at_s = {5, 6},
       .seconds = {2, 3},
       .unreachable = true,
       .routers = true},
      {.kind = DayFaultKind::zone_lost, .at_s = {10, 11}, .seconds = {2, 3}},
      {.kind = DayFaultKind::slow, .at_s = {8, 9}, .seconds = {2, 3}, .size = {1.5, 2}},
      {.kind = DayFaultKind::flush, .at_s = {9, 10}, .size = {0.9, 0.9}},
      {.kind = DayFaultKind::ageing, .at_s = {2, 3}, .seconds = {8, 8}, .size = {3, 3}},
      {.kind = DayFaultKind::replacement, .at_s = {3, 4}, .seconds = {10, 10}, .every_s = {2, 3}},
      {.kind = DayFaultKind::partition, .at_s = {3, 4}, .seconds = {5, 5}}};
  return scenario;
}

std::string counts(const Json& object, std::initializer_list<const char*> keys) {
  std::string text;
  for (const char* key : keys) text += fmt::format("{}={} ", key, object.at(key).dump());
  return text;
}

// Returns every integer of an object, in the order of the keys.
std::string integers(const Json& object) {
  std::string text;
  for (const auto& [key, value] : object.items()) {
    if (value.is_number_integer()) text += fmt::format("{}={} ", key, value.dump());
  }
  return text;
}

std::string keys(const Json& object) {
  std::string text;
  for (const auto& [key, value] : object.items()) text += key + " ";
  return text;
}

}  // namespace

TEST_CASE("the JSON object of a day with many kinds of faults has these keys and integer values") {
  const Json day = Json::parse(to_json(play_day(day_with_faults(), 5), Costs::excluded));
  CHECK(keys(day) ==
        "scenario policy seed seconds routers boxes score whole turns tries attempts crossings "
        "sample_s events kept_share wasted_share classes members windows sum trust rules fleet ");
  CHECK(integers(day) ==
        "seed=5 routers=4 boxes=12 turns=1309 tries=2244 attempts=1241 crossings=915 "
        "events=12824 ");
  CHECK(integers(day.at("sum")) ==
        "taken=2244 served=967 shed=1181 failed=0 timed_out=0 broken=74 gone=22 open=0 ");
  CHECK(counts(day.at("sum"), {"tokens_made", "tokens_charged", "tokens_for_nobody"}) ==
        "tokens_made=98809.0 tokens_charged=86892.0 tokens_for_nobody=11917.0 ");
  CHECK(integers(day.at("trust")) == "fleet_losses=0 box_losses=0 regained=0 ");
  CHECK(integers(day.at("rules")) == "lost=0 twice=0 drained=0 tipped=0 repeated=0 misled=0 ");
  CHECK(keys(day.at("classes").front()) == "name worth turns served in_time given_up first_us answer_us ");
  const std::vector<std::string> classes = {
      "turns=256 served=187 in_time=145 given_up=69 ", "turns=536 served=405 in_time=299 given_up=131 ",
      "turns=248 served=226 in_time=200 given_up=22 ", "turns=269 served=149 in_time=128 given_up=120 "};
  std::vector<std::string> played;
  for (const Json& each : day.at("classes")) played.push_back(integers(each));
  CHECK(played == classes);
  CHECK(keys(day.at("fleet").front()) == "id kind hall sent full work_us held read ");
  std::string fleet;
  for (const Json& each : day.at("fleet")) {
    fleet += fmt::format("{}:{}:{}:{} ", each.at("hall").get<std::string>(), each.at("id").dump(),
                         each.at("sent").dump(), each.at("full").dump());
  }
  CHECK(fleet ==
        "suva-a:830578055:40:0 nausori:706973420:84:0 lautoka:1783122674:92:0 "
        "nadi:593095244:179:0 suva-a:637549229:158:0 nausori:2130285841:55:0 "
        "lautoka:64735256:69:0 nadi:215681457:71:0 suva-a:403356968:119:0 "
        "nausori:1544868350:41:0 lautoka:1930338751:50:0 nadi:1216429673:63:0 "
        "suva-a:1060176235:112:0 nausori:1112571160:51:0 lautoka:2058094737:1:0 "
        "nadi:1956289504:12:0 suva-a:715504729:10:0 ");
}
