// Encodes and decodes the message in which routers report draining or removed replicas to each other. No
// state, no I/O.
//
// Format: one byte for the kind of the message and one for its version, then for each report the replica's id
// and its start stamp, both as 32 bits, least significant byte first.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "thornwick/routing_policy.hpp"

namespace thornwick::core {

// Reports that a replica drains or has been removed. A report is about one start of the replica, so that a
// late or repeated report does not affect the next start.
struct DrainReport {
  ReplicaId replica = 0;
  std::uint32_t start_stamp = 0;  // see start_stamp_of
};

// The maximum number of reports in one message.
inline constexpr std::size_t kMaxDrainReports = 31;

// Returns when a replica started, in milliseconds modulo 2^32.
std::uint32_t start_stamp_of(const Endpoint& replica);

// Returns whether a peer's message is of this kind, even if it cannot be decoded.
bool is_drain_message(std::span<const std::uint8_t> bytes);

// Returns nothing if the message is empty, truncated, too long or of another version.
std::optional<std::vector<DrainReport>> decode_drain_message(std::span<const std::uint8_t> bytes);

// Returns the message with these reports. There must be 1 to kMaxDrainReports of them.
std::string encode_drain_message(std::span<const DrainReport> reports);

}  // namespace thornwick::core
