// The state of a request between its admission and its final answer. Used by the RequestManager alone.
#pragma once

#include <cstdint>
#include <memory>

#include "affinity/affinity_table.hpp"
#include "core/events.hpp"
#include "core/interfaces.hpp"
#include "core/timer_queue.hpp"

namespace thornwick::core {

// The state of a request's current attempt.
enum class AttemptState {
  none,                  // no attempt is in flight
  awaiting_first_event,  // launched; nothing was passed on to the client, so another attempt may follow
  streaming,             // events were passed on: this attempt's answer is the request's
  complete,              // the same, and the terminal event has come
  failed                 // the same, and the replica reported that the answer failed
};

// Whether events of the attempt have been passed on to the client.
constexpr bool has_started(AttemptState state) {
  return state != AttemptState::none && state != AttemptState::awaiting_first_event;
}

// The state after an event of the attempt that is passed on. A failure is not undone by later events.
constexpr AttemptState state_after(AttemptState state, EventKind event) {
  if (event == EventKind::error || state == AttemptState::failed) return AttemptState::failed;
  if (event == EventKind::end) return AttemptState::complete;
  if (state == AttemptState::awaiting_first_event && event != EventKind::comment)
    return AttemptState::streaming;
  return state;
}

struct ActiveRequest {
  bool attempt_in_flight() const { return attempt_state != AttemptState::none; }
  bool answer_started() const { return has_started(attempt_state); }

  Reply* reply = nullptr;  // not owned; valid until the final call
  IncomingRequest arrival;
  RequestSummary summary;
  TimerQueue::Handle deadline_timer;

  // The latest attempt that was launched.
  AttemptId attempt;
  AttemptState attempt_state = AttemptState::none;
  ReplicaId replica = 0;
  std::uint16_t model = 0;
  std::shared_ptr<const Allowance> allowance;
  Time attempt_sent = 0;
  TimerQueue::Handle attempt_timer;

  std::uint8_t next_attempt_number = 0;  // attempts that were not launched are numbered, too
  bool may_have_run = false;             // whether a replica may have processed any attempt

  double answer_characters = 0;       // of the answer's text so far
  bool has_usage = false;             // summary.usage is what the replica reported
  affinity::Expectation expectation;  // of the attempt whose answer has started
};

}  // namespace thornwick::core
