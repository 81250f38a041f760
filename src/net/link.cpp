#include "net/link.hpp"

#include <utility>

#include "logging/log.hpp"

namespace thornwick::net {
namespace {

// Timeouts, in heartbeat intervals.
constexpr int kMaxSilentHeartbeats = 4;    // without a byte, after which the link ends
constexpr int kMaxGreetingHeartbeats = 2;  // for the other side's greeting

}  // namespace

PeerLinks::Link::Link(PeerLinks& owner, std::size_t member, Origin origin)
    : owner_(owner),
      member_(member),
      origin_(origin),
      stream_({.connected = [this] { greet(); },
               .arrived = [this](std::string_view bytes) { on_bytes(bytes); },
               .drained = [this] { owner_.on_drained(*this); },
               .ended = [this] { owner_.on_ended(*this); }}) {}

bool PeerLinks::Link::dial(GSocketAddress* address) {
  expect_bytes_within(kMaxGreetingHeartbeats);
  return stream_.connect(address);
}

void PeerLinks::Link::adopt(Owned<GSocket> socket) {
  stream_.adopt(std::move(socket));
  expect_bytes_within(kMaxGreetingHeartbeats);
}

void PeerLinks::Link::greet() {
  write(write_greeting({kLinkVersion, owner_.options_.group, owner_.options_.self, member_}));
}

void PeerLinks::Link::mark_up() {
  up_ = true;
  up_since_ = now_us();
  start_heartbeat();
}

void PeerLinks::Link::write(std::string frame) {
  ++owner_.counters_.frames_out;
  owner_.counters_.bytes_out += frame.size();
  sent_since_heartbeat_ = true;
  stream_.write(std::move(frame));
}

void PeerLinks::Link::close() {
  stream_.close();
  heartbeat_.stop();
  silence_timer_.stop();
}

void PeerLinks::Link::expect_bytes_within(int heartbeats) {
  silence_timer_.start(heartbeats * owner_.options_.heartbeat, [this] { on_silence_timeout(); });
}

void PeerLinks::Link::on_silence_timeout() {
  ++owner_.counters_.timed_out;
  owner_.on_ended(*this);
}

// Sends heartbeats, which detect a connection whose other end has vanished without closing it.
void PeerLinks::Link::start_heartbeat() {
  heartbeat_.start(owner_.options_.heartbeat, [this] { on_heartbeat(); });
}

void PeerLinks::Link::on_heartbeat() {
  if (!sent_since_heartbeat_) write(write_frame(kControlChannel, {}));
  sent_since_heartbeat_ = false;
  start_heartbeat();
}

void PeerLinks::Link::on_bytes(std::string_view bytes) {
  owner_.counters_.bytes_in += bytes.size();
  if (up_) expect_bytes_within(kMaxSilentHeartbeats);
  reader_.feed(bytes);
  while (stream_.open() && read_frame()) {
  }
  reader_.discard_consumed();
}

// Returns false if no further complete frame has come yet, or the link has ended.
bool PeerLinks::Link::read_frame() {
  try {
    const auto frame = reader_.next();
    return frame && on_frame(*frame);
  } catch (const FrameError& error) {
    fail(error.fault());
  } catch (const std::exception&) {
    // The frame is complete, but the greeting, or another module's message, in the frame is malformed.
    fail(FrameFault::unreadable);
  }
  return false;
}

// Returns false if the link has ended.
bool PeerLinks::Link::on_frame(const LinkFrame& frame) {
  ++owner_.counters_.frames_in;
  if (frame.channel == kControlChannel) {
    const bool is_heartbeat = frame.bytes.empty();
    return is_heartbeat || on_greeting(read_greeting(frame.bytes));
  }
  if (!up_) {
    fail(FrameFault::before_greeting);
    return false;
  }
  owner_.callbacks_.received(member_, frame.channel, frame.bytes);
  return stream_.open();
}

bool PeerLinks::Link::is_acceptable(const LinkGreeting& greeting) const {
  const Options& options = owner_.options_;
  const bool for_this_router =
      greeting.version == kLinkVersion && greeting.group == options.group && greeting.to == options.self;
  const bool from_a_member = greeting.from < options.addresses.size() && greeting.from != options.self;
  return for_this_router && from_a_member && (!dialed() || greeting.from == member_);
}

// Returns false if the link has ended.
bool PeerLinks::Link::on_greeting(const LinkGreeting& greeting) {
  if (is_acceptable(greeting) && !up_) return owner_.on_greeted(*this, greeting.from);
  ++owner_.counters_.rejected;
  const bool same_group = greeting.group == owner_.options_.group;
  logging::warning("peer_link") << "greeting rejected: version " << greeting.version
                                << (same_group ? "" : ", another group") << ", from member " << greeting.from
                                << " to member " << greeting.to;
  owner_.on_ended(*this);
  return false;
}

void PeerLinks::Link::fail(FrameFault fault) {
  ++owner_.counters_.malformed;
  logging::warning("peer_link") << "link closed: " << to_string(fault);
  owner_.on_ended(*this);
}

}  // namespace thornwick::net
