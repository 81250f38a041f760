// A day of an emulated installation. The replicas, zones, network, discovery, clients and faults are
// simulated; the routers are the real core with the real routing policy, or with a baseline policy in its
// place. The day is a discrete-event simulation on one thread: the same scenario and seed give the same day
// to the bit.
//
// Memory use grows with the number of open sessions and requests, not with the length of the day.
#pragma once

#include <cstdint>
#include <vector>

#include "emulator/result.hpp"
#include "emulator/scenario.hpp"

namespace thornwick::emulator {

struct DayOptions {
  bool time_module = false;  // whether the time spent in the policy's decisions is measured
};

// Runs one day to its end. Throws std::invalid_argument for an invalid scenario.
Result play_day(const Scenario& scenario, std::uint64_t seed, const DayOptions& options = {});

// One request of a day as its client sends it. Times are microseconds from the day's start; sizes are in
// tokens.
struct PlannedRequest {
  Time at = 0;
  Time objective_at = 0;  // time by which the first token is due
  Time deadline = 0;      // time after which the first token earns nothing
  std::uint16_t class_index = 0;
  std::uint16_t member = 0;
  std::uint16_t zone = 0;
  std::uint64_t session = 0;
  std::uint64_t prefix = 0;  // 0: the prompt has no shared prefix
  double prompt = 0;
  double prefix_tokens = 0;  // tokens of the prompt that other sessions share
  double generated = 0;      // number of tokens of the answer
  double max_tokens = 0;     // limit that the client sets on the answer's tokens
  double work = 0;           // microseconds on a replica of speed 1
  double hint = 0;           // the client's estimate of `work`; 0: the client gives none
  double priority_weight = 0;
};

// Returns all requests of a day in the order of their times. They are the same for every policy.
std::vector<PlannedRequest> planned_requests(const Scenario& scenario, std::uint64_t seed);

}  // namespace thornwick::emulator
