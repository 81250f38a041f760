#include "gossip/gossip.hpp"

#include <algorithm>
#include <optional>

namespace thornwick {
namespace {

// A message consists of a head (one byte that marks the kind of message, and one for the version) and items.
// An item consists of the replica's id in little-endian order and one byte for the observation.
constexpr std::uint8_t kMessageMark = 0x54;
constexpr std::uint8_t kVersion = 1;
constexpr std::size_t kHeadBytes = 2;
constexpr std::size_t kIdBytes = 4;
constexpr std::size_t kItemBytes = kIdBytes + 1;
constexpr int kBitsPerByte = 8;
constexpr std::uint32_t kByteMask = 0xff;

// Whether the head and the length of a message are valid.
bool has_valid_frame(std::span<const std::uint8_t> message) {
  if (message.size() < kHeadBytes + kItemBytes) return false;
  if (message.size() > kHeadBytes + Gossip::kMaxItems * kItemBytes) return false;
  if ((message.size() - kHeadBytes) % kItemBytes != 0) return false;
  return message[0] == kMessageMark && message[1] == kVersion;
}

// Returns nullopt if the observation is unknown.
std::optional<GossipItem> parse_item(std::span<const std::uint8_t> bytes) {
  if (bytes[kIdBytes] > static_cast<std::uint8_t>(Observation::late)) return std::nullopt;
  ReplicaId id = 0;
  for (std::size_t i = kIdBytes; i > 0; --i) id = id << kBitsPerByte | bytes[i - 1];
  return GossipItem{id, static_cast<Observation>(bytes[kIdBytes])};
}

// Returns the items of a message; none if any part of the message is malformed.
std::vector<GossipItem> parse_items(std::span<const std::uint8_t> message) {
  if (!has_valid_frame(message)) return {};
  std::vector<GossipItem> items;
  for (std::size_t start = kHeadBytes; start < message.size(); start += kItemBytes) {
    const std::optional<GossipItem> item = parse_item(message.subspan(start, kItemBytes));
    if (!item) return {};
    items.push_back(*item);
  }
  return items;
}

}  // namespace

bool Gossip::add(GossipItem item) {
  if (pending_.size() < kMaxItems) pending_.push_back(item);
  return pending_.size() == 1;
}

std::string Gossip::take_message() {
  if (pending_.empty()) return {};
  std::string bytes{static_cast<char>(kMessageMark), static_cast<char>(kVersion)};
  for (const GossipItem& item : pending_) {
    for (std::size_t i = 0; i < kIdBytes; ++i) {
      bytes += static_cast<char>(item.replica >> (kBitsPerByte * i) & kByteMask);
    }
    bytes += static_cast<char>(item.observation);
  }
  pending_.clear();
  return bytes;
}

std::vector<GossipItem> Gossip::read(Time now, std::uint32_t peer, std::span<const std::uint8_t> message) {
  std::vector<GossipItem> items;
  if (peer < kMaxPeers) items = parse_items(message);
  if (items.empty()) {
    ++malformed_messages_;
    return {};
  }
  limit_rate(now, peer, items);
  return items;
}

void Gossip::limit_rate(Time now, std::uint32_t peer, std::vector<GossipItem>& items) {
  if (peers_.size() <= peer) peers_.resize(peer + 1);
  PeerBucket& bucket = peers_[peer];
  const auto elapsed = static_cast<double>(std::max<Time>(0, now - bucket.updated_at));
  const double refill = kMaxItemsPerSecond * elapsed / static_cast<double>(seconds(1));
  bucket.items = std::min(kMaxItemsPerSecond, bucket.items + refill);
  bucket.updated_at = now;
  const auto allowed = static_cast<std::size_t>(bucket.items);
  if (items.size() > allowed) {
    rate_limited_items_ += items.size() - allowed;
    items.resize(allowed);
  }
  bucket.items -= static_cast<double>(items.size());
}

}  // namespace thornwick
