// The codec of the simulator's wire protocol: decodes batches of events and the settings text, and encodes
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

// Thrown for input that violates the protocol. what() names the record and the byte, or the setting.
struct MalformedInput : std::runtime_error {
  using std::runtime_error::runtime_error;
};

inline constexpr std::size_t kHeaderBytes = 4;          // the length of a frame's records, which excludes ...
inline constexpr std::size_t kClockAndCountBytes = 12;  // ... the clock and the record count of a batch
inline constexpr std::uint8_t kMaxLists = 16;           // endpoint lists that a process can hold
inline constexpr std::uint32_t kMaxFrameBytes = 1u << 30;  // limits allocation; far above any batch in use

// Starts an instance. It replaces an earlier instance with the same number.
struct Start {
  std::uint64_t seed = 0;
  std::string settings_text;  // see parse_settings()
};
// The endpoint list with this number now applies to the instance.
struct EndpointListUpdate {
  EndpointUpdate scope = EndpointUpdate::delta;
  std::uint64_t epoch = 0;
  std::uint8_t list_number = 0;
};
// The first token of an answer has arrived.
struct FirstToken {
  RequestId id = 0;
  std::uint8_t attempt = 0;
  ReplicaId replica = 0;
  Time elapsed = 0;
};
// The client has disconnected.
struct ClientDisconnected {
  RequestId id = 0;
};
// A timer that the instance has set has expired.
struct TimerExpired {
  std::uint32_t token = 0;
};
// An attempt has ended.
struct Result {
  AttemptResult result;  // its `report` is empty; the values are in the member below
  std::vector<float> report;
};
// A probe has ended.
struct ProbeResult {
  ReplicaId replica = 0;
  bool alive = false;
  std::vector<float> report;
};
// A message of another instance has arrived.
struct PeerMessage {
  std::uint16_t peer = 0;
  std::vector<std::uint8_t> message;
};
// Stops the instance.
struct Stop {};
// The content of the endpoint list with this number. The process keeps it for all instances.
struct EndpointList {
  std::uint8_t list_number = 0;
  std::vector<Endpoint> members;
};

using EventBody = std::variant<Start, EndpointListUpdate, Request, FirstToken, Result, ClientDisconnected,
                               TimerExpired, ProbeResult, PeerMessage, Stop, EndpointList>;

// One record of a batch.
struct Event {
  std::uint16_t instance = 0;
  EventBody body;
};

// All events with the same time, in order.
struct Batch {
  Time now = 0;
  std::vector<Event> events;
};

// Decodes a batch. `payload` consists of the clock, the record count and the records, without the length
// field before them. Throws MalformedInput.
Batch decode_batch(std::span<const std::uint8_t> payload);

// Appends the record of one action of an instance to `bytes`.
void encode_action(std::uint16_t instance, const Action& action, Time now, std::vector<std::uint8_t>& bytes);

// Returns a frame: the length field, followed by the records.
std::vector<std::uint8_t> frame(std::span<const std::uint8_t> records);

// Returns the length of the records, in bytes, from the header of a frame.
std::uint32_t read_length(std::span<const std::uint8_t, kHeaderBytes> header);

// Parses the settings of an instance: lines of the form path=value. Unknown keys are ignored. Throws
// MalformedInput.
Settings parse_settings(std::string_view settings_text, std::uint64_t seed);

}  // namespace thornwick::simulator_adapter
