// Encodes and decodes the frames of the links between routers. Uses no sockets.
//
// A frame is a head of 8 bytes (length and XXH32 checksum of the content, 32 bits each, little-endian) and
// its content: the MessagePack array [channel, bytes]. Channel 0 is reserved for the links themselves: it
// carries greetings and heartbeats. A heartbeat is a frame of channel 0 without bytes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <exception>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace thornwick::net {

inline constexpr std::uint32_t kLinkVersion = 1;
inline constexpr std::size_t kFrameHeadBytes = 8;
inline constexpr std::size_t kMaxFrameBytes = 64UL * 1024;  // of a frame's content
inline constexpr std::uint8_t kControlChannel = 0;          // greetings and heartbeats

// Why the bytes of a link cannot be used. Each fault ends the link.
enum class FrameFault {
  unreadable,       // the MessagePack of a frame, or of a message in it, is malformed
  too_long,         // longer than kMaxFrameBytes
  wrong_checksum,   // the checksum in the head differs from the checksum of the content
  before_greeting,  // a frame of another channel came before both sides had greeted
};

// The text of the fault in log lines.
std::string_view to_string(FrameFault fault);

// Thrown for bytes that are not a frame.
class FrameError : public std::exception {
 public:
  explicit FrameError(FrameFault fault) : fault_(fault) {}

  FrameFault fault() const { return fault_; }
  const char* what() const noexcept override { return to_string(fault_).data(); }

 private:
  FrameFault fault_;
};

// The first frame in each direction of a link.
struct LinkGreeting {
  std::uint32_t version = kLinkVersion;
  std::uint32_t group = 0;
  std::uint64_t from = 0;  // number of the member that sends the greeting
  std::uint64_t to = 0;    // number of the member that receives the greeting
  MSGPACK_DEFINE(version, group, from, to)
};

// A received frame.
struct LinkFrame {
  std::uint8_t channel = 0;
  std::string_view bytes;  // valid as long as `storage` exists
  msgpack::object_handle storage;
};

// Returns a complete frame, including its head. `bytes` must be short enough for a content within
// kMaxFrameBytes.
std::string write_frame(std::uint8_t channel, std::string_view bytes);
std::string write_greeting(const LinkGreeting& greeting);

// Throws an exception of MessagePack if `bytes` are not a greeting.
LinkGreeting read_greeting(std::string_view bytes);

// Splits a byte stream into frames.
class FrameReader {
 public:
  void feed(std::string_view bytes) { buffer_ += bytes; }
  // Returns the next complete frame; none if more bytes are needed. After it has thrown a FrameError, the
  // reader must not be used any more.
  std::optional<LinkFrame> next();
  // Removes the frames that next() has returned from the buffer. Must be called after next() has returned
  // none.
  void discard_consumed();

 private:
  std::string buffer_;
  std::size_t position_ = 0;  // of the first byte in the buffer that no frame has consumed yet
};

}  // namespace thornwick::net
