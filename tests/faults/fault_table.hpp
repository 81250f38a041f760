// What the fault shim does to the process that it is loaded into: a table in a file that both map, so that a
// test switches faults on and off while the process runs, and reads how many there were.
#pragma once

#include <array>
#include <atomic>
#include <cstdint>

namespace thornwick::testing {

// System calls, with the names that the C library gives them. Calls of several names that do the same (recv,
// read on a socket) are one.
enum class SystemCall : std::uint32_t {
  none,     // the rule is off
  accept,   //
  socket,   //
  connect,  // of TCP
  receive,  // from a TCP socket
  send,     // to a TCP socket
  poll,     //
  open,     // of a file for writing
  write,    // to a file
  sync,     // fsync, fdatasync, msync
  rename    //
};

// Whose sockets a rule is about.
enum class SocketSide : std::uint32_t {
  any,
  accepted,  // connections that the process accepted
  connected  // connections that it made
};

// In place of an errno: the call transfers one byte only, or for a file half of what was asked.
inline constexpr std::int32_t kShortCount = -1;
inline constexpr std::uint32_t kAlways = 1'000'000;

// The shim reads `call` last and the test writes it last, so that a rule is never half known.
struct FaultRule {
  std::atomic<SystemCall> call = SystemCall::none;
  std::atomic<SocketSide> side = SocketSide::any;
  std::atomic<std::int32_t> error = 0;         // an errno, or kShortCount
  std::atomic<std::uint32_t> per_million = 0;  // of the calls that it fits
  std::atomic<std::uint64_t> injected = 0;     // how many calls it has changed
};

inline constexpr std::size_t kMaxFaultRules = 16;

struct FaultTable {
  std::array<FaultRule, kMaxFaultRules> rules;
  std::atomic<std::uint64_t> random = 1;             // the state of all chance
  std::atomic<std::int64_t> wall_clock_step_us = 0;  // the system's clock is this much ahead
};

// Names the file with the table. Without it the shim changes nothing.
inline constexpr const char* kFaultTableVariable = "THORNWICK_FAULT_TABLE";

}  // namespace thornwick::testing
