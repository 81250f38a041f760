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

#include "simulator_adapter/wire.hpp"

namespace thornwick::simulator_adapter {

// Reads from the bytes of one batch, which it does not own. It knows its position, so that a defect can be
// placed: every failed read throws Malformed with the number of the record and the byte.
class ByteReader {
 public:
  explicit ByteReader(std::span<const std::uint8_t> bytes) : bytes_(bytes) {}

  // The number of bytes not yet read.
  std::size_t left() const { return bytes_.size() - position_; }
  // The next reads are of the record with this number.
  void begin_record(std::uint32_t number) { record_ = static_cast<std::int64_t>(number); }

  [[noreturn]] void reject(const std::string& what) const;

  // The next bytes; `what` names them in the error.
  std::span<const std::uint8_t> take(std::uint64_t count, const char* what);

  // An unsigned number of the size of T.
  template <typename T>
  T number(const char* what) {
    const auto part = take(sizeof(T), what);
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < sizeof(T); ++i) value |= std::uint64_t{part[i]} << (8 * i);
    return static_cast<T>(value);
  }

  // Microseconds, within half the range of Time.
  Time time(const char* what);
  // A finite number.
  float real(const char* what);
  // A count of one byte, then so many finite numbers.
  std::vector<float> reals(const char* what);

 private:
  std::span<const std::uint8_t> bytes_;
  std::size_t position_ = 0;
  std::int64_t record_ = -1;  // before the first record
};

}  // namespace thornwick::simulator_adapter
