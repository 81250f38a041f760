// One link with another router. Only links.cpp and link.cpp include this file.
#pragma once

#include <string>
#include <string_view>

#include "net/link_frame.hpp"
#include "net/links.hpp"
#include "net/stream.hpp"
#include "net/timer.hpp"

namespace thornwick::net {

// Reads and writes frames over one connection: first the greetings, then heartbeats and the frames of other
// channels. A link that ends calls PeerLinks::on_ended(), possibly within any of its own functions. The
// object is destroyed in the next round of the loop.
class PeerLinks::Link : public DeferredDeletable {
 public:
  enum class Origin { dialed, accepted };

  // `member`: the number of the other router. For an accepted link this is the size of the group, which is
  // not the number of any member, until the other router's greeting has come.
  Link(PeerLinks& owner, std::size_t member, Origin origin);
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;

  // Connects. Returns false if connecting failed at once.
  [[nodiscard]] bool dial(GSocketAddress* address);
  // Takes over an accepted connection.
  void adopt(Owned<GSocket> socket);
  void greet();
  // Must be called when both sides have greeted. Heartbeats are sent from then on.
  void mark_up();
  void write(std::string frame);
  // Bytes that the kernel has not taken yet.
  std::size_t queued_bytes() const { return stream_.unsent(); }
  // Closes the connection at once; no callback follows.
  void close();

  std::size_t member() const { return member_; }
  void set_member(std::size_t member) { member_ = member; }
  bool dialed() const { return origin_ == Origin::dialed; }
  bool up() const { return up_; }
  Time up_since() const { return up_since_; }

 private:
  void expect_bytes_within(int heartbeats);
  void on_silence_timeout();
  void start_heartbeat();
  void on_heartbeat();
  void on_bytes(std::string_view bytes);
  bool read_frame();
  bool on_frame(const LinkFrame& frame);
  bool on_greeting(const LinkGreeting& greeting);
  bool is_acceptable(const LinkGreeting& greeting) const;
  void fail(FrameFault fault);

  PeerLinks& owner_;
  std::size_t member_;
  Origin origin_;
  bool up_ = false;
  bool sent_since_heartbeat_ = false;
  Time up_since_ = 0;
  Stream stream_;
  Timer heartbeat_;
  Timer silence_timer_;
  FrameReader reader_;
};

}  // namespace thornwick::net
