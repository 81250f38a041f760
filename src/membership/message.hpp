// The datagrams and claim lists of the membership protocol: content, limits and encoding. No I/O. Versions
// are not negotiated: a datagram of another version than kVersion is rejected.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace thornwick::membership {

inline constexpr std::size_t kMaxDatagramBytes = 256;
inline constexpr std::uint8_t kVersion = 1;

// Identifies the process that uses a router's name.
struct Identity {
  std::uint32_t disk_id = 0;       // random number from the creation of the state file
  std::uint32_t start_number = 0;  // number of the start, counted in that file from 1
  std::uint32_t instance_id = 0;   // random number of the process

  bool operator==(const Identity&) const = default;
};

// The kinds in the order of their strength: of two claims with the same incarnation, the later kind wins.
enum class ClaimKind : std::uint8_t { alive, suspected, leaving };

// A claim about a member. Only the member itself raises its incarnation, which refutes earlier claims.
struct Claim {
  std::uint32_t member = 0;  // id_of() the member's name; never 0 in a message
  ClaimKind claim_kind = ClaimKind::alive;
  Identity identity;
  std::uint64_t incarnation = 0;  // encoded in 48 bits

  bool operator==(const Claim&) const = default;
};

enum class MessageKind : std::uint8_t {
  ping,          // requests an ack
  ack,           // answers a ping; `number` is that of the ping
  ping_request,  // requests that the receiver ping the member `subject_id`
  indirect_ack   // the member `subject_id` answered; `number` is that of the request
};

struct Message {
  MessageKind kind = MessageKind::ping;
  std::uint32_t group = 0;  // Roster::hash() of the sender
  Claim from;               // the sender's claim about itself
  std::uint32_t number = 0;
  std::uint32_t subject_id = 0;         // id of a third member; 0: none
  std::uint16_t suspension_count = 0;   // suspensions that the sender's process has detected
  std::uint16_t last_suspension_s = 0;  // duration of the last of them, in seconds
  // By site, the number of routers that run in the sender's view; 255: 255 or more.
  std::vector<std::uint8_t> running_by_site;
  std::vector<Claim> claims;  // at most room_for(running_by_site.size())
};

// The number of claims that fit into a message of a group with this many sites.
std::size_t room_for(std::size_t sites);

std::string write(const Message& message);

// The reason why a datagram cannot be read.
enum class ReadError : std::uint8_t {
  none,
  length,    // too short, too long, or with an incomplete claim
  magic,     // the first bytes are not those of this protocol
  version,   // the version is not kVersion
  checksum,  // the checksum does not match
  group,     // the datagram is from another group
  content    // the kind of the message or of a claim is unknown, or a claim has no member
};
inline constexpr std::size_t kReadErrors = 7;

// A message, or the reason why there is none.
class ReadResult {
 public:
  explicit ReadResult(Message message) : message_(std::move(message)) {}
  explicit ReadResult(ReadError error) : error_(error) {}

  explicit operator bool() const { return message_.has_value(); }
  // Valid only if there is a message.
  const Message& operator*() const { return *message_; }
  const Message* operator->() const { return &*message_; }
  // ReadError::none if there is a message.
  ReadError error() const { return error_; }

 private:
  std::optional<Message> message_;
  ReadError error_ = ReadError::none;
};

// Decodes a datagram, which may have any content. `group` is the hash of the receiver's roster.
[[nodiscard]] ReadResult read(std::span<const std::uint8_t> bytes, std::uint32_t group);

// Encodes a list of claims, which is sent over links.
std::string write_claims(const std::vector<Claim>& claims);
// Decodes a list of claims. Returns none if the bytes cannot be decoded, or have more than `max_claims`
// claims.
[[nodiscard]] std::optional<std::vector<Claim>> read_claims(std::string_view bytes, std::size_t max_claims);

}  // namespace thornwick::membership
