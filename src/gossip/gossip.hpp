// Messages in which the routers of a large group share what they observe of replicas: a few bytes an item,
// gathered into messages of at most 256 bytes. The routing policy decides what to report and what to make of
// a report (src/policy/peer_observations.cpp); here are the format, its bounds and a rate limit on each peer.
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

// What one router has seen of a replica. The values are those on the wire.
enum class Observation : std::uint8_t {
  stumbled,  // it failed a request, and quickly
  silent,    // it could not be reached, or did not answer in time
  slow,      // a first token came late enough to be called slow
  late       // ... or after the latency objective
};

// Points that decay exponentially as time passes.
struct DecayedValue {
  static constexpr double kTimeConstant = 2'000'000;  // microseconds in which two thirds are gone
  double points = 0;
  Time updated = 0;

  // Adds points to what is left by now. Returns the sum.
  double add(Time now, double more) {
    points = points * std::exp(static_cast<double>(std::min<Time>(0, updated - now)) / kTimeConstant) + more;
    updated = now;
    return points;
  }
};

// One observation of one replica.
struct GossipItem {
  ReplicaId replica = 0;
  Observation seen = Observation::stumbled;
};

// Gathers the items of this router into messages and reads those of its peers. No input or output of its own.
class Gossip {
 public:
  static constexpr std::size_t kMaxItems = 50;           // in a message: 2 bytes of head, 5 for each item
  static constexpr Time kGatherTime = milliseconds(50);  // microseconds from a first item to its message
  static constexpr std::uint32_t kAll = 0xffffffff;      // the rank that stands for all peers
  static constexpr double kMaxItemsPerSecond = 100;      // of one peer; more are ignored
  static constexpr std::size_t kMaxPeers = 4096;  // whose rate is kept; messages of higher ranks are refused

  // Adds an item to the next message; beyond kMaxItems it is dropped. Returns whether it is the first since
  // the last message: then one is due in kGatherTime.
  bool add(GossipItem item);
  // All items that were added since the last message, as one message; empty if there are none.
  std::string message();

  // The items of a peer's message; none if it is cut, too long or no message of this kind. Of a peer that
  // sends too many, only the first are returned.
  std::vector<GossipItem> read(Time now, std::uint32_t peer, std::span<const std::uint8_t> message);

  std::uint64_t unreadable() const { return unreadable_; }  // messages that could not be read
  std::uint64_t ignored() const { return ignored_; }        // items of peers that sent too many

 private:
  // A token bucket of items.
  struct Peer {
    Time updated = 0;
    double allowance = kMaxItemsPerSecond;
  };

  // Holds a peer to its rate: drops the items beyond it. Bounds what one faulty peer can do to all others.
  void limit(Time now, std::uint32_t peer, std::vector<GossipItem>& items);

  std::vector<GossipItem> waiting_;
  std::vector<Peer> peers_;  // by rank
  std::uint64_t unreadable_ = 0;
  std::uint64_t ignored_ = 0;
};

}  // namespace thornwick
