// What happens to a router: updates of the endpoint list, requests, and results of their attempts.
#pragma once

#include <cstdint>
#include <span>

#include "thornwick/types.hpp"

namespace thornwick {

// ---------------------------------------------------------------- endpoints

enum class EndpointState { ready, draining, removed };

// A replica as the endpoint list names it.
struct Endpoint {
  ReplicaId id = 0;
  EndpointState state = EndpointState::ready;
  Time started_at = 0;  // 0: long ago
  std::uint16_t zone = 0;
  std::uint16_t cell = 0;  // a part of a zone
  std::uint16_t kind = 0;  // replicas of one kind are alike in hardware and speed
  float weight = 1;        // capacity relative to the others
};

// The extent of an update of the endpoint list.
enum class EndpointUpdate {
  delta,   // the entries that changed
  full,    // all entries; what it omits is gone
  cached,  // all entries as they were some time ago
  failed   // no answer; the list in effect stays
};

// ---------------------------------------------------------------- requests

// Where the prompt of a request is expected to be cached (src/affinity/). The policy may ignore it.
struct CacheHint {
  bool has_replica = false;    // the next three are set
  ReplicaId replica = 0;       // has most of the prompt cached
  double expected_tokens = 0;  // expected to be found there: cached tokens times confidence
  double confidence = 0;       // 0..1
  double cached_size = 0;      // size of the session's request that filled the cache; 0: it has none
};

struct Request {
  RequestId id = 0;
  Time deadline = 0;                // when the client abandons this try
  std::uint8_t priority_class = 0;  // index into Settings::classes
  std::uint16_t tenant = 0;
  double prompt_tokens = 0;
  double prefix_tokens = 0;  // of which shared with other sessions
  double max_tokens = 0;     // answer limit
  double work_hint = 0;      // 0: none given
  std::uint64_t session = 0;
  std::uint64_t prefix = 0;
  bool client_repeat = false;  // the client sends it again
  bool resumed = false;        // returns after a broken stream
  CacheHint cache_hint = {};
  std::uint16_t model = 0;           // its number in the catalogue (src/models/), from 1 on; 0: there is none
  bool no_fallback = false;          // its client takes no other model
  std::uint8_t attempts_before = 0;  // attempts that went to replicas of another pool
  double weight_factor = 1;          // 0..1; on its priority weight, for instance beyond a soft limit
};

// ---------------------------------------------------------------- attempts

enum class Outcome { served, error, full, timed_out, connect_failed, reset, cancelled, not_sent };

// Nothing of it was ever begun: a repeat is harmless, and it costs nothing.
inline bool never_ran(Outcome outcome) {
  return outcome == Outcome::full || outcome == Outcome::connect_failed || outcome == Outcome::not_sent;
}

struct AttemptResult {
  RequestId id = 0;
  std::uint8_t attempt = 0;  // from 0 on, in the order of the sends
  ReplicaId replica = 0;
  Outcome outcome = Outcome::served;
  Time elapsed = 0;
  bool concluded = false;                          // the client has its final answer
  double cached_tokens = 0;                        // prompt tokens that the replica had cached
  double prompt_tokens = 0, generated_tokens = 0;  // as the replica reports them, if `has_usage`
  bool has_usage = false;                          // it reported the tokens of a whole answer
  double answer_characters = 0;                    // of the answer's text, passed on to the client
  std::span<const float> report = {};              // values in the order of Settings::report_fields, or empty
};

}  // namespace thornwick
