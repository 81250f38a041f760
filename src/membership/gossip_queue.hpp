// Gossip updates: claims that this router passes on with its messages, each a few times, the least often sent
// first.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "membership/message.hpp"

namespace thornwick::membership {

struct GossipUpdate {
  Claim claim;
  std::uint32_t sent = 0;
};

class GossipQueue {
 public:
  // Replaces an earlier update of the same member.
  void push(const Claim& claim);
  // The updates in the order in which they should be sent. Valid until the next push() or erase_spent().
  std::vector<GossipUpdate>& sorted();
  // Erases updates that were sent `most` times, and updates about `self`, whose claim is in every message.
  void erase_spent(std::uint32_t most, std::uint32_t self);
  const std::vector<GossipUpdate>& updates() const { return updates_; }
  // The next member, in turn, whose claim fills the room after the updates.
  std::size_t next_filler(std::size_t members);

 private:
  std::vector<GossipUpdate> updates_;
  std::size_t filler_ = 0;
};

}  // namespace thornwick::membership
