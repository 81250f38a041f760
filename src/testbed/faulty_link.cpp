#include "testbed/faulty_link.hpp"

#include <algorithm>

namespace thornwick::testbed {
namespace {

constexpr std::size_t kMaxHeldDatagrams = 1000;  // datagrams
constexpr int kMaxBindTries = 50;  // attempts to find a port that is free for both datagrams and connections
constexpr std::size_t kMaxPipes = 64;

}  // namespace

// An accepted connection of one side, and the connection to its target.
class FaultyLink::Pipe : public net::DeferredDeletable {
 public:
  Pipe(FaultyLink& owner, Direction direction, net::Owned<GSocket> accepted)
      : owner_(owner), direction_(direction) {
    for (const bool from_in : {true, false}) {
      End& end = from_in ? in_ : out_;
      end.stream = std::make_unique<net::Stream>(net::Stream::Callbacks{
          .connected = [this] { flush(out_); },
          .arrived = [this, from_in](std::string_view bytes) { on_received(from_in, std::string(bytes)); },
          .drained = {},
          .ended = [this] { close(); }});
    }
    in_.stream->adopt(std::move(accepted));
    const auto to = net::parse_address(owner_.sides_[direction].link_target);
    if (!to || !out_.stream->connect(to.get())) close_timer_.start(0, [this] { close(); });
  }

  void half_close(Direction direction) { (direction == direction_ ? out_ : in_).stream->finish_sending(); }
  void on_faults_lifted() {
    flush(in_);
    flush(out_);
  }
  void close() {
    if (std::exchange(closed_, true)) return;
    in_.stream->close(), out_.stream->close();
    const auto at =
        std::find_if(owner_.pipes_.begin(), owner_.pipes_.end(), [this](auto& p) { return p.get() == this; });
    net::deferred_delete(std::move(*at));
    owner_.pipes_.erase(at);
  }

 private:
  struct End {
    std::unique_ptr<net::Stream> stream;
    std::string pending_bytes;  // bytes that wait to be written to this stream
    net::Timer delay;
  };
  Direction direction_of(const End& end) const {
    return &end == &out_ ? direction_ : direction_ == forward ? backward : forward;
  }

  void on_received(bool from_in, std::string bytes) {
    End& to = from_in ? out_ : in_;
    to.pending_bytes += owner_.maybe_garble(direction_of(to), std::move(bytes));
    const auto& faults = owner_.sides_[direction_of(to)].faults;
    if (to.delay.running()) return;
    const auto delay = static_cast<Time>(
        owner_.chance_.between(static_cast<double>(faults.min_delay), static_cast<double>(faults.max_delay)));
    if (delay == 0) return flush(to);
    to.delay.start(delay, [this, &to] { flush(to); });
  }
  void flush(End& to) {
    const auto& faults = owner_.sides_[direction_of(to)].faults;
    if (faults.cut || faults.hold || to.pending_bytes.empty()) return;
    to.stream->write(std::exchange(to.pending_bytes, {}));
  }

  FaultyLink& owner_;
  Direction direction_;
  End in_, out_;
  net::Timer close_timer_;
  bool closed_ = false;
};

FaultyLink::FaultyLink(std::uint64_t seed) : chance_(seed, emulator::Concern::network) {
  open(forward);
  open(backward);
}

FaultyLink::~FaultyLink() = default;

void FaultyLink::open(Direction direction) {
  Side& side = sides_[direction];
  for (int tries = 0;; ++tries) {
    side.listener = std::make_unique<net::Listener>(
        "127.0.0.1:0", [this] { return pipes_.size() < kMaxPipes; },
        [this, direction](net::Owned<GSocket> socket) {
          if (sides_[direction].link_target.empty()) return;  // the target's address is not known yet
          ++metrics_.connections;
          pipes_.push_back(std::make_unique<Pipe>(*this, direction, std::move(socket)));
        });
    side.address = side.listener->address();
    try {
      side.socket = std::make_unique<net::DatagramSocket>(
          side.address, nullptr, [this, direction](GSocketAddress*, std::span<const std::uint8_t> bytes) {
            on_received(direction, std::string(bytes.begin(), bytes.end()));
          });
      return;
    } catch (const net::NetError&) {
      if (tries == kMaxBindTries) throw;
    }
  }
}

void FaultyLink::run_after(Time delay, std::function<void()> action) {
  timers_.emplace_back();
  const auto at = std::prev(timers_.end());
  at->start(delay, [this, at, action = std::move(action)] {
    action();
    struct DeferredTimer : net::DeferredDeletable {
      std::list<net::Timer> timer;
    };
    auto deletion = std::make_unique<DeferredTimer>();  // the timer's own callback is running
    deletion->timer.splice(deletion->timer.begin(), timers_, at);
    net::deferred_delete(std::move(deletion));
  });
}

std::string FaultyLink::maybe_garble(Direction direction, std::string bytes) {
  if (bytes.empty() || !chance_.happens(sides_[direction].faults.garble_fraction)) return bytes;
  ++metrics_.garbled;
  char& byte = bytes[chance_.below(bytes.size())];
  byte = static_cast<char>(byte ^ (1 << chance_.below(8)));
  return bytes;
}

void FaultyLink::on_received(Direction direction, std::string bytes) {
  Side& side = sides_[direction];
  const LinkFaults& faults = side.faults;
  ++metrics_.datagrams;
  if (faults.cut || chance_.happens(faults.loss_fraction)) {
    ++metrics_.lost;
    return;
  }
  bytes = maybe_garble(direction, std::move(bytes));
  const int copies = chance_.happens(faults.repeat_fraction) ? 2 : 1;
  metrics_.repeated += static_cast<std::uint64_t>(copies - 1);
  for (int i = 0; i < copies; ++i) {
    const auto delay = static_cast<Time>(
        chance_.between(static_cast<double>(faults.min_delay), static_cast<double>(faults.max_delay)));
    if (faults.hold) {
      if (side.held_datagrams.size() < kMaxHeldDatagrams) side.held_datagrams.push_back(bytes);
    } else if (delay == 0) {
      forward_datagram(direction, bytes);
    } else {
      run_after(delay, [this, direction, bytes] { forward_datagram(direction, bytes); });
    }
  }
}

// Sends from the socket of the opposite side, so that the receiver sees the address by which it knows the
// sender.
void FaultyLink::forward_datagram(Direction direction, const std::string& bytes) {
  const auto to = net::parse_address(sides_[direction].datagram_target);
  if (to) sides_[direction == forward ? backward : forward].socket->send(to.get(), bytes);
}

void FaultyLink::set_faults(Direction direction, const LinkFaults& faults) {
  Side& side = sides_[direction];
  side.faults = faults;
  if (faults.cut || faults.hold) return;
  for (const auto& bytes : std::exchange(side.held_datagrams, {})) forward_datagram(direction, bytes);
  for (auto& pipe : pipes_) pipe->on_faults_lifted();
}

void FaultyLink::half_close(Direction direction) {
  for (auto& pipe : pipes_) pipe->half_close(direction);
}

void FaultyLink::reset() {
  while (!pipes_.empty()) pipes_.front()->close();
}

}  // namespace thornwick::testbed
