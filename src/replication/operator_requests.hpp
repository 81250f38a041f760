// Operators' requests (corrections and replacements) to the ledgers. A request is repeated until the ledger's
// leader responds, and ends with an unknown outcome after a timeout. No I/O; times are microseconds.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <string>

#include "replication/message.hpp"

namespace thornwick::replication {

// How an operator's request ended.
struct OperatorOutcome {
  enum class Status : std::uint8_t {
    accepted,  // committed by a majority of the ledger's replicas
    rejected,  // not applied
    unknown    // no response came in time, so the request may have been applied or not
  };
  Status status = Status::unknown;
  std::string reason;  // reason of a rejection, from the ledger's leader or this router; otherwise empty
};

// The outcome that a response reports.
OperatorOutcome outcome_of(const OperatorResponse& response);

class OperatorRequests {
 public:
  // Called once for each request, with its outcome.
  using Done = std::function<void(const OperatorOutcome& outcome)>;
  // Sends a message to all replicas of a ledger. Only the leader accepts a request, and applies the request
  // once, however often the message is repeated.
  using SendToReplicas = std::function<void(std::size_t ledger, const std::string& envelope)>;

  // Whether `requests` more requests may be added.
  [[nodiscard]] bool has_room_for(std::size_t requests) const;
  // Adds a request, which the next tick() sends. `envelope` is the encoded message with its header.
  void add(Time now, std::uint64_t id, std::size_t ledger, std::string envelope, Done done);
  // Ends the requests that have timed out, and sends the requests that are due.
  void tick(Time now, const SendToReplicas& send);
  // Completes the request that a response belongs to. Returns false if no such request is open.
  bool on_response(std::size_t ledger, const OperatorResponse& response);
  // The time at which the next tick() is due, but not later than `latest`.
  Time next_tick(Time latest) const;

 private:
  struct Request {
    std::uint64_t id = 0;
    std::size_t ledger = 0;
    std::string envelope;
    Time deadline = 0;
    Time next_send_at = 0;
    Done done;
  };
  std::deque<Request> requests_;
};

}  // namespace thornwick::replication
