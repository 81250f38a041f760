// Carries messages of any length over links. A message is cut into fragments, which are sent when the link
// has room and are reassembled at the other end. The queue for each member is bounded. When a link is lost,
// the messages in transit are lost.
//
// A frame consists of one byte, which states whether more fragments of the message follow, and the fragment.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "net/links.hpp"

namespace thornwick::net {

struct FragmentCounters {
  std::uint64_t lost = 0;       // messages that were not sent because there was no link or no room
  std::uint64_t malformed = 0;  // fragments that cannot be reassembled
};

class MessageFragmenter {
 public:
  using OnMessage = std::function<void(std::string_view)>;

  static constexpr std::size_t kFragmentBytes = 48UL * 1024;  // of a message in one frame
  static constexpr std::size_t kMaxQueuedBytes = 16 << 20;    // queued bytes for one member
  static constexpr std::size_t kMaxMessageBytes = 32 << 20;   // of a received message

  // attach() must be called before any message is sent.
  explicit MessageFragmenter(std::uint8_t channel) : channel_(channel) {}
  // `links` is not owned and must outlive the fragmenter.
  void attach(PeerLinks& links) { links_ = &links; }

  // Returns false if the message is lost because there is no link or no room.
  bool send(std::size_t member, std::string_view bytes);
  // Must be called when the link with this member can take frames again.
  void on_writable(std::size_t member);
  // Must be called when the link with this member is lost.
  void on_link_lost(std::size_t member);
  // Must be called for each frame of the channel. Calls `on_message` if the frame completes a message.
  void on_frame(std::size_t member, std::string_view bytes, const OnMessage& on_message);
  const FragmentCounters& counters() const { return counters_; }

 private:
  struct Queue {
    std::deque<std::string> frames;
    std::size_t bytes = 0;
  };

  std::uint8_t channel_;
  PeerLinks* links_ = nullptr;
  std::map<std::size_t, Queue> queues_;         // by member
  std::map<std::size_t, std::string> partial_;  // by member: fragments received of an incomplete message
  FragmentCounters counters_;
};

}  // namespace thornwick::net
