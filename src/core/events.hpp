// The messages between the core and the modules around it: requests and answer events, independent of any
// wire format. Plain data without behaviour.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "thornwick/routing_policy.hpp"

namespace thornwick::core {

// Identifies one attempt of a request. Attempts are numbered from 0 in the order in which the routing policy
// decided on them.
struct AttemptId {
  RequestId request_id = 0;
  std::uint8_t number = 0;
  auto operator<=>(const AttemptId&) const = default;
};

// The token counts of an answer, as the replica reports them.
struct Usage {
  std::uint64_t prompt_tokens = 0;
  std::uint64_t generated_tokens = 0;
  std::uint64_t cached_tokens = 0;  // tokens of the prompt that were in the replica's cache
};

// What an event of an answer carries.
enum class EventKind {
  start,    // the answer begins
  delta,    // a piece of text
  stop,     // why the answer ended
  usage,    // the token counts
  end,      // the terminal event: the answer is complete
  error,    // the replica reports that the answer failed
  ping,     // a keep-alive
  comment,  // a comment in the stream, which is not part of the answer
  unknown   // an event name that no supported dialect has
};

// One event of an answer's stream.
struct StreamEvent {
  EventKind kind = EventKind::unknown;
  std::string text;          // delta: the text; stop: the reason; error: the message; unknown: the name
  std::string final_text;    // stop: the text in the same frame
  Usage usage;               // start, usage, and stop if `has_usage` is set
  bool has_usage = false;    // stop: whether the same frame has `usage`
  std::string model;         // the model's name if the frame carries it, else empty
  std::string raw_frame;     // the frame, byte for byte, as the replica sent it
  std::string_view dialect;  // the name of the frame's dialect; refers to static storage
};

// What an attempt sends to its replica. The core passes it through and does not read it.
struct Payload {
  virtual ~Payload() = default;
};

// A request as a client's connection passes it to the core.
struct IncomingRequest {
  Request request;  // its id is assigned by the core
  std::shared_ptr<const Payload> payload;
  std::string external_id = {};  // the client's name for the request, for the log
};

// Why a request ended without an answer although an attempt may have run.
enum class FailureReason { upstream, timed_out };

// How a request ended.
enum class CompletionStatus {
  served,       // the client has the complete answer
  rejected,     // nothing ran, and the client may repeat the request
  failed,       // no attempt succeeded
  timed_out,    // no answer began before the deadline
  interrupted,  // the answer ended in the middle
  client_disconnected
};

// The course and result of one request, for counters and flow records. Times are microseconds on the core's
// clock.
struct RequestSummary {
  CompletionStatus status = CompletionStatus::served;
  Time arrived_at = 0;
  Time first_event_at = 0;  // 0: no answer began
  Time ended_at = 0;
  unsigned attempts = 0;      // attempts that were launched
  bool may_have_run = false;  // whether a replica may have processed any attempt
  ReplicaId last_replica = 0;
  std::uint16_t model = 0;   // the model that the last attempt requested; 0: there is no catalogue
  std::uint64_t events = 0;  // events passed on to the client
  std::uint64_t bytes = 0;   // length of the frames of these events
  Usage usage;
  Request request;
  std::string external_id;                      // the client's name for the request
  RefusalReason refusal = RefusalReason::none;  // why the policy ended the request; none: it did not
};

}  // namespace thornwick::core
