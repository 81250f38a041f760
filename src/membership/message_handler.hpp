// Handles datagrams of other members: probes to answer, answers, requests for indirect probes, and claims.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

#include "membership/claim_handler.hpp"
#include "membership/failure_detector.hpp"
#include "membership/swim_state.hpp"

namespace thornwick::membership {

class MessageHandler {
 public:
  MessageHandler(SwimState& state, Time now)
      : state_(state), now_(now), claims_(state, now), detector_(state, now) {}

  // Handles a datagram. Counts and ignores a datagram that cannot be read or whose sender is not in the
  // roster.
  void handle(std::span<const std::uint8_t> datagram);

 private:
  // Whether the sender is the known process of its name. The message of an unknown process proves nothing:
  // the datagram is late, from a process that has ended, or the sender first has to refute the known process.
  enum class Sender { known, unknown };

  void on_message(const Message& message, std::size_t from);
  Sender update_sender(const Message& message, std::size_t from);
  void on_ping(const Message& message, std::size_t from);
  void on_ack(const Message& message, std::size_t from);
  void on_ping_request(const Message& message, std::size_t from);
  void on_indirect_ack(const Message& message, std::size_t from);

  SwimState& state_;
  Time now_;
  ClaimHandler claims_;
  FailureDetector detector_;
};

}  // namespace thornwick::membership
