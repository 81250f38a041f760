// Links between routers of a group: one kept TCP connection for each pair that needs one, with frames over
// it (link_frame.hpp). Addresses must be private to the group: there is no sign-in, only a greeting with
// version, group and numbers.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "net/link_frame.hpp"
#include "net/loop.hpp"

namespace thornwick::net {

// What has happened with links since the start.
struct LinkCounters {
  std::uint64_t dialed = 0;
  std::uint64_t accepted = 0;  // connections, whoever made them
  std::uint64_t up = 0;
  std::uint64_t lost = 0;      // that were up
  std::uint64_t rejected = 0;  // greetings of another version, group or number
  std::uint64_t spoilt = 0;    // ended for a frame that cannot be read
  std::uint64_t silent = 0;    // ended because nothing came
  std::uint64_t frames_out = 0;
  std::uint64_t frames_in = 0;
  std::uint64_t bytes_out = 0;
  std::uint64_t bytes_in = 0;
  std::uint64_t held_back = 0;  // frames that send() refused for want of room
};

class Links {
 public:
  static constexpr std::size_t kMostFrame = kMaxFrameBytes;

  struct Options {
    std::string listen;                  // empty: accepts none
    std::uint32_t group = 0;             // those of another one are rejected
    std::size_t self = 0;                // members are numbered alike at all routers
    std::vector<std::string> addresses;  // by member
    Time beat = seconds(2);  // heartbeat of a link on which nothing else goes; four without a byte end it
    std::size_t most_waiting = 256UL * 1024;  // bytes on the way to one member
    std::uint64_t seed = 1;                   // of the retry pauses' jitter
  };
  struct Callbacks {
    std::function<void(std::size_t member, std::uint8_t channel, std::string_view bytes)> received;
    std::function<void(std::size_t member, bool up)> changed = [](auto, auto) {};
    std::function<void(std::size_t member)> room = [](auto) {};  // send() refused, and would not now
  };

  // Throws NetError if it cannot listen.
  Links(Options options, Callbacks callbacks);
  Links(const Links&) = delete;
  Links& operator=(const Links&) = delete;
  ~Links();

  // Keep a link with this member, or no longer. A member may keep one with this router all the same.
  void want(std::size_t member, bool on);
  bool up(std::size_t member) const;
  // Channel 1 to 255. False: there is no link, its queue is full, or the frame is too long; nothing of it was
  // sent.
  bool send(std::size_t member, std::uint8_t channel, std::string_view bytes);
  // Bytes that are on their way to this member.
  std::size_t waiting(std::size_t member) const;
  const LinkCounters& counters() const { return counters_; }
  // Where it listens; empty if it does not.
  std::string address() const { return listener_ ? listener_->address() : std::string(); }

 private:
  class Link;
  using LinkList = std::list<std::unique_ptr<Link>>;

  struct Peer {
    bool wanted = false;
    bool send_refused = false;   // to be notified of room
    std::unique_ptr<Link> link;  // up, or on its way
    Time retry_pause = 0;
    Timer retry;
  };

  bool has_room() const;
  void dial(std::size_t member);
  void dial_later(std::size_t member);
  void on_accepted(Owned<GSocket> socket);
  LinkList::iterator find_stranger(const Link& link);
  std::unique_ptr<Link> remove_stranger(LinkList::iterator stranger);
  bool on_greeted(Link& link, std::size_t member);
  void replace_link(Link& stranger, std::size_t member);
  void on_ended(Link& link);
  void on_lost(std::size_t member);
  void on_drained(const Link& link);
  std::uint64_t next_random();

  Options options_;
  Callbacks callbacks_;
  std::vector<Peer> peers_;
  LinkList strangers_;  // accepted, and not greeted yet
  std::unique_ptr<Listener> listener_;
  LinkCounters counters_;
};

}  // namespace thornwick::net
