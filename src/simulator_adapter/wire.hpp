// Codec of the simulator's wire protocol: it decodes batches of events and the settings text, and encodes
// replies of actions. Every read is bounds-checked.
#pragma once

#include <array>
#include <cstdint>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "thornwick/routing_policy.hpp"

namespace thornwick::simulator_adapter {

// Input that breaks the protocol. Its what() names the record and the byte, or the setting.
struct MalformedInput : std::runtime_error {
  using std::runtime_error::runtime_error;
};

inline constexpr std::size_t kHeaderBytes = 4;             // the length, which counts the records alone
inline constexpr std::size_t kClockAndCountBytes = 12;     // the rest of a batch's header
inline constexpr std::uint8_t kTables = 16;                // endpoint lists that a process can hold
inline constexpr std::uint32_t kMaxFrameBytes = 1u << 30;  // far above any batch seen; guards allocation

// The simulator starts an instance, which replaces one of the same number.
struct Start {
  std::uint64_t seed = 0;
  std::string params;  // the settings text
};
// An instance now has the endpoint list with this number.
struct EndpointListUpdate {
  EndpointUpdate scope = EndpointUpdate::delta;
  std::uint64_t epoch = 0;
  std::uint8_t table = 0;
};
// The first token of an answer has arrived.
struct FirstToken {
  RequestId id = 0;
  std::uint8_t attempt = 0;
  ReplicaId replica = 0;
  Time elapsed = 0;
};
// The client no longer waits.
struct ClientGone {
  RequestId id = 0;
};
// A timer that the instance has set is due.
struct Timer {
  std::uint32_t token = 0;
};
// An attempt has ended.
struct Result {
  AttemptResult result;  // its report is empty; the values are in `report`
  std::vector<float> report;
};
// A probe has ended.
struct Probed {
  ReplicaId replica = 0;
  bool alive = false;
  std::vector<float> report;
};
// A message of another instance.
struct PeerMessage {
  std::uint16_t peer = 0;
  std::vector<std::uint8_t> message;
};
// An instance ends.
struct Stop {};
// An endpoint list with its number. The process keeps it for all instances.
struct Roster {
  std::uint8_t table = 0;
  std::vector<Endpoint> members;
};

using Body = std::variant<Start, EndpointListUpdate, Request, FirstToken, Result, ClientGone, Timer, Probed,
                          PeerMessage, Stop, Roster>;

// One record of a batch.
struct Event {
  std::uint16_t instance = 0;
  Body body;
};

// All events of one time, in order.
struct Batch {
  Time now = 0;
  std::vector<Event> events;
};

// Decodes a batch. `payload` is all that follows the length field: clock, count and records. Throws
// MalformedInput.
Batch decode_batch(std::span<const std::uint8_t> payload);

// Appends the record of one action of an instance.
void encode_action(std::uint16_t instance, const Action& action, Time now, std::vector<std::uint8_t>& bytes);

// Returns the records behind their length field.
std::vector<std::uint8_t> frame(std::span<const std::uint8_t> records);

// Returns the length of the records that follow the header.
std::uint32_t read_length(std::span<const std::uint8_t, kHeaderBytes> header);

// Reads the path=value lines of an instance's settings; unknown keys are ignored. Throws MalformedInput.
Settings parse_settings(std::string_view params, std::uint64_t seed);

}  // namespace thornwick::simulator_adapter
