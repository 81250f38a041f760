// The parameters of an emulated day: the fleet, its zones and network, its clients, and its faults. A
// scenario gives ranges; the values of a day are drawn from these ranges with the day's seed. Scenarios are
// read from TOML files, whose keys docs/experiments.md lists.
//
// The suffix of a field names its unit: _s seconds, _ms milliseconds, _us microseconds, _per_s per second, _k
// thousands. Sizes without a suffix are in tokens.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "emulator/engine.hpp"
#include "thornwick/routing_policy.hpp"

namespace thornwick::emulator {

// A range from which a value is drawn with a uniform distribution: [low, high).
struct Range {
  double low = 0;
  double high = 0;
};

// A kind of replicas, which share the ranges of their parameters. ModelLimits explains the parameters.
struct ReplicaKind {
  std::string name;
  double share = 1;    // share of the fleet, relative to the other kinds
  bool queue = false;  // whether the replica is a plain queue in arrival order instead of a model
  Range speed{1, 1};
  Range slots{48, 64};
  Range waiting{48, 64};
  Range memory_k_tokens{200, 300};
  Range chunk{4096, 4096};
  Range step_ms{12, 16};
  Range per_sequence_us{150, 250};
  Range context_us_per_k{30, 60};
  Range read_per_s{14'000, 20'000};
  bool caches_generated = true;
  bool drops_expired = false;
  Range initial_capacity{0.4, 0.5};  // fraction of the full speed right after a start
  Range warm_up_s{5, 7};             // time from a start until the full speed is reached
  double error_rate = 0;             // fraction of the requests that fail instead of being answered
};

// A class of requests, with the behaviour of the clients that send them.
struct RequestClass {
  std::string name;
  double share = 1;  // share of the requests, relative to the other classes
  double priority_weight = 1;
  double late_weight = 0.25;  // fraction of the weight that an answer after the latency objective earns
  double latency_objective_ms = 1000;     // latency objective of the first token
  double latency_objective_ms_per_k = 0;  // added for each 1,000 prompt tokens
  double token_ms = 100;                  // maximum mean time for a token after the first one
  double deadline_ms = 5000;
  // What running a request twice does, and which replicas discard the repeats of a keyed one for how long.
  Effect effect = Effect::safe;
  DedupScope dedup_scope = DedupScope::all;
  double dedup_window_ms = 5000;
  Range turns{1, 1};  // number of requests of a session
  Range new_tokens{100, 100};
  Range generated{100, 100};
  double new_sigma = 0.5;  // standard deviation of the logarithm of the new tokens
  double generated_sigma = 0.5;
  double max_tokens = 800;   // maximum number of tokens of an answer
  std::size_t prefixes = 0;  // number of shared prefixes; each session begins with one of them
  Range prefix_tokens{1000, 2000};
  double prefix_skew = 0.8;  // Zipf's exponent
  double think_s = 6;        // mean time between an answer and the next request
  // Bounded Pareto service times for plain queues, in microseconds at speed 1. Only used if alpha is above 0.
  double alpha = 0;
  double min_us = 0;
  double max_us = 0;
  double mean_us = 0;
};

// A member (tenant) of the service.
struct Member {
  std::string name;
  double share = 1;   // share of the service, relative to the other members
  double demand = 1;  // share of the requests, relative to the other members
};

enum class DayFaultKind { burst, zone_lost, slow, flush, ageing, replacement, partition };

struct DayFault {
  DayFaultKind kind = DayFaultKind::burst;
  Range at_s{0, 0};
  Range seconds{0, 0};
  // burst: multiple of the rate; slow, ageing: factor by which replicas become slower; flush: fraction of the
  // cached prompts.
  Range size{1, 1};
  bool unreachable = false;
  bool routers = false;  // zone_lost: whether the zone's routers are lost, too
  Range every_s{1, 1};   // replacement: interval between the replacements of two replicas
};

struct Scenario {
  std::string name = "scenario";
  double seconds = 50;          // duration in which clients send requests
  double warm_up_s = 5;         // time at the day's start in which no request is scored
  double drain_s = 12;          // time from draining to the end of a replica that is replaced
  double max_overtime_s = 120;  // maximum time after the day for which open requests continue
  std::size_t routers = 4;
  std::size_t replicas = 12;
  std::vector<std::string> zones{"a"};
  std::vector<ReplicaKind> kinds{ReplicaKind{}};
  std::vector<RequestClass> classes{RequestClass{}};
  std::vector<Member> members{Member{"all", 1, 1}};
  double over_share_weight = 1;  // factor on the priority weight of requests beyond a member's share
  Range load{0.5, 0.5};          // demand as a fraction of the fleet's capacity
  double zone_skew = 0;          // fraction by which the zones' numbers of clients differ
  // Standard deviation of the logarithm of the work hint's error; below 0: requests have no hint.
  double hint_sigma = 0.1;
  Range same_zone_ms{0.2, 0.2};  // one-way time within a zone
  Range cross_zone_ms{10, 10};   // one-way time between zones
  double jitter = 0.2;  // mean delay that is added to each message, as a fraction of the one-way time
  double handshake_ms = 1;
  double idle_timeout_s = 5;          // time after which an idle connection is closed
  double connect_timeout_ms = 120;    // time until a connection to an unreachable replica fails
  std::size_t max_connections = 600;  // maximum number of connections of a replica
  // Discovery: delays until a change is registered.
  Range removal_delay_s{1, 3};       // for a replica that drains or has ended
  Range unreachable_delay_s{5, 12};  // for a replica that cannot be reached
  Range addition_delay_s{0.3, 1.7};  // for a replica that has started
  // Messages between routers.
  Range peer_ms{1.6, 22};
  double peer_loss = 0.02;
  // Clients.
  std::size_t retries = 3;
  double try_timeout_fraction = 0.55;  // fraction of the deadline after which a try times out
  double honor_probability = 0.2;      // probability that a client waits for Retry-After
  double cancel_probability = 0.02;    // probability that a client cancels a try
  Range backoff_ms{0, 160};
  // Settings of the routers.
  std::size_t attempts = 5;
  double drain_grace_ms = 500;
  // Multiple of its current speed at which a replica that warms up is overloaded.
  double overload_multiple = 3;
  double overload_ms = 2000;  // duration of that load after which the replica fails
  bool retry_after = true;
  double max_retry_after_ms = 2000;
  bool affinity = true;
  bool peers = true;  // whether routers may send each other messages
  std::size_t affinity_entries = 100'000;
  bool fair_admission = false;  // admission by the members' shares (src/budgets/fair_share.hpp)
  std::string policy = "module";
  std::vector<DayFault> faults;
};

// A value that replaces the value of a key of the file. Keys are written like "fleet.boxes", or
// "class.0.share" for the first [[class]]. The value is written as in TOML.
struct Override {
  std::string key;
  std::string value;
};

// Reads and checks a file. Throws settings::InvalidFile with one line for each error: "FILE:LINE: KEY:
// description", or "--set KEY: description" for an override.
Scenario read_scenario(const std::string& path, const std::vector<Override>& overrides = {});

}  // namespace thornwick::emulator
