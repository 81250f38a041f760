// The state of a request between its admission and its final answer. Only the RequestManager uses it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "affinity/affinity_table.hpp"
#include "core/events.hpp"
#include "core/interfaces.hpp"
#include "core/timer_queue.hpp"
#include "thornwick/repeat_rule.hpp"

namespace thornwick::core {

// The state of a request's current attempt.
enum class AttemptState {
  none,                  // no attempt is in flight
  awaiting_first_event,  // launched; nothing was passed on to the client, so another attempt may follow
  streaming,             // events were passed on, so this attempt's answer is the request's answer
  complete,              // events were passed on, the terminal event among them
  failed                 // events were passed on, and the replica reported that the answer failed
};

// Returns whether events of the attempt have been passed on to the client.
constexpr bool has_started(AttemptState state) {
  return state != AttemptState::none && state != AttemptState::awaiting_first_event;
}

// Returns the state after an event of the attempt that is passed on to the client. Later events do not undo a
// failure.
constexpr AttemptState state_after(AttemptState state, EventKind event) {
  if (event == EventKind::error || state == AttemptState::failed) return AttemptState::failed;
  if (event == EventKind::end) return AttemptState::complete;
  if (state == AttemptState::awaiting_first_event && event != EventKind::comment)
    return AttemptState::streaming;
  return state;
}

// Bounds of what is kept of the comments before a stream's first event.
constexpr std::size_t kMaxLeadingComments = 8;
constexpr std::size_t kMaxLeadingCommentBytes = 1024;  // of one comment

// A request that has no final answer yet.
struct ActiveRequest {
  bool attempt_in_flight() const { return attempt_state != AttemptState::none; }
  bool answer_started() const { return has_started(attempt_state); }
  // Keeps a comment that came before the attempt's first event. It must not begin the answer: if the attempt
  // fails before that event, another one may follow, or an answer without a stream. Comments that do not fit
  // are dropped.
  void hold_comment(const StreamEvent& comment) {
    const bool fits = comment.raw_frame.size() <= kMaxLeadingCommentBytes;
    if (fits && leading_comments.size() < kMaxLeadingComments) leading_comments.push_back(comment);
  }

  Reply* reply = nullptr;  // not owned; valid until the final call
  IncomingRequest incoming_request;
  RequestSummary summary;
  TimerQueue::Handle deadline_timer;

  // The latest attempt that was launched.
  AttemptId attempt;
  AttemptState attempt_state = AttemptState::none;
  ReplicaId replica = 0;
  std::uint16_t model = 0;
  std::shared_ptr<const Allowance> allowance;
  Time attempt_sent_at = 0;
  TimerQueue::Handle attempt_timer;

  // Comments of the current attempt before its first event, which are passed on with that event.
  std::vector<StreamEvent> leading_comments;

  std::uint8_t next_attempt_number = 0;  // attempts that were not launched are numbered too
  AttemptHistory attempts;               // those that were launched
  // The time point from which the current attempt must not be sent any more, because of earlier attempts that
  // may have run.
  Time send_limit = kNoRepeatLimit;

  double answer_characters = 0;       // length of the answer's text so far
  bool has_usage = false;             // whether summary.usage is what the replica reported
  affinity::Expectation expectation;  // cache expectation for the attempt whose answer has started
};

}  // namespace thornwick::core
