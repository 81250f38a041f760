#include "testbed/faulty_link.hpp"

#include <algorithm>

namespace thornwick::testbed {
namespace {

constexpr std::size_t kMostHeld = 1000;  // datagrams
constexpr int kTries = 50;               // to find a port that is free for datagrams and connections
constexpr std::size_t kMostPipes = 64;

}  // namespace

// A connection that came in on one side, and the one that goes on from here.
class FaultyLink::Pipe : public net::DeferredDeletable {
 public:
  Pipe(FaultyLink& owner, Direction direction, net::Owned<GSocket> come)
      : owner_(owner), direction_(direction) {
    for (const bool forth : {true, false}) {
      End& end = forth ? in_ : out_;
      end.stream = std::make_unique<net::Stream>(net::Stream::Callbacks{
          .connected = [this] { flush(out_); },
          .arrived = [this, forth](std::string_view bytes) { arrived(forth, std::string(bytes)); },
          .drained = {},
          .ended = [this] { over(); }});
    }
    in_.stream->adopt(std::move(come));
    const auto to = net::parse_address(owner_.sides_[direction].links);
    if (!to || !out_.stream->connect(to.get())) ending_.start(0, [this] { over(); });
  }

  void half_close(Direction direction) { (direction == direction_ ? out_ : in_).stream->finish_sending(); }
  void released() {
    flush(in_);
    flush(out_);
  }
  void over() {
    if (std::exchange(over_, true)) return;
    in_.stream->close(), out_.stream->close();
    const auto at =
        std::find_if(owner_.pipes_.begin(), owner_.pipes_.end(), [this](auto& p) { return p.get() == this; });
    net::deferred_delete(std::move(*at));
    owner_.pipes_.erase(at);
  }

 private:
  struct End {
    std::unique_ptr<net::Stream> stream;
    std::string waiting;  // to be written there
    net::Timer delay;
  };
  Direction direction_of(const End& end) const {
    return &end == &out_ ? direction_ : direction_ == forward ? backward : forward;
  }

  void arrived(bool forth, std::string bytes) {
    End& to = forth ? out_ : in_;
    to.waiting += owner_.garbled(direction_of(to), std::move(bytes));
    const auto& faults = owner_.sides_[direction_of(to)].faults;
    if (to.delay.running()) return;
    const auto delay = static_cast<Time>(
        owner_.chance_.between(static_cast<double>(faults.min_delay), static_cast<double>(faults.max_delay)));
    if (delay == 0) return flush(to);
    to.delay.start(delay, [this, &to] { flush(to); });
  }
  void flush(End& to) {
    const auto& faults = owner_.sides_[direction_of(to)].faults;
    if (faults.cut || faults.hold || to.waiting.empty()) return;
    to.stream->write(std::exchange(to.waiting, {}));
  }

  FaultyLink& owner_;
  Direction direction_;
  End in_, out_;
  net::Timer ending_;
  bool over_ = false;
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
        "127.0.0.1:0", [this] { return pipes_.size() < kMostPipes; },
        [this, direction](net::Owned<GSocket> socket) {
          if (sides_[direction].links.empty()) return;  // nobody is there yet
          ++metrics_.connections;
          pipes_.push_back(std::make_unique<Pipe>(*this, direction, std::move(socket)));
        });
    side.address = side.listener->address();
    try {
      side.socket = std::make_unique<net::DatagramSocket>(
          side.address, nullptr, [this, direction](GSocketAddress*, std::span<const std::uint8_t> bytes) {
            arrived(direction, std::string(bytes.begin(), bytes.end()));
          });
      return;
    } catch (const net::NetError&) {
      if (tries == kTries) throw;
    }
  }
}

void FaultyLink::later(Time delay, std::function<void()> act) {
  timers_.emplace_back();
  const auto at = std::prev(timers_.end());
  at->start(delay, [this, at, act = std::move(act)] {
    act();
    struct DeferredDeletions : net::DeferredDeletable {
      std::list<net::Timer> timer;
    };
    auto grave = std::make_unique<DeferredDeletions>();  // it is what runs now
    grave->timer.splice(grave->timer.begin(), timers_, at);
    net::deferred_delete(std::move(grave));
  });
}

std::string FaultyLink::garbled(Direction direction, std::string bytes) {
  if (bytes.empty() || !chance_.happens(sides_[direction].faults.garble_fraction)) return bytes;
  ++metrics_.garbled;
  char& one = bytes[chance_.below(bytes.size())];
  one = static_cast<char>(one ^ (1 << chance_.below(8)));
  return bytes;
}

void FaultyLink::arrived(Direction direction, std::string bytes) {
  Side& side = sides_[direction];
  const LinkFaults& faults = side.faults;
  ++metrics_.datagrams;
  if (faults.cut || chance_.happens(faults.loss_fraction)) {
    ++metrics_.lost;
    return;
  }
  bytes = garbled(direction, std::move(bytes));
  const int copies = chance_.happens(faults.repeat_fraction) ? 2 : 1;
  metrics_.repeated += static_cast<std::uint64_t>(copies - 1);
  for (int i = 0; i < copies; ++i) {
    const auto delay = static_cast<Time>(
        chance_.between(static_cast<double>(faults.min_delay), static_cast<double>(faults.max_delay)));
    if (faults.hold) {
      if (side.held.size() < kMostHeld) side.held.push_back(bytes);
    } else if (delay == 0) {
      pass(direction, bytes);
    } else {
      later(delay, [this, direction, bytes] { pass(direction, bytes); });
    }
  }
}

// Out of the other side's socket, so that the receiver sees the address at which it knows the sender.
void FaultyLink::pass(Direction direction, const std::string& bytes) {
  const auto to = net::parse_address(sides_[direction].datagrams);
  if (to) sides_[direction == forward ? backward : forward].socket->send(to.get(), bytes);
}

void FaultyLink::set_faults(Direction direction, const LinkFaults& faults) {
  Side& side = sides_[direction];
  side.faults = faults;
  if (faults.cut || faults.hold) return;
  for (const auto& bytes : std::exchange(side.held, {})) pass(direction, bytes);
  for (auto& pipe : pipes_) pipe->released();
}

void FaultyLink::half_close(Direction direction) {
  for (auto& pipe : pipes_) pipe->half_close(direction);
}

void FaultyLink::reset() {
  while (!pipes_.empty()) pipes_.front()->over();
}

}  // namespace thornwick::testbed
