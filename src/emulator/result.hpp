// The result of an emulated day. All of it but the costs is the same for the same scenario and seed.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "emulator/histogram.hpp"
#include "emulator/scenario.hpp"

namespace thornwick::emulator {

// The priority weight of requests, times their work, and the part of it that their answers earned.
struct EarnedWeight {
  double requested = 0;
  double earned = 0;

  double share() const { return requested > 0 ? earned / requested : 1; }
};

// The outcome of one request of a session, after all its tries.
struct RequestOutcome {
  double prompt = 0;  // tokens
  std::uint64_t session = 0;
  bool answered = false;  // completely, in time or late
};

struct ClassResult {
  static constexpr std::size_t kMaxOutcomes = 200'000;

  std::string name;
  EarnedWeight priority_weight;
  std::uint64_t turns = 0;  // requests of sessions
  std::uint64_t served = 0;
  std::uint64_t in_time = 0;
  std::uint64_t given_up = 0;            // after the last try, or cancelled
  Histogram first_token_us;              // from the first try to the first token
  Histogram answer_us;                   // from the first try to the end
  std::vector<RequestOutcome> outcomes;  // of the first kMaxOutcomes requests that count

  // The part that was answered of its requests from one part of all to another (0..1), in the order of the
  // lengths of their prompts, the longest first. 1 if there are none.
  double answered_of_longest(double from, double to) const;

  // The part of its sessions whose requests were all rejected, less the part to be expected if each request
  // were rejected with the same probability.
  double rejected_session_excess() const;
};

// The sums of what all routers counted.
struct RequestTotals {
  std::uint64_t admitted = 0;
  std::uint64_t served = 0;
  std::uint64_t rejected = 0;
  std::uint64_t failed = 0;
  std::uint64_t timed_out = 0;
  std::uint64_t interrupted = 0;          // answers that ended in the middle
  std::uint64_t client_disconnected = 0;  // whose client was gone first
  std::uint64_t open = 0;
  // Of answers that replicas completed.
  double generated_tokens = 0;
  double delivered_tokens = 0;  // passed on to a router that waited
  double discarded_tokens = 0;  // completed after the attempt had ended

  bool token_counts_add_up() const { return generated_tokens == delivered_tokens + discarded_tokens; }
  bool counts_add_up() const {
    return admitted == served + rejected + failed + timed_out + interrupted + client_disconnected + open;
  }
};

// How often routers broke a rule of the operators.
struct RuleViolations {
  std::uint64_t unanswered_tries = 0;     // tries without a final answer in time
  std::uint64_t concurrent_attempts = 0;  // two attempts of one request at once
  std::uint64_t attempts_to_draining =
      0;  // new attempts to a replica that drains or is gone, after the grace period
  std::uint64_t overloaded_replicas = 0;  // cold replicas that were overloaded until they failed

  std::uint64_t all() const {
    return unanswered_tries + concurrent_attempts + attempts_to_draining + overloaded_replicas;
  }
};

struct ReplicaResult {
  std::uint32_t id = 0;
  std::string kind;
  std::string zone;
  double work = 0;  // microseconds at speed 1, of all attempts that arrived
  std::uint64_t sent = 0;
  std::uint64_t full = 0;                     // attempts that were rejected because it was full
  std::vector<std::uint32_t> request_counts;  // requests in it at each sample
  std::vector<double> tokens_read;  // between two samples: uncached tokens of the prompts whose answers began
};

struct Result {
  std::string scenario;
  std::string policy;
  std::uint64_t seed = 0;
  double seconds = 0;
  std::size_t routers = 0;
  std::size_t replicas = 0;
  std::vector<ClassResult> classes;
  std::vector<EarnedWeight> windows;  // by the time of the request
  std::vector<EarnedWeight> members;  // in the order of the scenario
  std::vector<std::string> member_names;
  double window_s = 10;
  double sample_s = 1;
  double score = 0;  // docs/experiments.md, "Score"
  EarnedWeight total_weight;
  std::uint64_t peer_bytes = 0;           // of messages between routers, counted for each receiver
  std::uint64_t turns = 0;                // requests of sessions
  std::uint64_t tries = 0;                // of clients
  std::uint64_t attempts = 0;             // of routers
  std::uint64_t cross_zone_attempts = 0;  // attempts to a replica of another zone
  std::uint64_t events = 0;
  double prompt_tokens = 0;   // of answers that began
  double cached_tokens = 0;   // of these, found in a replica's cache
  double requested_work = 0;  // microseconds at speed 1
  double wasted_work = 0;     // of attempts without an answer in the end
  // Times that an affinity table stopped to trust what it knew of the fleet's or one replica's caches, and
  // regained trust in a replica's; at all routers.
  std::uint64_t fleet_losses = 0;
  std::uint64_t replica_losses = 0;
  std::uint64_t regained = 0;
  RequestTotals totals;
  RuleViolations violations;
  std::vector<ReplicaResult> fleet;
  // Of plain queues, sums over `slowdowns` requests.
  double slowdown_sum = 0;  // waiting time over service time
  double wait_sum = 0;      // microseconds
  std::uint64_t slowdowns = 0;
  // Costs of this run on this machine.
  double wall_s = 0;
  double module_s = 0;

  double cached_share() const { return prompt_tokens > 0 ? cached_tokens / prompt_tokens : 0; }
};

// The largest part that one replica had of all prompt tokens read in any `window_s` seconds between the two
// times (seconds of the day, on the grid of samples), in multiples of its fair share. 0 if nothing was read.
double worst_share(const Result& result, double window_s, double from_s, double to_s);

// The result of a day that is about to begin: names and sizes, and no counts.
Result empty_result(const Scenario& scenario, std::uint64_t seed);

// The part of its weight that a complete answer of `generated` tokens earns (docs/experiments.md, "Score").
// All times are microseconds on one clock.
double earned_fraction(const RequestClass& request_class, Time objective_at, Time deadline, Time first_at,
                       Time ended, double generated);

// Whether a request of this time is scored. None is before the day's warm-up is over.
bool is_scored(const Scenario& scenario, Time requested_at);

// Adds the weight of a request, and the part of it (0..1) that was earned, if the request counts.
// `requested_at`: microseconds from the day's start.
void add_weight(Result& result, const Scenario& scenario, Time requested_at, std::size_t class_index,
                std::size_t member, double priority_weight, double part);

// Computes the score from the weights, the wasted work and the crossings (docs/experiments.md, "Score").
void set_score(Result& result);

enum class Costs { excluded, included };

// One JSON object on one line.
std::string to_json(const Result& result, Costs costs);

}  // namespace thornwick::emulator
