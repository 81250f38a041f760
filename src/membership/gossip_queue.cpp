#include "membership/gossip_queue.hpp"

#include <algorithm>

namespace thornwick::membership {

void GossipQueue::push(const Claim& claim) {
  std::erase_if(updates_, [&](const GossipUpdate& update) { return update.claim.member == claim.member; });
  updates_.insert(updates_.begin(), {claim, 0});
}

std::vector<GossipUpdate>& GossipQueue::sorted() {
  std::stable_sort(updates_.begin(), updates_.end(),
                   [](const GossipUpdate& a, const GossipUpdate& b) { return a.sent_count < b.sent_count; });
  return updates_;
}

void GossipQueue::erase_sent(std::uint32_t max_sent_count, std::uint32_t self) {
  std::erase_if(updates_, [&](const GossipUpdate& update) {
    return update.sent_count >= max_sent_count || update.claim.member == self;
  });
}

std::size_t GossipQueue::next_filler(std::size_t members) {
  last_filler_ = (last_filler_ + 1) % members;
  return last_filler_;
}

}  // namespace thornwick::membership
