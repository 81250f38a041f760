// The result of an emulated day. All values but the costs are the same for the same scenario and seed.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "emulator/histogram.hpp"
#include "emulator/scenario.hpp"

namespace thornwick::emulator {

// The sum of the requests' weights (priority weight times work), and the part of that sum that the answers
// earned.
struct EarnedWeight {
  double requested = 0;
  double earned = 0;

  double share() const { return requested > 0 ? earned / requested : 1; }
};

// The outcome of one request of a session, after all its tries.
struct RequestOutcome {
  double prompt = 0;  // number of tokens of the prompt
  std::uint64_t session = 0;
  bool answered = false;  // whether a complete answer arrived, in time or late
};

struct ClassResult {
  static constexpr std::size_t kMaxOutcomes = 200'000;

  std::string name;
  EarnedWeight priority_weight;
  std::uint64_t turns = 0;  // number of requests of sessions
  std::uint64_t served = 0;
  std::uint64_t in_time = 0;
  std::uint64_t given_up = 0;            // requests that failed on their last try or were cancelled
  Histogram first_token_us;              // time from the first try to the first token
  Histogram answer_us;                   // time from the first try to the end of the answer
  std::vector<RequestOutcome> outcomes;  // outcomes of the first kMaxOutcomes scored requests

  // Sorts the requests by the lengths of their prompts, the longest first, and returns the answered fraction
  // of those between the fractions `from` and `to` (0..1) of that order; 1 if there are none.
  double answered_of_longest(double from, double to) const;

  // Returns the fraction of the sessions whose requests were all rejected, less the fraction to be expected
  // if each request were rejected with the same probability.
  double rejected_session_excess() const;
};

// The sums of the counters of all routers.
struct RequestTotals {
  std::uint64_t admitted = 0;
  std::uint64_t served = 0;
  std::uint64_t rejected = 0;
  std::uint64_t failed = 0;
  std::uint64_t timed_out = 0;
  std::uint64_t interrupted = 0;          // answers that ended before they were complete
  std::uint64_t client_disconnected = 0;  // requests whose client disconnected before the end
  std::uint64_t open = 0;
  // Tokens of the answers that replicas completed.
  double generated_tokens = 0;
  double delivered_tokens = 0;  // tokens that reached a router whose attempt was still open
  double discarded_tokens = 0;  // tokens of answers whose attempt had ended before

  bool token_counts_add_up() const { return generated_tokens == delivered_tokens + discarded_tokens; }
  bool counts_add_up() const {
    return admitted == served + rejected + failed + timed_out + interrupted + client_disconnected + open;
  }
};

// The number of times that routers broke each of the operators' rules.
struct RuleViolations {
  std::uint64_t unanswered_tries = 0;     // tries that ended without a final answer in time
  std::uint64_t concurrent_attempts = 0;  // attempts that started while another one was open
  // Attempts that started after the grace period at a replica that drains or is removed.
  std::uint64_t attempts_to_draining = 0;
  std::uint64_t overloaded_replicas = 0;  // replicas that were overloaded, and failed, while they warmed up
  // Attempts at a request that a replica had run already, and whose repeat nobody discards.
  std::uint64_t harmful_repeats = 0;
  // Requests that a replica had run, rejected although a client's repeat is not discarded everywhere.
  std::uint64_t harmful_rejections = 0;

  std::uint64_t all() const {
    return unanswered_tries + concurrent_attempts + attempts_to_draining + overloaded_replicas +
           harmful_repeats + harmful_rejections;
  }
};

struct ReplicaResult {
  std::uint32_t id = 0;
  std::string kind;
  std::string zone;
  double work = 0;  // work of all attempts that arrived, in microseconds at speed 1
  std::uint64_t sent = 0;
  std::uint64_t full = 0;                     // attempts that were rejected because the replica was full
  std::vector<std::uint32_t> request_counts;  // number of running and waiting requests at each sample
  std::vector<double> tokens_read;  // uncached tokens of the prompts whose answers began between two samples
};

struct Result {
  std::string scenario;
  std::string policy;
  std::uint64_t seed = 0;
  double seconds = 0;
  std::size_t routers = 0;
  std::size_t replicas = 0;
  std::vector<ClassResult> classes;
  std::vector<EarnedWeight> windows;  // by the time at which the request was sent
  std::vector<EarnedWeight> members;  // in the order of Scenario::members
  std::vector<std::string> member_names;
  double window_s = 10;
  double sample_s = 1;
  double score = 0;  // docs/experiments.md, "Score"
  EarnedWeight total_weight;
  std::uint64_t peer_bytes = 0;           // bytes of messages between routers, counted for each receiver
  std::uint64_t turns = 0;                // number of requests of sessions
  std::uint64_t tries = 0;                // number of tries of the clients
  std::uint64_t attempts = 0;             // number of attempts of the routers
  std::uint64_t cross_zone_attempts = 0;  // number of attempts at a replica of another zone
  std::uint64_t events = 0;
  double prompt_tokens = 0;   // prompt tokens of the answers that began
  double cached_tokens = 0;   // number of the prompt tokens that replicas found in their caches
  double requested_work = 0;  // work of all requests, in microseconds at speed 1
  double wasted_work = 0;     // work of the attempts whose request ended without an answer
  // Counters of the affinity tables of all routers: how often a table stopped trusting its records of the
  // whole fleet's caches, stopped trusting those of one replica's cache, and trusted a replica's records
  // again.
  std::uint64_t fleet_losses = 0;
  std::uint64_t replica_losses = 0;
  std::uint64_t regained = 0;
  RequestTotals totals;
  RuleViolations violations;
  std::vector<ReplicaResult> fleet;
  // Sums over `slowdowns` requests, on plain queues only.
  double slowdown_sum = 0;  // sum of waiting time divided by service time
  double wait_sum = 0;      // sum of the waiting times in microseconds
  std::uint64_t slowdowns = 0;
  // Costs of this run on this machine.
  double wall_s = 0;
  double module_s = 0;

  double cached_share() const { return prompt_tokens > 0 ? cached_tokens / prompt_tokens : 0; }
};

// Returns the largest share that one replica had of all prompt tokens read in any `window_s` seconds between
// the two times (seconds of the day, on the grid of samples), in multiples of a fair share. Returns 0 if no
// token was read.
double worst_share(const Result& result, double window_s, double from_s, double to_s);

// Returns the result of a day that has not begun: names and sizes are set, counts are zero.
Result empty_result(const Scenario& scenario, std::uint64_t seed);

// Returns the fraction of the request's weight that a complete answer of `generated` tokens earns
// (docs/experiments.md, "Score"). All times are microseconds on one clock.
double earned_fraction(const RequestClass& request_class, Time objective_at, Time deadline, Time first_at,
                       Time ended_at, double generated);

// Returns whether a request that was sent at this time is scored. Requests during the day's warm-up are not.
bool is_scored(const Scenario& scenario, Time requested_at);

// Adds the weight of a request, and the earned fraction (0..1) of the weight, if the request is scored.
// `requested_at` is in microseconds from the day's start.
void add_weight(Result& result, const Scenario& scenario, Time requested_at, std::size_t class_index,
                std::size_t member, double priority_weight, double earned_fraction);

// Computes the score from the weights, the wasted work and the cross-zone attempts (docs/experiments.md,
// "Score").
void set_score(Result& result);

enum class Costs { excluded, included };

// Returns one JSON object on one line.
std::string to_json(const Result& result, Costs costs);

}  // namespace thornwick::emulator
