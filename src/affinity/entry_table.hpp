// The entries of the affinity table: which replicas hold the cached prompt of a session, and which hold a
// shared prefix.
//
// A copy names its replica by a slot and carries the slot's epoch. Raising the epoch of a slot invalidates
// all copies of that replica in one step, whatever their number; a sweep drops entries without a valid copy
// later. Each session names its prefix.
#pragma once

#include <array>
#include <cstdint>
#include <span>

#include "affinity/bounded_map.hpp"
#include "thornwick/routing_policy.hpp"

namespace thornwick::affinity {

using Slot = std::uint16_t;   // index of a replica in the registry
using Epoch = std::uint16_t;  // counts how often a slot's copies were invalidated; wraps

// A prompt, or its beginning, that a replica is believed to have cached.
struct Copy {
  std::uint32_t tokens = 0;  // of the prompt
  // Reading of the replica's odometer at the last use, in units of 64 tokens; wraps.
  std::uint32_t odometer = 0;
  std::uint32_t last_used_s = 0;  // time of the last use, in seconds of the caller's clock
  Slot replica = 0;
  Epoch epoch = 0;  // of the slot when the copy was made
};

// A session that migrates to a neighbouring replica leaves a copy on two replicas; a third is for a replica
// that was used once.
inline constexpr std::size_t kSessionCopies = 3;
// Only the most recently used copies are stored. A popular prefix is on more replicas, but these suffice to
// find it.
inline constexpr std::size_t kPrefixCopies = 8;

// At most N copies, each on another replica.
template <std::size_t N>
struct Copies {
  std::array<Copy, N> items{};
  std::uint8_t count = 0;  // copies in use, from the front of `items`

  std::span<Copy> all() { return {items.data(), count}; }
  std::span<const Copy> all() const { return {items.data(), count}; }
  // Returns the copy on this replica from this epoch; null if there is none.
  Copy* find(Slot replica, Epoch epoch) {
    for (Copy& copy : all()) {
      if (copy.replica == replica && copy.epoch == epoch) return &copy;
    }
    return nullptr;
  }
  // The element to write a copy on this replica to: the one of this replica, an unused one, or the least
  // recently used.
  Copy& copy_for(Slot replica) {
    Copy* oldest = items.data();
    for (Copy& copy : all()) {
      if (copy.replica == replica) return copy;
      if (copy.last_used_s < oldest->last_used_s) oldest = &copy;
    }
    if (count == N) return *oldest;
    Copy& unused = items[count];
    ++count;
    return unused;
  }
};

struct Session {
  std::uint64_t prefix = 0;       // key of its shared prefix; 0: none
  std::uint32_t cached_size = 0;  // size of the request that made the first valid copy, in tokens
  bool unsaved = false;           // the journal has not accepted the latest state yet
  Copies<kSessionCopies> copies;
};

struct Prefix {
  float recent_requests = 0;       // requests with this prefix, decaying; not stored
  std::uint32_t last_request = 0;  // number of the request at which recent_requests was updated; not stored
  bool unsaved = false;            // the journal has not accepted the latest state yet
  Copies<kPrefixCopies> copies;
};

struct TableLimits {
  std::size_t entries = 1'000'000;  // maximum of sessions and prefixes together
  std::size_t bytes = 12 << 20;     // maximum that both maps together reserve
  Eviction eviction = Eviction::lru;
  std::uint64_t seed = 0;  // of the hash
};

// The two maps of entries, sized so that both limits hold.
class EntryTable {
 public:
  // Throws std::invalid_argument if the limits leave no room for one entry in each table.
  explicit EntryTable(const TableLimits& limits);

  BoundedMap<Session>& sessions() { return sessions_; }
  BoundedMap<Prefix>& prefixes() { return prefixes_; }
  const BoundedMap<Session>& sessions() const { return sessions_; }
  const BoundedMap<Prefix>& prefixes() const { return prefixes_; }
  std::size_t size() const { return sessions_.size() + prefixes_.size(); }
  std::size_t bytes() const { return sessions_.bytes() + prefixes_.bytes(); }

 private:
  // Sessions for each prefix: many sessions share few prefixes.
  static constexpr std::size_t kSessionsPerPrefix = 15;
  // The number of groups, of one prefix and its sessions each, that fit into both limits.
  static std::size_t group_count(const TableLimits& limits);

  BoundedMap<Session> sessions_;
  BoundedMap<Prefix> prefixes_;
};

}  // namespace thornwick::affinity
