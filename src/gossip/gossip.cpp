#include "gossip/gossip.hpp"

#include <algorithm>
#include <optional>

namespace thornwick {
namespace {

// A message consists of a head (one byte that marks the kind of message, one for the version) and the items;
// each has the replica's id in little-endian order and the observation.
constexpr std::uint8_t kMessageMark = 0x54;
constexpr std::uint8_t kVersion = 1;
constexpr std::size_t kHeadBytes = 2;
constexpr std::size_t kIdBytes = 4;
constexpr std::size_t kItemBytes = kIdBytes + 1;
constexpr int kBitsPerByte = 8;
constexpr std::uint32_t kByteMask = 0xff;

bool has_valid_frame(std::span<const std::uint8_t> message) {
  if (message.size() < kHeadBytes + kItemBytes) return false;
  if (message.size() > kHeadBytes + Gossip::kMaxItems * kItemBytes) return false;
  if ((message.size() - kHeadBytes) % kItemBytes != 0) return false;
  return message[0] == kMessageMark && message[1] == kVersion;
}

std::optional<GossipItem> parse_item(std::span<const std::uint8_t> bytes) {
  if (bytes[kIdBytes] > static_cast<std::uint8_t>(Observation::late)) return std::nullopt;
  ReplicaId id = 0;
  for (std::size_t i = kIdBytes; i > 0; --i) id = id << kBitsPerByte | bytes[i - 1];
  return GossipItem{id, static_cast<Observation>(bytes[kIdBytes])};
}

// The items of a message; none unless all of it can be read.
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
  Peer& bucket = peers_[peer];
  const auto elapsed = static_cast<double>(std::max<Time>(0, now - bucket.updated));
  const double refill = kMaxItemsPerSecond * elapsed / static_cast<double>(seconds(1));
  bucket.allowance = std::min(kMaxItemsPerSecond, bucket.allowance + refill);
  bucket.updated = now;
  const auto allowed = static_cast<std::size_t>(bucket.allowance);
  if (items.size() > allowed) {
    rate_limited_items_ += items.size() - allowed;
    items.resize(allowed);
  }
  bucket.allowance -= static_cast<double>(items.size());
}

}  // namespace thornwick
