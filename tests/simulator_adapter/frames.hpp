// Builds event frames byte by byte, and reads hex as the wire's description prints it.
#pragma once

#include <bit>
#include <cstdint>
#include <string_view>
#include <vector>

namespace thornwick::testing {

using Bytes = std::vector<std::uint8_t>;

inline Bytes from_hex(std::string_view text) {
  Bytes out;
  int high = -1;
  for (const char c : text) {
    const int digit = c >= '0' && c <= '9' ? c - '0' : c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
    if (digit < 0) continue;
    if (high < 0) {
      high = digit;
    } else {
      out.push_back(static_cast<std::uint8_t>(high * 16 + digit));
      high = -1;
    }
  }
  return out;
}

class FrameBuilder {
 public:
  template <typename T>
  FrameBuilder& put(T value) {
    const auto bits = static_cast<std::uint64_t>(value);
    for (std::size_t i = 0; i < sizeof(T); ++i) body.push_back(static_cast<std::uint8_t>(bits >> (8 * i)));
    return *this;
  }
  FrameBuilder& real(float value) { return put(std::bit_cast<std::uint32_t>(value)); }
  FrameBuilder& event(std::uint16_t code, std::uint16_t instance) {
    ++records;
    return put(code).put(instance);
  }
  FrameBuilder& start(std::uint16_t instance, std::string_view params) {
    event(256, instance).put(std::uint64_t{99}).put(static_cast<std::uint32_t>(params.size()));
    body.insert(body.end(), params.begin(), params.end());
    return *this;
  }
  FrameBuilder& roster(std::uint8_t table, const std::vector<std::uint32_t>& ids) {
    ++records;
    put(std::uint16_t{266}).put(table).put(static_cast<std::uint32_t>(ids.size()));
    for (const auto id : ids) {
      put(std::uint64_t{0}).put(std::uint8_t{2}).put(std::uint16_t{0}).put(id).real(1);
      put(std::uint16_t{0}).put(std::uint16_t{0});
    }
    return *this;
  }
  FrameBuilder& directory(std::uint16_t instance, std::uint8_t scope, std::uint8_t table) {
    return event(257, instance).put(scope).put(std::uint64_t{1}).put(table);
  }
  FrameBuilder& query(std::uint16_t instance, std::uint64_t id, std::uint64_t due) {
    event(258, instance).put(id).real(0).put(std::uint32_t{0}).put(std::uint64_t{0}).real(200);
    return put(std::uint8_t{0})
        .put(std::uint64_t{0})
        .put(std::uint16_t{0})
        .put(std::uint8_t{0})
        .put(due)
        .real(100);
  }

  // All that follows the length field.
  Bytes payload(std::uint64_t now) const {
    FrameBuilder head;
    head.put(now).put(records);
    for (const auto byte : body) head.body.push_back(byte);
    return head.body;
  }
  Bytes frame(std::uint64_t now) const {
    FrameBuilder whole;
    whole.put(static_cast<std::uint32_t>(body.size()));
    const auto rest = payload(now);
    for (const auto byte : rest) whole.body.push_back(byte);
    return whole.body;
  }

  Bytes body;
  std::uint32_t records = 0;
};

inline constexpr std::string_view kParams =
    "grades.count=1\ngrades.0.credit=2.0\ngrades.0.objective=1000000\ngrades.0.deadline=5000000\n"
    "grades.0.effect=safe\ngrades.0.streamed=true\npolicyLimits.maxAttempts=3\nzones=a,b\nlocality=0\n";

}  // namespace thornwick::testing
