// Recorded emulated days. Each test plays days with fixed seeds by the same call as `thornwick lab run`, and
// compares the results with the recorded ones.
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "day_recording.hpp"
#include "emulator/baseline_policies.hpp"

using namespace thornwick;
using namespace thornwick::emulator;
using namespace thornwick::recordings;

TEST_CASE("emulated days: a calm day is as recorded") {
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

TEST_CASE("emulated days: a day with a lost zone is as recorded") {
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

TEST_CASE("emulated days: an overload with a burst and slow replicas is as recorded") {
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

TEST_CASE("emulated days: a day with all kinds of faults and fair admission is as recorded") {
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

TEST_CASE("emulated days: replicas that are plain queues are as recorded") {
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
TEST_CASE("emulated days: each baseline policy handles a lost zone as recorded") {
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

TEST_CASE("emulated days: the complete examples are as recorded") {
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
