// What is emulated: a fleet, its zones and network, who asks, and what goes wrong. A scenario gives ranges; a
// day is one draw from them by its seed. Read from TOML (docs/experiments.md has every key); checked whole.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "emulator/engine.hpp"
#include "thornwick/routing_policy.hpp"

namespace thornwick::emulator {

struct Range {
  double low = 0, high = 0;
};

struct ReplicaKind {
  std::string name;
  double share = 1;    // of the fleet
  bool queue = false;  // a plain queue in arrival order instead of a model
  Range speed{1, 1};
  Range slots{48, 64}, waiting{48, 64}, memory_k{200, 300}, chunk{4096, 4096}, step_ms{12, 16},
      sequence_us{150, 250}, context_us_per_k{30, 60}, read_per_s{14'000, 20'000};
  bool keeps_made = true, drops_expired = false;
  Range initial_capacity{0.4, 0.5}, cold_s{5, 7};
  double error_rate = 0;  // of requests that fail instead of being answered
};

struct Demand {  // a class of requests
  std::string name;
  double share = 1;  // of the requests
  double priority_weight = 1, late_weight = 0.25;
  double aim_ms = 1000, aim_ms_per_k = 0, token_ms = 100, deadline_ms = 5000;
  Range turns{1, 1}, new_tokens{100, 100}, generated{100, 100};
  double new_sigma = 0.5, made_sigma = 0.5;
  double most_made = 800;
  std::size_t prefixes = 0;
  Range prefix_tokens{1000, 2000};
  double prefix_skew = 0.8;  // Zipf's exponent
  double think_s = 6;
  // Of a plain queue: sizes in microseconds at speed 1, Bounded Pareto; used where alpha is above 0.
  double alpha = 0, least_us = 0, most_us = 0, mean_us = 0;
};

struct Member {
  std::string name;
  double share = 1;   // of the service
  double demand = 1;  // of the requests
};

enum class DayFaultKind { burst, zone_lost, slow, flush, ageing, replacement, partition };
struct DayFault {
  DayFaultKind kind = DayFaultKind::burst;
  Range at_s{0, 0}, seconds{0, 0};
  Range size{1, 1};      // burst: multiple of the rate; slow, ageing: times slower; flush: part of the copies
  bool silent = false;   // zone_lost: nothing is heard of it; else its processes die
  bool routers = false;  // zone_lost: its routers, too
  Range every_s{1, 1};   // replacement: one replica after so long
};

struct Scenario {
  std::string name = "scenario";
  double seconds = 50, warm_up_s = 5, drain_s = 12;
  double end_s = 120;  // a day runs on so long at most until all is answered
  std::size_t routers = 4, replicas = 12;
  std::vector<std::string> zones{"a"};
  std::vector<ReplicaKind> kinds{ReplicaKind{}};
  std::vector<Demand> classes{Demand{}};
  std::vector<Member> members{Member{"all", 1, 1}};
  double over_share_weight = 1;
  Range load{0.5, 0.5};     // of the fleet's capacity
  double zone_skew = 0;     // part by which one zone has more clients than another
  double hint_sigma = 0.1;  // of the hint's logarithm; below 0: no hint
  // Network.
  Range same_ms{0.2, 0.2}, cross_ms{10, 10};
  double jitter = 0.2;
  double handshake_ms = 1, idle_s = 5, dial_ms = 120;
  std::size_t most_connections = 600;  // of a replica
  // Discovery.
  Range notice_s{1, 3}, silent_notice_s{5, 12}, add_s{0.3, 1.7};
  // Peers.
  Range peer_ms{1.6, 22};
  double peer_loss = 0.02;
  // Clients.
  std::size_t retries = 3;
  double try_share = 0.55, honour = 0.2;
  double impatient = 0.02;  // of the tries end early, because the client goes
  Range backoff_ms{0, 160};
  // What the module is told of the rules.
  std::size_t attempts = 5;
  double drain_grace_ms = 500, overload_multiple = 3, tip_ms = 2000;
  bool retry_after = true;
  double most_retry_after_ms = 2000;
  bool affinity = true;
  bool peers = true;  // routers may send each other messages
  std::size_t affinity_entries = 100'000;
  bool fair = false;  // weighted fair admission by the members' shares (src/budgets/fair_share.hpp)
  std::string policy = "module";
  std::vector<DayFault> faults;
};

// Another value for a key: "fleet.replicas", or "class.0.share" in the first [[class]]; the value as TOML has
// it.
struct Override {
  std::string key, value;
};

// Throws settings::InvalidFile with one line for each error: "FILE:LINE: KEY: what is wrong", or "--set KEY:
// ..." for an override's.
Scenario read_scenario(const std::string& path, const std::vector<Override>& overrides = {});

}  // namespace thornwick::emulator
