// The probes in flight, and the members to probe next.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "membership/token_bucket.hpp"

namespace thornwick::membership {

// One attempt to get an answer from a member: a ping, a second ping, and then pings by helpers as well.
struct ProbeRound {
  enum class Stage : std::uint8_t { pinged = 1, pinged_twice, helpers_asked };

  std::size_t member = 0;
  std::uint32_t number = 0;  // number in the round's messages
  Time started_at = 0;
  Time next_stage_at = 0;
  Time deadline = 0;         // the round fails if no answer comes before this time
  bool is_ordinary = false;  // the member was alive and not in doubt at the start
  Stage stage = Stage::pinged;
  bool has_ended = false;
};

// A ping that this router sent at another router's request.
struct IndirectProbe {
  std::size_t requester = 0;
  std::size_t target = 0;
  std::uint32_t requester_number = 0;
  std::uint32_t number = 0;
};

struct ProbeState {
  explicit ProbeState(Time now) : budget(0, now) {}

  std::vector<ProbeRound> rounds;  // ended rounds are kept for a while, for late answers
  std::deque<IndirectProbe> indirect;
  std::uint32_t last_number = 0;

  std::vector<std::size_t> order;  // members to probe, the next one at the back
  Time next_probe_at = 0;          // time of the next ordinary probe
  Time last_probe_at = 0;
  TokenBucket budget;  // messages that may be sent before the next ordinary probe has to wait

  std::size_t last_doubted = 0;               // the member in doubt that was probed last
  std::vector<std::size_t> pending_failures;  // members to set to failed at the end of this tick
  std::deque<std::size_t> expedited;          // members to probe out of turn
  Time next_expedited_at = 0;
};

}  // namespace thornwick::membership
