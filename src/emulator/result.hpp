// What a day came to. All but the costs is the same for the same scenario and seed.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "emulator/histogram.hpp"
#include "emulator/scenario.hpp"

namespace thornwick::emulator {

// Worth asked for and worth earned; both weighed by work, where the scenario's classes differ in worth.
struct Worth {
  double asked = 0, earned = 0;
  double share() const { return asked > 0 ? earned / asked : 1; }
};

// What became of one request of a session, all its tries together.
struct Fate {
  double prompt = 0;  // tokens
  std::uint64_t session = 0;
  bool answered = false;  // whole, in time or late
};

struct ClassResult {
  static constexpr std::size_t kMostFates = 200'000;

  std::string name;
  Worth priority_weight;
  std::uint64_t turns = 0, served = 0, in_time = 0, given_up = 0;
  Histogram first_us;       // from the first try to the first token
  Histogram answer_us;      // from the first try to the end
  std::vector<Fate> fates;  // of the first kMostFates

  // Of its requests in the order of their prompts, the longest first: the share that was answered of those
  // from one part of all to another (0..1). 1 where there are none.
  double answered_of_longest(double from, double to) const;
  // The part of its sessions whose turns were all rejected, beyond what chance gives where each turn is
  // rejected with the same probability.
  double singled_out() const;
};

// What all routers together counted, and how it adds up.
struct Conservation {
  std::uint64_t taken = 0, served = 0, rejected = 0, failed = 0, timed_out = 0, broken = 0, gone = 0,
                open = 0;
  // Of answers that replicas made to their ends: all; passed on; made after whoever asked had gone.
  double tokens_made = 0, tokens_charged = 0, tokens_for_nobody = 0;
  bool tokens_hold() const { return tokens_made == tokens_charged + tokens_for_nobody; }
  bool holds() const { return taken == served + rejected + failed + timed_out + broken + gone + open; }
};

struct Broken {               // rules
  std::uint64_t lost = 0;     // a client's try without a final answer in time
  std::uint64_t twice = 0;    // two attempts of one request at once
  std::uint64_t drained = 0;  // new work later than allowed to a replica that drains or is gone
  std::uint64_t tipped = 0;   // cold replicas that were pushed over
  std::uint64_t all() const { return lost + twice + drained + tipped; }
};

struct ReplicaResult {
  std::uint32_t id = 0;
  std::string kind, zone;
  double work = 0;  // of what it was sent
  std::uint64_t sent = 0, full = 0;
  std::vector<std::uint32_t> held;  // requests in it at each sample
  std::vector<double> read;  // tokens of prompts that began between two samples and were not found kept
};

struct Result {
  std::string scenario, policy;
  std::uint64_t seed = 0;
  double seconds = 0;
  std::size_t routers = 0, replicas = 0;
  std::vector<ClassResult> classes;
  std::vector<Worth> windows, members;
  std::vector<std::string> member_names;
  double window_s = 10, sample_s = 1;
  double score = 0;  // parts as docs/experiments.md, "Score"
  Worth whole;
  std::uint64_t told_bytes = 0;  // of messages between routers, for each that one was sent to
  std::uint64_t turns = 0, tries = 0, attempts = 0, crossings = 0, events = 0;
  double prompt_tokens = 0, cached_tokens = 0;  // of answers that began
  double work_asked = 0, work_wasted = 0;
  std::uint64_t fleet_losses = 0, replica_losses = 0,
                regained = 0;  // of trust in cached prompts, at all routers
  Conservation sum;
  Broken broken;
  std::vector<ReplicaResult> fleet;
  // Plain queues: time in the system over size, and its waiting part.
  double slowdown_sum = 0, wait_sum = 0;
  std::uint64_t slowdowns = 0;
  // Costs: of this run, on this machine.
  double wall_s = 0, module_s = 0;

  double cached_share() const { return prompt_tokens > 0 ? cached_tokens / prompt_tokens : 0; }
};

// The most that one replica had to read of all that was read in any `window_s` between the two times (seconds
// of the day, on the grid of samples), in multiples of its fair share. 0 where nothing was read.
double worst_share(const Result& result, double window_s, double from_s, double to_s);

// Names of classes and members, and the numbers of a day that is about to begin.
Result empty_result(const Scenario& scenario, std::uint64_t seed);

// The part of its worth that a whole answer earns (docs/experiments.md, "Score"). Times in microseconds on
// one clock.
double earned_part(const Demand& demand, Time aim_at, Time deadline, Time first_at, Time ended,
                   double generated);

// Whether a request that was asked then counts: nothing does before the warm-up is over.
bool counts(const Scenario& scenario, Time asked_at);

// Books what a request was worth and the part of it that was earned, at the time of asking (microseconds from
// the day's start), if it counts.
void book(Result& result, const Scenario& scenario, Time asked_at, std::size_t cls, std::size_t member,
          double priority_weight, double part);

// From the worth, the waste and the crossings (docs/experiments.md, "Score").
void set_score(Result& result);

// One JSON object; without the costs unless they are asked for.
std::string to_json(const Result& result, bool costs);

}  // namespace thornwick::emulator
