// Links between the routers of a group: one persistent TCP connection for each pair of routers that needs a
// link. A link carries frames (link_frame.hpp). There is no authentication, only a greeting with the
// protocol's version, the group and the members' numbers. Therefore the addresses must be reachable from
// within the group only.
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

// Counts of events of all links since the start of the process.
struct LinkCounters {
  std::uint64_t dialed = 0;
  std::uint64_t accepted = 0;  // connections from other routers
  std::uint64_t up = 0;
  std::uint64_t lost = 0;       // links that were up and ended
  std::uint64_t rejected = 0;   // greetings with a wrong version, group or number
  std::uint64_t malformed = 0;  // links that ended because of a malformed frame
  std::uint64_t timed_out = 0;  // links that ended because no byte came in time
  std::uint64_t frames_out = 0;
  std::uint64_t frames_in = 0;
  std::uint64_t bytes_out = 0;
  std::uint64_t bytes_in = 0;
  std::uint64_t queue_full = 0;  // frames that send() rejected because the queue was full
};

// The state of a link for its users.
enum class LinkState { up, lost };

// All links of this router. A link sends heartbeats while it carries no other frames. A lost link is dialed
// again with backoff. Everything runs on the loop's thread, and the loop calls the callbacks.
class PeerLinks {
 public:
  struct Options {
    std::string listen;                           // empty: no connection is accepted
    std::uint32_t group = 0;                      // greetings of another group are rejected
    std::size_t self = 0;                         // this router's number; all routers use the same numbers
    std::vector<std::string> addresses;           // by member number
    Time heartbeat = seconds(2);                  // interval; a link ends after four intervals without a byte
    std::size_t max_queued_bytes = 256UL * 1024;  // queued bytes for one member
    std::uint64_t seed = 1;                       // of the backoff's jitter
  };
  struct Callbacks {
    std::function<void(std::size_t member, std::uint8_t channel, std::string_view bytes)> received;
    std::function<void(std::size_t member, LinkState state)> changed = [](auto, auto) {};
    // The queue is empty again after send() has rejected a frame because the queue was full.
    std::function<void(std::size_t member)> writable = [](auto) {};
  };

  // Throws NetError if it cannot listen at `options.listen`.
  PeerLinks(Options options, Callbacks callbacks);
  PeerLinks(const PeerLinks&) = delete;
  PeerLinks& operator=(const PeerLinks&) = delete;
  ~PeerLinks();

  // Dials this member, now and whenever the link is lost. The member itself may dial this router even if this
  // function is not called.
  void maintain_link(std::size_t member);
  bool up(std::size_t member) const;
  // Sends a frame on a channel from 1 to 255. Returns false without sending if there is no link, its queue is
  // full, or the frame is too long.
  bool send(std::size_t member, std::uint8_t channel, std::string_view bytes);
  // Bytes for this member that the kernel has not accepted yet.
  std::size_t queued_bytes(std::size_t member) const;
  const LinkCounters& counters() const { return counters_; }
  // The address at which this router listens for links; empty if it accepts no connections.
  std::string address() const { return listener_ ? listener_->address() : std::string(); }

 private:
  class Link;
  using LinkList = std::list<std::unique_ptr<Link>>;

  struct Peer {
    bool maintained = false;     // a lost link is dialed again
    bool send_rejected = false;  // `writable` is to be called when the queue is empty
    std::unique_ptr<Link> link;  // up or being opened; may be null
    Time retry_pause = 0;
    Timer retry;
  };

  bool has_room_for_connection() const;
  void dial(std::size_t member);
  void schedule_retry(std::size_t member);
  void on_accepted(Owned<GSocket> socket);
  LinkList::iterator find_ungreeted(const Link& link);
  std::unique_ptr<Link> remove_ungreeted(LinkList::iterator link);
  bool on_greeted(Link& link, std::size_t member);
  void replace_link(Link& accepted, std::size_t member);
  void on_ended(Link& link);
  void on_lost(std::size_t member);
  void on_drained(const Link& link);
  std::uint64_t next_random();

  Options options_;
  Callbacks callbacks_;
  std::vector<Peer> peers_;
  LinkList ungreeted_;  // accepted links whose greeting has not come yet
  std::unique_ptr<Listener> listener_;
  LinkCounters counters_;
};

}  // namespace thornwick::net
