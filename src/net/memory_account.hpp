// Counts the bytes that this process holds for its peers, and says when to stop reading and when to refuse.
//
// One account for everything that a peer can make grow: a bound for each connection alone does not bound a
// process with hundreds of connections. The limit comes from the memory limit of the configuration.
#pragma once

#include <array>
#include <cstddef>

namespace thornwick::net {

// What bytes are held for.
enum class MemoryUse {
  connections,  // the objects of a connection, without buffers
  heads,        // heads, and bytes of requests that were received and not read yet
  bodies,       // bodies of requests, until their answers begin
  answers,      // answers on the way to clients
  names         // request ids that are kept beyond their requests
};
inline constexpr std::size_t kMemoryUses = 5;

// What the account asks for.
enum class MemoryPressure {
  none,
  pause,  // read no more bytes than small requests need; let answers wait at the replicas
  refuse  // take on no more work
};

class MemoryAccount {
 public:
  // Sets the bytes that may be held.
  void set_limit(std::size_t bytes) { limit_ = bytes; }
  std::size_t limit() const { return limit_; }

  void add(MemoryUse use, std::size_t bytes);
  void remove(MemoryUse use, std::size_t bytes);

  std::size_t held() const { return held_; }
  std::size_t held(MemoryUse use) const { return held_by_use_[static_cast<std::size_t>(use)]; }
  // The most bytes that were held at once since the start of the process.
  std::size_t peak() const { return peak_; }
  MemoryPressure pressure() const;

 private:
  std::size_t limit_ = 64UL * 1024 * 1024;
  std::size_t held_ = 0;
  std::size_t peak_ = 0;
  std::array<std::size_t, kMemoryUses> held_by_use_{};
};

// Returns the bytes that peers may make a process hold that has a memory limit of `memory_bytes`.
std::size_t memory_for_peers(std::size_t memory_bytes);

// The account of this process.
MemoryAccount& memory_account();

// Counts bytes as held as long as this object exists.
class HeldBytes {
 public:
  explicit HeldBytes(MemoryUse use, std::size_t bytes = 0) : use_(use) { set(bytes); }
  HeldBytes(const HeldBytes&) = delete;
  HeldBytes& operator=(const HeldBytes&) = delete;
  ~HeldBytes() { set(0); }

  void set(std::size_t bytes);
  std::size_t bytes() const { return bytes_; }

 private:
  MemoryUse use_;
  std::size_t bytes_ = 0;
};

}  // namespace thornwick::net
