#include "net/link.hpp"

#include <utility>

#include "logging/log.hpp"

namespace thornwick::net {
namespace {

constexpr int kBeatsOfSilence = 4;
constexpr int kBeatsToGreet = 2;

}  // namespace

Links::Link::Link(Links& owner, std::size_t member, Origin origin)
    : owner_(owner),
      member_(member),
      origin_(origin),
      stream_({.connected = [this] { greet(); },
               .arrived = [this](std::string_view bytes) { on_bytes(bytes); },
               .drained = [this] { owner_.on_drained(*this); },
               .ended = [this] { owner_.on_ended(*this); }}) {}

bool Links::Link::dial(GSocketAddress* address) {
  expect_bytes_within(kBeatsToGreet);
  return stream_.connect(address);
}

void Links::Link::adopt(Owned<GSocket> socket) {
  stream_.adopt(std::move(socket));
  expect_bytes_within(kBeatsToGreet);
}

void Links::Link::greet() {
  write(write_greeting({kLinkVersion, owner_.options_.group, owner_.options_.self, member_}));
}

void Links::Link::come_up() {
  up_ = true;
  up_since_ = now_us();
  start_heartbeat();
}

void Links::Link::write(std::string frame) {
  ++owner_.counters_.frames_out;
  owner_.counters_.bytes_out += frame.size();
  sent_since_heartbeat_ = true;
  stream_.write(std::move(frame));
}

void Links::Link::close() {
  stream_.close();
  heartbeat_.stop();
  silence_.stop();
}

// ---------------------------------------------------------------- heartbeats

void Links::Link::expect_bytes_within(int beats) {
  silence_.start(beats * owner_.options_.beat, [this] { on_silence(); });
}

void Links::Link::on_silence() {
  ++owner_.counters_.silent;
  owner_.on_ended(*this);
}

// Guards against a connection that nobody holds any more at the other end.
void Links::Link::start_heartbeat() {
  heartbeat_.start(owner_.options_.beat, [this] { on_heartbeat(); });
}

void Links::Link::on_heartbeat() {
  if (!sent_since_heartbeat_) write(write_frame(kControlChannel, {}));
  sent_since_heartbeat_ = false;
  start_heartbeat();
}

// ---------------------------------------------------------------- frames

void Links::Link::on_bytes(std::string_view bytes) {
  owner_.counters_.bytes_in += bytes.size();
  if (up_) expect_bytes_within(kBeatsOfSilence);
  reader_.feed(bytes);
  while (stream_.open() && read_frame()) {
  }
  reader_.drop_read();
}

// False: there is no further frame yet, or the link has ended.
bool Links::Link::read_frame() {
  try {
    const auto frame = reader_.next();
    return frame && on_frame(*frame);
  } catch (const FrameError& error) {
    fail(error.what());
  } catch (const std::exception&) {
    // What a frame holds, for this module or another one, cannot be read.
    fail("a frame that cannot be read");
  }
  return false;
}

// False: the link has ended.
bool Links::Link::on_frame(const LinkFrame& frame) {
  ++owner_.counters_.frames_in;
  if (frame.channel == kControlChannel) {
    const bool is_heartbeat = frame.bytes.empty();
    return is_heartbeat || on_greeting(read_greeting(frame.bytes));
  }
  if (!up_) {
    fail("a frame before the greeting");
    return false;
  }
  owner_.callbacks_.received(member_, frame.channel, frame.bytes);
  return stream_.open();
}

bool Links::Link::is_acceptable(const LinkGreeting& greeting) const {
  const Options& own = owner_.options_;
  const bool for_this_router =
      greeting.version == kLinkVersion && greeting.group == own.group && greeting.to == own.self;
  const bool from_a_member = greeting.from < own.addresses.size() && greeting.from != own.self;
  return for_this_router && from_a_member && (!dialed() || greeting.from == member_);
}

// False: the link has ended.
bool Links::Link::on_greeting(const LinkGreeting& greeting) {
  if (is_acceptable(greeting) && !up_) return owner_.on_greeted(*this, greeting.from);
  ++owner_.counters_.rejected;
  const bool same_group = greeting.group == owner_.options_.group;
  logging::warning("links") << "greeting rejected: version " << greeting.version
                            << (same_group ? "" : ", another group") << ", from member " << greeting.from
                            << " to member " << greeting.to;
  owner_.on_ended(*this);
  return false;
}

void Links::Link::fail(const char* reason) {
  ++owner_.counters_.spoilt;
  logging::warning("links") << "link closed: " << reason;
  owner_.on_ended(*this);
}

}  // namespace thornwick::net
