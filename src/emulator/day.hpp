// A day of an emulated installation: replicas, zones, network, discovery, clients and faults around routers
// that are the real core with the real routing policy (or a baseline policy in its place). It is a
// discrete-event simulation on one thread: the same scenario and seed give the same day to the bit.
//
// Memory grows with what is open, not with the length of the day.
#pragma once

#include <cstdint>
#include <vector>

#include "emulator/result.hpp"
#include "emulator/scenario.hpp"

namespace thornwick::emulator {

struct DayOptions {
  bool time_module = false;  // measure what the policy's decisions cost
};

// Plays one day to its end. Throws std::invalid_argument for a scenario that makes no sense.
Result play_day(const Scenario& scenario, std::uint64_t seed, const DayOptions& options = {});

// One request of a day as its client sends it. Times are microseconds from the day's start; sizes are tokens.
struct PlannedRequest {
  Time at = 0;
  Time objective_at = 0;  // the first token is due by then...
  Time deadline = 0;      // ... and useless after this
  std::uint16_t class_index = 0;
  std::uint16_t member = 0;
  std::uint16_t zone = 0;
  std::uint64_t session = 0;
  std::uint64_t prefix = 0;  // 0: none
  double prompt = 0;
  double prefix_tokens = 0;  // of the prompt, shared with other sessions
  double generated = 0;      // tokens of the answer
  double max_tokens = 0;     // of the answer, as the client sets it
  double work = 0;           // microseconds at speed 1
  double hint = 0;           // of the work, as the client knows it; 0: none
  double priority_weight = 0;
};

// All requests of that day in the order of their times. They are the same for every policy.
std::vector<PlannedRequest> planned_requests(const Scenario& scenario, std::uint64_t seed);

}  // namespace thornwick::emulator
