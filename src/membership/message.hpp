// The datagrams and claim lists of the membership protocol: content, limits and encoding. No I/O. There is no
// version negotiation: a datagram of another version than kVersion is not read.
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

inline constexpr std::size_t kMaxDatagramBytes = 256;  // of a datagram
inline constexpr std::uint8_t kVersion = 1;

// Identifies the process that uses a router's name.
struct Identity {
  std::uint32_t disk_id = 0;       // drawn at random when the state file was made
  std::uint32_t start_number = 0;  // counted in that file
  std::uint32_t instance_id = 0;   // drawn at random by the process

  bool operator==(const Identity&) const = default;
};

// In rising order: of two claims with the same incarnation the one with the later kind wins.
enum class ClaimKind : std::uint8_t { alive, suspected, leaving };

// A claim about a member. Only the member itself raises its incarnation, to refute earlier claims.
struct Claim {
  std::uint32_t member = 0;  // id_of() its name; never 0 in a message
  ClaimKind claim_kind = ClaimKind::alive;
  Identity identity;
  std::uint64_t incarnation = 0;  // 48 bits in a message

  bool operator==(const Claim&) const = default;
};

enum class MessageKind : std::uint8_t {
  ping,          // asks for an ack
  ack,           // answers a ping; `number` is that of the ping
  ping_request,  // asks the receiver to ping the member `subject_id`
  indirect_ack   // the member `subject_id` answered; `number` is that of the request
};

struct Message {
  MessageKind kind = MessageKind::ping;
  std::uint32_t group = 0;  // Roster::hash()
  Claim from;               // the sender's claim of itself
  std::uint32_t number = 0;
  std::uint32_t subject_id = 0;         // id of a third member; 0: none
  std::uint16_t suspension_count = 0;   // how often the sender found that its process had been suspended
  std::uint16_t last_suspension_s = 0;  // seconds that the last suspension took
  std::vector<std::uint8_t>
      running_by_site;  // by site, the number of routers that the sender believes to run; 255: 255 or more
  std::vector<Claim> claims;  // at most room_for(running_by_site.size())
};

// The number of claims that fit into a message of a group with this many sites.
std::size_t room_for(std::size_t sites);

std::string write(const Message& message);

// The reason why a datagram cannot be read.
enum class ReadError : std::uint8_t {
  none,
  length,   // too short, too long, or no whole number of claims
  mark,     // not of this protocol
  version,  // not kVersion
  sum,      // the checksum does not fit
  group,    // of another group
  content   // a kind that does not exist, or a claim that makes no sense
};
inline constexpr std::size_t kReadErrors = 7;

// A message, or the reason why there is none.
class ReadResult {
 public:
  explicit ReadResult(Message message) : message_(std::move(message)) {}
  explicit ReadResult(ReadError error) : error_(error) {}

  explicit operator bool() const { return message_.has_value(); }
  // Only if there is a message.
  const Message& operator*() const { return *message_; }
  const Message* operator->() const { return &*message_; }
  // ReadError::none if there is a message.
  ReadError error() const { return error_; }

 private:
  std::optional<Message> message_;
  ReadError error_ = ReadError::none;
};

// Decodes any bytes. `group` is the hash of the receiver's roster.
[[nodiscard]] ReadResult read(std::span<const std::uint8_t> bytes, std::uint32_t group);

// Encodes a list of claims, for links.
std::string write_claims(const std::vector<Claim>& claims);
// Decodes a list of claims. None if the bytes are no list of claims, or of more than `most` claims.
[[nodiscard]] std::optional<std::vector<Claim>> read_claims(std::string_view bytes, std::size_t most);

}  // namespace thornwick::membership
