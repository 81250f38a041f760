// The table of faults that the shim injects into the process that it is loaded into. The test and the process
// map the same file, so that the test can switch faults on and off and read their counts while the process
// runs.
#pragma once

#include <array>
#include <atomic>
#include <cstdint>

namespace thornwick::testing {

// Groups of system calls. Functions of the C library that do the same, such as recv and read on a socket, are
// one group.
enum class SystemCall : std::uint32_t {
  none,     // the rule is not active
  accept,   //
  socket,   //
  connect,  // TCP only
  receive,  // from a TCP socket
  send,     // to a TCP socket
  poll,     //
  open,     // files that are opened for writing
  write,    // to a file
  sync,     // fsync, fdatasync, msync
  rename    //
};

// The sockets that a rule applies to.
enum class SocketSide : std::uint32_t {
  any,
  accepted,  // connections that the process accepted
  connected  // connections that the process opened
};

// Takes the place of an errno: the call transfers one byte only, or for a file half of the requested bytes.
inline constexpr std::int32_t kShortCount = -1;
inline constexpr std::uint32_t kAlways = 1'000'000;

// The test writes `call` last, so that the shim never applies a rule that is partly written.
struct FaultRule {
  std::atomic<SystemCall> call = SystemCall::none;
  std::atomic<SocketSide> side = SocketSide::any;
  std::atomic<std::int32_t> error = 0;         // an errno, or kShortCount
  std::atomic<std::uint32_t> per_million = 0;  // share of the matching calls that fail
  std::atomic<std::uint64_t> injected = 0;     // number of calls that the rule has changed
};

inline constexpr std::size_t kMaxFaultRules = 16;

struct FaultTable {
  std::array<FaultRule, kMaxFaultRules> rules;
  std::atomic<std::uint64_t> random = 1;             // state of the random number generator
  std::atomic<std::int64_t> wall_clock_step_us = 0;  // lead of the simulated system clock
};

// Environment variable with the path of the table. Without it the shim changes nothing.
inline constexpr const char* kFaultTableVariable = "THORNWICK_FAULT_TABLE";

}  // namespace thornwick::testing
