// Messages with which the routers of a large group share their observations of replicas. An item takes five
// bytes; items are gathered into messages of at most 256 bytes. This module implements the format, its bounds
// and the rate limit for each peer. The routing policy decides what to report and how to act on a report
// (src/policy/peer_observations.cpp).
#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "thornwick/routing_policy.hpp"

namespace thornwick {

// What one router has observed of a replica. The values are those on the wire.
enum class Observation : std::uint8_t {
  failed,       // the replica failed a request without delay
  unreachable,  // the replica could not be reached, or did not answer in time
  slow,         // the first token came later than usual, but within the latency objective
  late          // the first token came after the latency objective
};

// A sum of points that decays exponentially over time.
struct DecayedValue {
  static constexpr double kTimeConstant = 2'000'000;  // microseconds in which two thirds of the points decay
  double points = 0;
  Time updated_at = 0;

  // Decays the points until `now`, adds `more`, and returns the sum.
  double add(Time now, double more) {
    points =
        points * std::exp(static_cast<double>(std::min<Time>(0, updated_at - now)) / kTimeConstant) + more;
    updated_at = now;
    return points;
  }
};

// One observation of a replica.
struct GossipItem {
  ReplicaId replica = 0;
  Observation observation = Observation::failed;
};

// Gathers the items of this router into messages, and reads the messages of its peers. Does no I/O, and is
// not thread-safe.
class Gossip {
 public:
  static constexpr std::size_t kMaxItems = 50;            // per message: 2 bytes of head, and 5 for each item
  static constexpr Time kGatherTime = milliseconds(50);   // from the first item of a message until it is sent
  static constexpr std::uint32_t kAllPeers = 0xffffffff;  // the rank that stands for all peers
  static constexpr double kMaxItemsPerSecond = 100;       // per peer; further items are ignored
  static constexpr std::size_t kMaxPeers = 4096;  // peers; messages of ranks from this number on are rejected

  // Adds an item to the next message; an item beyond kMaxItems is dropped. Returns whether the item is
  // the first one of the message; the caller then takes the message after kGatherTime.
  bool add(GossipItem item);
  // Returns a message with all items that were added since the last message; empty if there are none.
  [[nodiscard]] std::string take_message();

  // Returns the items of a peer's message. None are returned if the message is truncated, too long or of
  // another kind; only the first ones are returned if the peer exceeds kMaxItemsPerSecond.
  [[nodiscard]] std::vector<GossipItem> read(Time now, std::uint32_t peer,
                                             std::span<const std::uint8_t> message);

  // Returns the number of messages of peers that could not be decoded.
  std::uint64_t malformed_messages() const { return malformed_messages_; }
  // Returns the number of items that were dropped because their peer exceeded its rate.
  std::uint64_t rate_limited_items() const { return rate_limited_items_; }

 private:
  // The token bucket that limits the items of a peer.
  struct PeerBucket {
    Time updated_at = 0;
    double items = kMaxItemsPerSecond;  // that the peer may still send
  };

  // Drops the items that exceed the peer's rate. This limits the harm that one faulty peer does.
  void limit_rate(Time now, std::uint32_t peer, std::vector<GossipItem>& items);

  std::vector<GossipItem> pending_;
  std::vector<PeerBucket> peers_;  // by rank
  std::uint64_t malformed_messages_ = 0;
  std::uint64_t rate_limited_items_ = 0;
};

}  // namespace thornwick
