// Messages in which the routers of a large group share what they observe of replicas. An item takes five
// bytes; items are gathered into messages of at most 256 bytes. This module has the format, its bounds and
// the rate limit on each peer. The routing policy decides what to report and how to act on a report
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
  failed,       // it failed a request without delay
  unreachable,  // it could not be reached, or did not answer in time
  slow,         // its first token came later than usual, but within the latency objective
  late          // its first token came after the latency objective
};

// Points that decay exponentially as time passes.
struct DecayedValue {
  static constexpr double kTimeConstant = 2'000'000;  // microseconds in which two thirds are gone
  double points = 0;
  Time updated = 0;

  // Decays the points to the time `now`, adds `more`, and returns the sum.
  double add(Time now, double more) {
    points = points * std::exp(static_cast<double>(std::min<Time>(0, updated - now)) / kTimeConstant) + more;
    updated = now;
    return points;
  }
};

// One observation of one replica.
struct GossipItem {
  ReplicaId replica = 0;
  Observation observation = Observation::failed;
};

// Gathers the items of this router into messages and reads those of its peers. Does no I/O, and is not
// thread-safe.
class Gossip {
 public:
  static constexpr std::size_t kMaxItems = 50;            // in a message: 2 bytes of head, 5 for each item
  static constexpr Time kGatherTime = milliseconds(50);   // from a first item to its message
  static constexpr std::uint32_t kAllPeers = 0xffffffff;  // the rank that stands for all peers
  static constexpr double kMaxItemsPerSecond = 100;       // of one peer; more are ignored
  static constexpr std::size_t kMaxPeers = 4096;  // whose rate is kept; messages of higher ranks are refused

  // Adds an item to the next message; an item beyond kMaxItems is dropped. Returns whether it is the first
  // item since the last message; the caller then takes the message after kGatherTime.
  bool add(GossipItem item);
  // Takes all items that were added since the last message, as one message. Empty if there are none.
  [[nodiscard]] std::string take_message();

  // Returns the items of a peer's message: none if the message is truncated, too long or of another kind, and
  // only the first ones if the peer exceeds kMaxItemsPerSecond.
  [[nodiscard]] std::vector<GossipItem> read(Time now, std::uint32_t peer,
                                             std::span<const std::uint8_t> message);

  // Messages of peers that could not be decoded.
  std::uint64_t malformed_messages() const { return malformed_messages_; }
  // Items that were dropped because their peer exceeded its rate.
  std::uint64_t rate_limited_items() const { return rate_limited_items_; }

 private:
  // A token bucket of items.
  struct Peer {
    Time updated = 0;
    double allowance = kMaxItemsPerSecond;
  };

  // Drops the items that exceed the peer's rate, which bounds the harm that one faulty peer does.
  void limit_rate(Time now, std::uint32_t peer, std::vector<GossipItem>& items);

  std::vector<GossipItem> pending_;
  std::vector<Peer> peers_;  // by rank
  std::uint64_t malformed_messages_ = 0;
  std::uint64_t rate_limited_items_ = 0;
};

}  // namespace thornwick
