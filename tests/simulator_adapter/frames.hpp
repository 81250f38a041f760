// Builds frames of events byte by byte, and converts the hexadecimal text of the wire protocol's description.
#pragma once

#include <bit>
#include <cstdint>
#include <string_view>
#include <vector>

namespace thornwick::testing {

using Bytes = std::vector<std::uint8_t>;

// Returns the bytes of a text of hexadecimal digits. Other characters are ignored.
inline Bytes from_hex(std::string_view text) {
  Bytes bytes;
  int high = -1;
  for (const char c : text) {
    const int digit = c >= '0' && c <= '9' ? c - '0' : c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
    if (digit < 0) continue;
    if (high < 0) {
      high = digit;
    } else {
      bytes.push_back(static_cast<std::uint8_t>(high * 16 + digit));
      high = -1;
    }
  }
  return bytes;
}

// Builds a batch of records. A call with the name of an event appends the record of the event.
class FrameBuilder {
 public:
  // Appends a little-endian number of the size of T.
  template <typename T>
  FrameBuilder& put(T value) {
    const auto bits = static_cast<std::uint64_t>(value);
    for (std::size_t i = 0; i < sizeof(T); ++i) body.push_back(static_cast<std::uint8_t>(bits >> (8 * i)));
    return *this;
  }
  FrameBuilder& real(float value) { return put(std::bit_cast<std::uint32_t>(value)); }
  // Begins the record of an event of an instance.
  FrameBuilder& event(std::uint16_t code, std::uint16_t instance) {
    ++records;
    return put(code).put(instance);
  }
  FrameBuilder& start(std::uint16_t instance, std::string_view settings_text) {
    event(256, instance).put(std::uint64_t{99}).put(static_cast<std::uint32_t>(settings_text.size()));
    body.insert(body.end(), settings_text.begin(), settings_text.end());
    return *this;
  }
  FrameBuilder& endpoint_list(std::uint8_t list_number, const std::vector<std::uint32_t>& ids) {
    ++records;
    put(std::uint16_t{266}).put(list_number).put(static_cast<std::uint32_t>(ids.size()));
    for (const auto id : ids) {
      put(std::uint64_t{0}).put(std::uint8_t{2}).put(std::uint16_t{0}).put(id).real(1);
      put(std::uint16_t{0}).put(std::uint16_t{0});
    }
    return *this;
  }
  FrameBuilder& list_update(std::uint16_t instance, std::uint8_t scope, std::uint8_t list_number) {
    return event(257, instance).put(scope).put(std::uint64_t{1}).put(list_number);
  }
  FrameBuilder& request(std::uint16_t instance, std::uint64_t id, std::uint64_t deadline) {
    event(258, instance).put(id).real(0).put(std::uint32_t{0}).put(std::uint64_t{0}).real(200);
    return put(std::uint8_t{0})
        .put(std::uint64_t{0})
        .put(std::uint16_t{0})
        .put(std::uint8_t{0})
        .put(deadline)
        .real(100);
  }

  // Returns the batch without its length field.
  Bytes payload(std::uint64_t now) const {
    FrameBuilder builder;
    builder.put(now).put(records);
    for (const auto byte : body) builder.body.push_back(byte);
    return builder.body;
  }
  // Returns the batch with its length field.
  Bytes frame(std::uint64_t now) const {
    FrameBuilder builder;
    builder.put(static_cast<std::uint32_t>(body.size()));
    const auto rest = payload(now);
    for (const auto byte : rest) builder.body.push_back(byte);
    return builder.body;
  }

  Bytes body;
  std::uint32_t records = 0;
};

// The settings of a router with one class of request.
inline constexpr std::string_view kSettingsText =
    "grades.count=1\ngrades.0.credit=2.0\ngrades.0.objective=1000000\ngrades.0.deadline=5000000\n"
    "grades.0.effect=safe\ngrades.0.streamed=true\npolicyLimits.maxAttempts=3\nzones=a,b\nlocality=0\n";

}  // namespace thornwick::testing
