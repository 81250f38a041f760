#include "core/drain_message.hpp"

#include <algorithm>

namespace thornwick::core {
namespace {

constexpr std::uint8_t kMessageKind = 0x44;
constexpr std::uint8_t kVersion = 1;
constexpr std::size_t kHeaderBytes = 2;
constexpr std::size_t kFieldBytes = 4;
constexpr std::size_t kReportBytes = 2 * kFieldBytes;
constexpr int kBitsPerByte = 8;
constexpr std::uint32_t kByteMask = 0xff;

void append_little_endian(std::string& bytes, std::uint32_t value) {
  for (std::size_t i = 0; i < kFieldBytes; ++i) {
    bytes += static_cast<char>(value & kByteMask);
    value >>= kBitsPerByte;
  }
}

std::uint32_t read_little_endian(std::span<const std::uint8_t> bytes) {
  std::uint32_t value = 0;
  for (std::size_t i = kFieldBytes; i-- > 0;) value = value << kBitsPerByte | bytes[i];
  return value;
}

}  // namespace

std::uint32_t start_stamp_of(const Endpoint& replica) {
  return static_cast<std::uint32_t>(replica.started_at / milliseconds(1));
}

bool is_drain_message(std::span<const std::uint8_t> bytes) {
  return !bytes.empty() && bytes[0] == kMessageKind;
}

std::optional<std::vector<DrainReport>> decode_drain_message(std::span<const std::uint8_t> bytes) {
  if (bytes.size() < kHeaderBytes || bytes[0] != kMessageKind || bytes[1] != kVersion) return std::nullopt;
  const auto body = bytes.subspan(kHeaderBytes);
  const std::size_t count = body.size() / kReportBytes;
  if (count == 0 || count > kMaxDrainReports || body.size() % kReportBytes != 0) return std::nullopt;
  std::vector<DrainReport> reports;
  for (std::size_t at = 0; at < body.size(); at += kReportBytes) {
    const std::uint32_t replica = read_little_endian(body.subspan(at));
    const std::uint32_t start_stamp = read_little_endian(body.subspan(at + kFieldBytes));
    reports.push_back({.replica = replica, .start_stamp = start_stamp});
  }
  return reports;
}

std::string encode_drain_message(std::span<const DrainReport> reports) {
  std::string message{static_cast<char>(kMessageKind), static_cast<char>(kVersion)};
  for (const DrainReport& report : reports) {
    append_little_endian(message, report.replica);
    append_little_endian(message, report.start_stamp);
  }
  return message;
}

}  // namespace thornwick::core
