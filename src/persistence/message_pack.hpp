// MessagePack for this module's records. Each record is a struct that packs as an array of its fields, in the
// order in which its msgpack_pack() or MSGPACK_DEFINE_ARRAY names them: that order is the stored form and
// must not change without a new version.
#pragma once

#include <cstddef>
#include <exception>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace thornwick::persistence {

// Bounds on what a single stored record may contain. They guard the memory against lengths that were never
// written: no record holds more than a few of anything.
struct RecordLimits {
  static constexpr std::size_t kMaxElements = 64;  // of one array
  static constexpr std::size_t kMaxBytes = 256;    // of one string
  static constexpr std::size_t kMaxDepth = 4;      // of nested arrays
};

// The MessagePack form of a record.
template <typename Record>
std::string pack_record(const Record& record) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, record);
  return {buffer.data(), buffer.size()};
}

// The record in the bytes; nothing if they are not exactly one such record, or exceed RecordLimits.
template <typename Record>
std::optional<Record> unpack_record(std::string_view bytes) {
  const msgpack::unpack_limit limits(RecordLimits::kMaxElements, 0, RecordLimits::kMaxBytes,
                                     RecordLimits::kMaxBytes, 0, RecordLimits::kMaxDepth);
  try {
    std::size_t end = 0;
    const auto handle = msgpack::unpack(bytes.data(), bytes.size(), end, nullptr, nullptr, limits);
    if (end != bytes.size()) return std::nullopt;
    return handle.get().as<Record>();
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

// Packs two fields as an array of two.
template <typename Packer, typename First, typename Second>
void pack_two(Packer& packer, const First& first, const Second& second) {
  packer.pack_array(2);
  packer.pack(first);
  packer.pack(second);
}

// Reads two fields from an array. Throws msgpack::type_error unless it has exactly two elements of their
// types.
template <typename First, typename Second>
void unpack_two(const msgpack::object& object, First& first, Second& second) {
  const bool has_two = object.type == msgpack::type::ARRAY && object.via.array.size == 2;
  if (!has_two) throw msgpack::type_error();
  object.via.array.ptr[0].convert(first);
  object.via.array.ptr[1].convert(second);
}

}  // namespace thornwick::persistence
