// Operators' requests (corrections and replacements) on their way to the ledgers. A request is repeated until
// the ledger's leader responds, and given up after a timeout. No I/O; times are microseconds.
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
    unknown    // no response in time: it may have been applied
  };
  Status status = Status::unknown;
  std::string reason;  // of a rejection, as the ledger's leader or this router words it; otherwise empty
};

// The outcome that a response reports.
OperatorOutcome outcome_of(const OperatorResponse& response);

class OperatorRequests {
 public:
  // Called once for each request.
  using Done = std::function<void(const OperatorOutcome& outcome)>;
  // Sends a message to all replicas of a ledger. Only the leader accepts a request, and applies it once
  // however often it is repeated.
  using SendToReplicas = std::function<void(std::size_t ledger, const std::string& envelope)>;

  // Whether add() may be called for this many more requests.
  [[nodiscard]] bool has_room_for(std::size_t requests) const;
  // `envelope` is the whole message. The next tick() sends it.
  void add(Time now, std::uint64_t id, std::size_t ledger, std::string envelope, Done done);
  // Gives up the requests that have timed out, and sends the requests that are due.
  void tick(Time now, const SendToReplicas& send);
  // Completes the request that a response belongs to. Returns false if no such request is open.
  bool on_response(std::size_t ledger, const OperatorResponse& response);
  // When the next tick() is due, or `otherwise` if `otherwise` is earlier.
  Time next_tick(Time otherwise) const;

 private:
  struct Request {
    std::uint64_t id = 0;
    std::size_t ledger = 0;
    std::string envelope;
    Time give_up_at = 0;
    Time send_at = 0;
    Done done;
  };
  std::deque<Request> requests_;
};

}  // namespace thornwick::replication
