// A bounds-checked reader of little-endian records.
#pragma once

#include <bit>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <span>
#include <string>
#include <vector>

#include "simulator_adapter/field.hpp"
#include "simulator_adapter/wire.hpp"

namespace thornwick::simulator_adapter {

// Reads the bytes of one batch, which the reader does not own. Every read that fails throws MalformedInput
// with the numbers of the record and the byte.
class ByteReader {
 public:
  explicit ByteReader(std::span<const std::uint8_t> bytes) : bytes_(bytes) {}

  // Returns the number of bytes that were not read yet.
  std::size_t remaining() const { return bytes_.size() - position_; }
  // Sets the number of the record that the next reads belong to.
  void begin_record(std::uint32_t number) { record_ = static_cast<std::int64_t>(number); }

  // Throws MalformedInput with the current record and byte, and the reason.
  [[noreturn]] void reject(const std::string& reason) const;

  // Returns the next `count` bytes. `field` is the field that the error names if there are too few bytes; the
  // same applies to all reads below.
  std::span<const std::uint8_t> take(std::uint64_t count, Field field);

  // Reads an unsigned number of the size of T.
  template <typename T>
  T number(Field field) {
    const auto bytes = take(sizeof(T), field);
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < sizeof(T); ++i) value |= std::uint64_t{bytes[i]} << (8 * i);
    return static_cast<T>(value);
  }

  // Reads a time in microseconds, which must be within half the range of Time.
  Time time(Field field);
  // Reads a finite number.
  float real(Field field);
  // Reads a count of one byte, and then that number of finite numbers.
  std::vector<float> reals(Field field);

 private:
  std::span<const std::uint8_t> bytes_;
  std::size_t position_ = 0;
  std::int64_t record_ = -1;  // -1: before the first record
};

}  // namespace thornwick::simulator_adapter
