// A digest of recorded integers, and the rounding that keeps it equal on every processor.
#pragma once

#include <cmath>
#include <cstdint>
#include <string_view>

namespace thornwick::recordings {

// The 64-bit FNV-1a hash. An integer is added as eight bytes, the least significant byte first.
class Digest {
 public:
  void add(std::uint64_t value) {
    for (int shift = 0; shift < 64; shift += 8) add_byte(static_cast<std::uint8_t>(value >> shift));
  }

  void add(std::string_view bytes) {
    add(std::uint64_t{bytes.size()});
    for (const char byte : bytes) add_byte(static_cast<std::uint8_t>(byte));
  }

  // Adds the value rounded to three decimals.
  void add_rounded(double value) {
    constexpr double kSteps = 1000;
    add(static_cast<std::uint64_t>(std::llround(value * kSteps)));
  }

  std::uint64_t value() const { return value_; }

 private:
  static constexpr std::uint64_t kOffsetBasis = 0xcbf29ce484222325ULL;
  static constexpr std::uint64_t kPrime = 0x100000001b3ULL;

  void add_byte(std::uint8_t byte) { value_ = (value_ ^ byte) * kPrime; }

  std::uint64_t value_ = kOffsetBasis;
};

}  // namespace thornwick::recordings
