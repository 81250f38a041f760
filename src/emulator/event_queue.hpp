// The events of an emulated day, in the order of their times.
#pragma once

#include <boost/heap/d_ary_heap.hpp>
#include <cstdint>

#include "thornwick/time.hpp"

namespace thornwick::emulator {

// The comment of each type names the event's `subject` and `index`. A type without a comment uses neither.
enum class EventType : std::uint8_t {
  session_arrived,
  session_turn_due,            // subject: session
  retry_due,                   // subject: client request
  client_cancelled,            // subject: client request
  router_timer,                // subject: version of the timer; index: router
  attempt_arrived,             // subject: attempt
  attempt_connect_failed,      // subject: attempt
  attempt_rejected,            // subject: attempt; the replica is full
  attempt_first_token,         // subject: attempt
  attempt_completed,           // subject: attempt
  attempt_reset,               // subject: attempt
  replica_timer,               // subject: version of the timer; index: replica
  replica_warm_up,             // index: replica, whose speed is updated while it warms up
  endpoint_change_registered,  // subject: index of the change
  watch_event_delivered,       // subject: index of the change; index: router
  endpoint_list_delivered,     // index: router
  peer_message_delivered,      // subject: datagram
  fault_started,               // index: fault
  fault_ended,                 // index: fault
  fault_progressed,            // index: fault
  load_sampled
};

struct Event {
  Time at = 0;                 // microseconds from the day's start
  std::uint64_t sequence = 0;  // orders events of the same time by when they were scheduled
  std::uint64_t subject = 0;
  std::uint32_t index = 0;
  EventType type = EventType::load_sampled;
};

// The queue is a heap with four children for each node: half the depth of a binary heap.
class EventQueue {
 public:
  void schedule(Time at, EventType type, std::uint64_t subject, std::uint32_t index) {
    heap_.push({at, ++last_sequence_, subject, index, type});
  }

  bool empty() const { return heap_.empty(); }

  // Time of the earliest event. The queue must not be empty.
  Time next_time() const { return heap_.top().at; }

  // Removes the earliest event. The queue must not be empty.
  [[nodiscard]] Event pop() {
    const Event event = heap_.top();
    heap_.pop();
    return event;
  }

 private:
  struct Later {
    bool operator()(const Event& a, const Event& b) const {
      return a.at != b.at ? a.at > b.at : a.sequence > b.sequence;
    }
  };

  boost::heap::d_ary_heap<Event, boost::heap::arity<4>, boost::heap::compare<Later>> heap_;
  std::uint64_t last_sequence_ = 0;
};

}  // namespace thornwick::emulator
