#include "net/links.hpp"

#include <algorithm>
#include <utility>

#include "net/link.hpp"
#include "random/hashing.hpp"

namespace thornwick::net {
namespace {

constexpr std::size_t kMaxStrangers = 16;
constexpr Time kMinRetryPause = milliseconds(100);
constexpr Time kMaxRetryPause = seconds(30);
constexpr double kMinJitter = 0.5;                            // of the pause; the most is 1 above it
constexpr Time kLastingBeats = 5;                             // a link that was up for longer has worked
constexpr std::uint64_t kRandomStep = 0x9e3779b97f4a7c15ull;  // of SplitMix64

}  // namespace

Links::Links(Options options, Callbacks callbacks)
    : options_(std::move(options)), callbacks_(std::move(callbacks)), peers_(options_.addresses.size()) {
  if (options_.listen.empty()) return;
  listener_ = std::make_unique<Listener>(
      options_.listen, [this] { return has_room(); },
      [this](Owned<GSocket> socket) { on_accepted(std::move(socket)); });
}

Links::~Links() = default;

bool Links::has_room() const {
  return strangers_.size() < kMaxStrangers && descriptors().held < descriptors().limit;
}

std::uint64_t Links::next_random() {
  options_.seed += kRandomStep;
  return mix(options_.seed);
}

// ---------------------------------------------------------------- wanted links

void Links::want(std::size_t member, bool on) {
  Peer& peer = peers_.at(member);
  if (member == options_.self || std::exchange(peer.wanted, on) == on) return;
  if (!on) return peer.retry.stop();
  peer.retry_pause = kMinRetryPause;
  if (!peer.link) dial(member);
}

void Links::dial(std::size_t member) {
  Peer& peer = peers_[member];
  if (!peer.wanted || peer.link) return;
  const auto address = parse_address(options_.addresses[member]);
  ++counters_.dialed;
  peer.link = std::make_unique<Link>(*this, member, Link::Origin::dialed);
  if (address && peer.link->dial(address.get())) return;
  on_ended(*peer.link);
}

// The pause doubles, with jitter, so that routers that lost each other together do not retry together.
void Links::dial_later(std::size_t member) {
  Peer& peer = peers_[member];
  if (!peer.wanted) return;
  const double jitter = kMinJitter + unit(next_random());
  peer.retry.start(static_cast<Time>(jitter * static_cast<double>(peer.retry_pause)),
                   [this, member] { dial(member); });
  peer.retry_pause = std::min(kMaxRetryPause, 2 * std::max(kMinRetryPause, peer.retry_pause));
}

// ---------------------------------------------------------------- connections

void Links::on_accepted(Owned<GSocket> socket) {
  ++counters_.accepted;
  strangers_.push_back(std::make_unique<Link>(*this, peers_.size(), Link::Origin::accepted));
  strangers_.back()->adopt(std::move(socket));
}

Links::LinkList::iterator Links::find_stranger(const Link& link) {
  return std::find_if(strangers_.begin(), strangers_.end(),
                      [&](const auto& stranger) { return stranger.get() == &link; });
}

std::unique_ptr<Links::Link> Links::remove_stranger(LinkList::iterator stranger) {
  auto link = std::move(*stranger);
  strangers_.erase(stranger);
  return link;
}

// Where both dialed, the one that the router with the lower number dialed stays, at both ends alike. False:
// this link has ended.
bool Links::on_greeted(Link& link, std::size_t member) {
  Peer& peer = peers_[member];
  if (!link.dialed()) {
    const bool own_stays = peer.link && peer.link->dialed() && options_.self < member;
    if (own_stays) {
      on_ended(link);
      return false;
    }
    replace_link(link, member);
  }
  peer.send_refused = false;
  link.come_up();
  ++counters_.up;
  callbacks_.changed(member, true);
  return peer.link.get() == &link;
}

// One that comes anew from the same side takes the place of the old one, which the other side knows to be
// dead.
void Links::replace_link(Link& stranger, std::size_t member) {
  Peer& peer = peers_[member];
  auto replacement = remove_stranger(find_stranger(stranger));
  if (listener_) listener_->resume();
  if (peer.link) {
    const bool was_up = peer.link->up();
    peer.link->close();
    deferred_delete(std::move(peer.link));
    if (was_up) on_lost(member);
  }
  peer.retry.stop();
  peer.link = std::move(replacement);
  stranger.set_member(member);
  stranger.greet();
}

void Links::on_ended(Link& link) {
  link.close();
  if (const auto stranger = find_stranger(link); stranger != strangers_.end()) {
    deferred_delete(remove_stranger(stranger));
    if (listener_) listener_->resume();
    return;
  }
  const std::size_t member = link.member();
  if (member >= peers_.size() || peers_[member].link.get() != &link) return;
  Peer& peer = peers_[member];
  const bool was_up = link.up();
  // One that ends as soon as it is up is as good as none.
  if (was_up && now_us() - link.up_since() > kLastingBeats * options_.beat) peer.retry_pause = kMinRetryPause;
  deferred_delete(std::move(peer.link));
  if (was_up) on_lost(member);
  dial_later(member);
}

void Links::on_lost(std::size_t member) {
  ++counters_.lost;
  callbacks_.changed(member, false);
}

// ---------------------------------------------------------------- frames

bool Links::up(std::size_t member) const { return peers_.at(member).link && peers_[member].link->up(); }

std::size_t Links::waiting(std::size_t member) const {
  return peers_.at(member).link ? peers_[member].link->waiting() : 0;
}

bool Links::send(std::size_t member, std::uint8_t channel, std::string_view bytes) {
  if (!up(member) || channel == kControlChannel) return false;
  Peer& peer = peers_[member];
  // The head, and as much again for the MessagePack around the bytes.
  const std::size_t size = bytes.size() + 2 * kFrameHeadBytes;
  if (size > kMostFrame || peer.link->waiting() + size > options_.most_waiting) {
    ++counters_.held_back;
    peer.send_refused = size <= kMostFrame;
    return false;
  }
  peer.link->write(write_frame(channel, bytes));
  return true;
}

void Links::on_drained(const Link& link) {
  const std::size_t member = link.member();
  if (member >= peers_.size() || !std::exchange(peers_[member].send_refused, false)) return;
  callbacks_.room(member);
}

}  // namespace thornwick::net
