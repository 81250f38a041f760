#include "net/links.hpp"

#include <algorithm>
#include <utility>

#include "net/link.hpp"
#include "random/hashing.hpp"

namespace thornwick::net {
namespace {

constexpr std::size_t kMaxUngreeted = 16;  // accepted links without a greeting
constexpr Time kMinRetryPause = milliseconds(100);
constexpr Time kMaxRetryPause = seconds(30);
// The pause is multiplied by a random factor of at least kMinJitter and less than kMinJitter + 1.
constexpr double kMinJitter = 0.5;
constexpr int kStableHeartbeats = 5;  // a link that was up for longer than this resets the backoff
constexpr std::uint64_t kRandomStep = 0x9e3779b97f4a7c15ull;  // of SplitMix64

}  // namespace

PeerLinks::PeerLinks(Options options, Callbacks callbacks)
    : options_(std::move(options)), callbacks_(std::move(callbacks)), peers_(options_.addresses.size()) {
  if (options_.listen.empty()) return;
  listener_ = std::make_unique<Listener>(
      options_.listen, [this] { return has_room_for_connection(); },
      [this](Owned<GSocket> socket) { on_accepted(std::move(socket)); });
}

PeerLinks::~PeerLinks() = default;

bool PeerLinks::has_room_for_connection() const {
  return ungreeted_.size() < kMaxUngreeted && descriptors().held < descriptors().limit;
}

std::uint64_t PeerLinks::next_random() {
  options_.seed += kRandomStep;
  return mix(options_.seed);
}

void PeerLinks::maintain_link(std::size_t member) {
  Peer& peer = peers_.at(member);
  if (member == options_.self || std::exchange(peer.maintained, true)) return;
  peer.retry_pause = kMinRetryPause;
  if (!peer.link) dial(member);
}

void PeerLinks::dial(std::size_t member) {
  Peer& peer = peers_[member];
  if (!peer.maintained || peer.link) return;
  const auto address = parse_address(options_.addresses[member]);
  ++counters_.dialed;
  peer.link = std::make_unique<Link>(*this, member, Link::Origin::dialed);
  if (address && peer.link->dial(address.get())) return;
  on_ended(*peer.link);
}

// Retries with exponential backoff and jitter, so that routers that lost their links at the same time do not
// retry at the same time.
void PeerLinks::schedule_retry(std::size_t member) {
  Peer& peer = peers_[member];
  if (!peer.maintained) return;
  const double jitter = kMinJitter + unit_interval(next_random());
  peer.retry.start(static_cast<Time>(jitter * static_cast<double>(peer.retry_pause)),
                   [this, member] { dial(member); });
  peer.retry_pause = std::min(kMaxRetryPause, 2 * std::max(kMinRetryPause, peer.retry_pause));
}

void PeerLinks::on_accepted(Owned<GSocket> socket) {
  ++counters_.accepted;
  ungreeted_.push_back(std::make_unique<Link>(*this, peers_.size(), Link::Origin::accepted));
  ungreeted_.back()->adopt(std::move(socket));
}

PeerLinks::LinkList::iterator PeerLinks::find_ungreeted(const Link& link) {
  return std::find_if(ungreeted_.begin(), ungreeted_.end(),
                      [&](const auto& ungreeted) { return ungreeted.get() == &link; });
}

std::unique_ptr<PeerLinks::Link> PeerLinks::remove_ungreeted(LinkList::iterator link) {
  auto removed = std::move(*link);
  ungreeted_.erase(link);
  return removed;
}

// If both routers have dialed each other, both keep the link that the router with the lower number dialed.
// Returns false if this link has ended.
bool PeerLinks::on_greeted(Link& link, std::size_t member) {
  Peer& peer = peers_[member];
  if (!link.dialed()) {
    const bool keeps_dialed_link = peer.link && peer.link->dialed() && options_.self < member;
    if (keeps_dialed_link) {
      on_ended(link);
      return false;
    }
    replace_link(link, member);
  }
  peer.send_rejected = false;
  link.mark_up();
  ++counters_.up;
  callbacks_.changed(member, LinkState::up);
  return peer.link.get() == &link;
}

// Replaces an earlier link with the same member by the accepted link: the member dials again only if it knows
// that the earlier link is dead.
void PeerLinks::replace_link(Link& accepted, std::size_t member) {
  Peer& peer = peers_[member];
  auto replacement = remove_ungreeted(find_ungreeted(accepted));
  if (listener_) listener_->resume();
  if (peer.link) {
    const bool was_up = peer.link->up();
    peer.link->close();
    deferred_delete(std::move(peer.link));
    if (was_up) on_lost(member);
  }
  peer.retry.stop();
  peer.link = std::move(replacement);
  accepted.set_member(member);
  accepted.greet();
}

void PeerLinks::on_ended(Link& link) {
  link.close();
  if (const auto ungreeted = find_ungreeted(link); ungreeted != ungreeted_.end()) {
    deferred_delete(remove_ungreeted(ungreeted));
    if (listener_) listener_->resume();
    return;
  }
  const std::size_t member = link.member();
  if (member >= peers_.size() || peers_[member].link.get() != &link) return;
  Peer& peer = peers_[member];
  const bool was_up = link.up();
  // A link that ends soon after it came up does not reset the backoff.
  if (was_up && now_us() - link.up_since() > kStableHeartbeats * options_.heartbeat)
    peer.retry_pause = kMinRetryPause;
  deferred_delete(std::move(peer.link));
  if (was_up) on_lost(member);
  schedule_retry(member);
}

void PeerLinks::on_lost(std::size_t member) {
  ++counters_.lost;
  callbacks_.changed(member, LinkState::lost);
}

bool PeerLinks::up(std::size_t member) const { return peers_.at(member).link && peers_[member].link->up(); }

std::size_t PeerLinks::queued_bytes(std::size_t member) const {
  return peers_.at(member).link ? peers_[member].link->queued_bytes() : 0;
}

bool PeerLinks::send(std::size_t member, std::uint8_t channel, std::string_view bytes) {
  if (!up(member) || channel == kControlChannel) return false;
  Peer& peer = peers_[member];
  // An upper bound of the frame's size: the head, and as many bytes again for the MessagePack around `bytes`.
  const std::size_t size = bytes.size() + 2 * kFrameHeadBytes;
  if (size > kMaxFrameBytes || peer.link->queued_bytes() + size > options_.max_queued_bytes) {
    ++counters_.queue_full;
    peer.send_rejected = size <= kMaxFrameBytes;
    return false;
  }
  peer.link->write(write_frame(channel, bytes));
  return true;
}

void PeerLinks::on_drained(const Link& link) {
  const std::size_t member = link.member();
  if (member >= peers_.size() || !std::exchange(peers_[member].send_rejected, false)) return;
  callbacks_.writable(member);
}

}  // namespace thornwick::net
