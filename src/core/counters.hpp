// The counters of the core.
#pragma once

#include <cstdint>
#include <map>

#include "core/events.hpp"
#include "thornwick/routing_policy.hpp"

namespace thornwick::core {

// Counts since the start of the process: requests by how they ended, and attempts.
struct Counters {
  std::uint64_t admitted = 0;  // requests
  std::uint64_t attempts = 0;  // launched
  std::uint64_t served = 0;
  std::uint64_t rejected = 0;
  std::uint64_t failed = 0;
  std::uint64_t timed_out = 0;
  std::uint64_t interrupted = 0;
  std::uint64_t client_disconnected = 0;       // the client disconnected before its final answer
  std::uint64_t rejections_not_permitted = 0;  // failed or timed out instead, as an attempt may have run
  std::map<Outcome, std::uint64_t> outcomes;   // outcomes of attempts, including those that were not launched

  // Counts a request that has ended.
  void count(CompletionStatus status);
};

}  // namespace thornwick::core
