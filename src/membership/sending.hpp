// Sends messages to other members: fills their content, and limits their number.
#pragma once

#include <cstddef>
#include <cstdint>

#include "membership/swim_state.hpp"

namespace thornwick::membership {

// The fields of a message that its kind determines. The other fields are the sender's claim about itself, and
// gossip.
struct MessageHead {
  MessageKind kind = MessageKind::ping;
  std::uint32_t number = 0;
  std::uint32_t subject_id = 0;  // id of a third member; 0: none
};

// Queues a message, filled with claims. The message counts against the budget of ordinary probes.
void send(SwimState& state, std::size_t to, const MessageHead& head);

// Takes one answer from the member's allowance. Returns false, and counts the request as ignored, if the
// allowance is used up. The allowance bounds the messages that a member can make this router send.
[[nodiscard]] bool may_answer(SwimState& state, Time now, std::size_t member);

// Whether the message budget allows an ordinary probe. Probes of members in doubt, and answers, use the same
// budget, so that message loss does not multiply the messages sent.
[[nodiscard]] bool may_probe(SwimState& state, Time now);

}  // namespace thornwick::membership
