// Gossip updates: claims that this router passes on with its messages, each a few times. The updates that
// were sent least often are sent first.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "membership/message.hpp"

namespace thornwick::membership {

struct GossipUpdate {
  Claim claim;
  std::uint32_t sent_count = 0;
};

class GossipQueue {
 public:
  // Replaces an earlier update of the same member.
  void push(const Claim& claim);
  // The updates in the order in which they should be sent. Valid until the next push() or erase_sent().
  std::vector<GossipUpdate>& sorted();
  // Erases updates that were sent `max_sent_count` times, and updates about the member with the id `self`,
  // whose claim is in every message.
  void erase_sent(std::uint32_t max_sent_count, std::uint32_t self);
  const std::vector<GossipUpdate>& updates() const { return updates_; }
  // The index of the next member, in turn, whose claim fills the space that the updates leave in a message.
  std::size_t next_filler(std::size_t members);

 private:
  std::vector<GossipUpdate> updates_;
  std::size_t last_filler_ = 0;
};

}  // namespace thornwick::membership
