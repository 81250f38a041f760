// The core's timers: one queue in the order of time, for which the Clock's single alarm is enough. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "core/events.hpp"
#include "core/interfaces.hpp"

namespace thornwick::core {

enum class TimerKind {
  policy,           // set by the routing policy
  attempt_timeout,  // an attempt has not begun to answer in time
  request_deadline  // a request has no answer after its deadline
};

// What a timer is for. Fields that its kind does not name are unused.
struct TimerEntry {
  TimerKind kind = TimerKind::policy;
  std::uint32_t token = 0;  // policy: the token that the policy gets back
  AttemptId attempt;        // attempt_timeout: the attempt; request_deadline: any attempt of the request
};

class TimerQueue {
  using Entries = std::multimap<Time, TimerEntry>;

 public:
  // Refers to a pending timer, or is empty. cancel() empties it; the caller has to reset it when the timer
  // expires.
  using Handle = std::optional<Entries::iterator>;

  // The clock is not owned and has to outlive the queue.
  explicit TimerQueue(Clock& clock) : clock_(clock) {}

  // Adds a timer, and sets the clock's alarm to it if it is the earliest.
  Handle set(Time when, const TimerEntry& timer);
  // Removes a pending timer and empties the handle; an empty handle is ignored.
  void cancel(Handle& timer);
  // Removes and returns the earliest timer that is due at `now`, or returns nothing if none is due.
  std::optional<TimerEntry> take_due(Time now);
  // Sets the clock's alarm to the earliest timer, if there is one.
  void request_wake_up();

  std::size_t size() const { return entries_.size(); }

 private:
  Clock& clock_;
  Entries entries_;
};

}  // namespace thornwick::core
