#include "net/link_frame.hpp"

#include <xxhash.h>

namespace thornwick::net {
namespace {

constexpr std::size_t kChecksumOffset = 4;  // in the head, after the length
constexpr std::size_t kNumberBytes = 4;
constexpr std::size_t kBitsPerByte = 8;
constexpr XXH32_hash_t kChecksumSeed = 0;
constexpr std::uint32_t kFrameFields = 2;  // channel and bytes

std::uint32_t read_number(std::string_view bytes) {
  std::uint32_t value = 0;
  for (std::size_t i = 0; i < kNumberBytes; ++i) {
    value |= std::uint32_t{static_cast<std::uint8_t>(bytes[i])} << (kBitsPerByte * i);
  }
  return value;
}

void append_number(std::string& out, std::uint32_t value) {
  for (std::size_t i = 0; i < kNumberBytes; ++i) {
    out += static_cast<char>(value >> (kBitsPerByte * i) & 0xff);
  }
}

LinkFrame unpack_frame(std::string_view content) {
  try {
    LinkFrame frame;
    frame.storage = msgpack::unpack(content.data(), content.size());
    const auto& fields = frame.storage.get().via.array;
    if (frame.storage.get().type != msgpack::type::ARRAY || fields.size != kFrameFields ||
        fields.ptr[1].type != msgpack::type::BIN) {
      throw msgpack::type_error();
    }
    frame.channel = fields.ptr[0].as<std::uint8_t>();
    frame.bytes = {fields.ptr[1].via.bin.ptr, fields.ptr[1].via.bin.size};
    return frame;
  } catch (const std::exception&) {
    throw FrameError(FrameFault::unreadable);
  }
}

}  // namespace

std::string_view to_string(FrameFault fault) {
  switch (fault) {
    case FrameFault::unreadable: return "a malformed frame or message";
    case FrameFault::too_long: return "a frame that is too long";
    case FrameFault::wrong_checksum: return "a frame with a wrong checksum";
    case FrameFault::before_greeting: break;
  }
  return "a frame before the greeting";
}

std::string write_frame(std::uint8_t channel, std::string_view bytes) {
  const auto size = static_cast<std::uint32_t>(bytes.size());
  msgpack::sbuffer packed;
  msgpack::packer<msgpack::sbuffer> packer(packed);
  packer.pack_array(kFrameFields);
  packer.pack(channel);
  packer.pack_bin(size);
  packer.pack_bin_body(bytes.data(), size);
  std::string out;
  append_number(out, static_cast<std::uint32_t>(packed.size()));
  append_number(out, XXH32(packed.data(), packed.size(), kChecksumSeed));
  return out.append(packed.data(), packed.size());
}

std::string write_greeting(const LinkGreeting& greeting) {
  msgpack::sbuffer packed;
  msgpack::pack(packed, greeting);
  return write_frame(kControlChannel, {packed.data(), packed.size()});
}

LinkGreeting read_greeting(std::string_view bytes) {
  return msgpack::unpack(bytes.data(), bytes.size()).get().as<LinkGreeting>();
}

std::optional<LinkFrame> FrameReader::next() {
  std::string_view rest = buffer_;
  rest.remove_prefix(position_);
  if (rest.size() < kFrameHeadBytes) return std::nullopt;
  const std::size_t size = read_number(rest);
  if (size > kMaxFrameBytes) throw FrameError(FrameFault::too_long);
  if (rest.size() < kFrameHeadBytes + size) return std::nullopt;
  const std::string_view content = rest.substr(kFrameHeadBytes, size);
  if (read_number(rest.substr(kChecksumOffset)) != XXH32(content.data(), content.size(), kChecksumSeed)) {
    throw FrameError(FrameFault::wrong_checksum);
  }
  position_ += kFrameHeadBytes + size;
  return unpack_frame(content);
}

void FrameReader::discard_consumed() {
  buffer_.erase(0, position_);
  position_ = 0;
}

}  // namespace thornwick::net
