// Encodes values as MessagePack bytes, and decodes them.
#pragma once

#include <exception>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace thornwick::replication {

template <typename T>
std::string packed(const T& value) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, value);
  return {buffer.data(), buffer.size()};
}

// Decodes a T. Throws msgpack::unpack_error or msgpack::type_error if the bytes are not a T.
template <typename T>
T unpacked(std::string_view bytes) {
  return msgpack::unpack(bytes.data(), bytes.size()).get().as<T>();
}

// Decodes a T. Returns none if the bytes are not a T.
template <typename T>
std::optional<T> read(std::string_view bytes) {
  try {
    return unpacked<T>(bytes);
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace thornwick::replication
