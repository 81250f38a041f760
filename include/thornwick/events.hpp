// The events of a router: updates of the endpoint list, requests, and results of their attempts.
#pragma once

#include <cstdint>
#include <span>

#include "thornwick/types.hpp"

namespace thornwick {

// Whether a replica accepts requests, accepts no new ones, or is no longer part of the deployment.
enum class EndpointState { ready, draining, removed };

// An entry of the endpoint list, which describes a replica.
struct Endpoint {
  ReplicaId id = 0;
  EndpointState state = EndpointState::ready;
  Time started_at = 0;  // when the process of the replica started; 0: long ago
  std::uint16_t zone = 0;
  std::uint16_t cell = 0;  // subdivision of a zone
  std::uint16_t kind = 0;  // replicas of one kind are alike in hardware and speed
  float weight = 1;        // capacity relative to the other replicas
};

// The extent of an update of the endpoint list.
enum class EndpointUpdate {
  delta,   // the entries that changed
  full,    // all entries; a replica without an entry is removed
  cached,  // all entries as they were some time ago
  failed   // discovery gave no answer; the list in effect stays
};

// Where the prompt of a request is expected to be cached (src/affinity/). The policy may ignore it.
struct CacheHint {
  bool has_replica = false;    // `replica`, `expected_tokens` and `confidence` are set
  ReplicaId replica = 0;       // the replica that has most of the prompt cached
  double expected_tokens = 0;  // cached tokens times confidence
  double confidence = 0;       // 0..1
  double cached_size = 0;      // size of the session's request that filled the cache; 0: there is none
};

// A request as it arrives from a client.
struct Request {
  RequestId id = 0;
  Time deadline = 0;                // when the client abandons this request
  std::uint8_t priority_class = 0;  // index into Settings::classes
  std::uint16_t tenant = 0;
  double prompt_tokens = 0;
  double prefix_tokens = 0;  // prompt tokens that are shared with other sessions
  double max_tokens = 0;     // limit on the length of the answer
  double work_hint = 0;      // expected work as the client gives it; 0: none given
  std::uint64_t session = 0;
  std::uint64_t prefix = 0;
  bool client_repeat = false;  // the client repeats an earlier request
  bool resumed = false;        // the request resumes a broken stream
  CacheHint cache_hint = {};
  std::uint16_t model = 0;   // number in the catalogue (src/models/), from 1 on; 0: there is no catalogue
  bool no_fallback = false;  // the client accepts no other model
  std::uint8_t attempts_before = 0;  // earlier attempts at replicas of another pool
  double weight_factor = 1;          // 0..1; factor on the priority weight, for instance beyond a soft limit
};

// How an attempt ended. `full`: the replica rejected it because it has no capacity left. `not_sent`: this
// router did not send it.
enum class Outcome { served, error, full, timed_out, connect_failed, reset, cancelled, not_sent };

// Whether no replica began to work on the attempt: it cost nothing, and a repeat does no harm.
inline bool never_ran(Outcome outcome) {
  return outcome == Outcome::full || outcome == Outcome::connect_failed || outcome == Outcome::not_sent;
}

// The end of an attempt.
struct AttemptResult {
  RequestId id = 0;
  std::uint8_t attempt = 0;  // from 0 on, in the order of the sends
  ReplicaId replica = 0;
  Outcome outcome = Outcome::served;
  Time elapsed = 0;                                // since the attempt was sent
  bool concluded = false;                          // the client has its final answer
  double cached_tokens = 0;                        // prompt tokens that the replica had cached
  double prompt_tokens = 0, generated_tokens = 0;  // as reported by the replica; valid if `has_usage`
  bool has_usage = false;                          // the replica reported the tokens of a complete answer
  double answer_characters = 0;                    // characters of the answer's text that the client received
  std::span<const float> report = {};  // load report in the order of Settings::report_fields; may be empty
};

}  // namespace thornwick
