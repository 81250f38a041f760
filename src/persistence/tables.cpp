#include "persistence/tables.hpp"

namespace thornwick::persistence {
namespace {

constexpr std::uint32_t kRecordVersion = 1;
constexpr std::size_t kKeyBytes = sizeof(std::uint64_t);
constexpr unsigned kBitsPerByte = 8;
constexpr std::uint64_t kByteMask = 0xff;

}  // namespace

std::vector<store::TableSpec> state_tables() {
  return {{"affinity.boxes", kRecordVersion},
          {"affinity.sessions", kRecordVersion},
          {"affinity.prefixes", kRecordVersion},
          {"budgets.accounts", kRecordVersion}};
}

std::string encode_key(std::uint64_t number) {
  std::string key(kKeyBytes, '\0');
  for (auto position = key.rbegin(); position != key.rend(); ++position) {
    *position = static_cast<char>(number & kByteMask);
    number >>= kBitsPerByte;
  }
  return key;
}

std::optional<std::uint64_t> decode_key(std::string_view key) {
  if (key.size() != kKeyBytes) return std::nullopt;
  std::uint64_t number = 0;
  for (const char byte : key) number = number << kBitsPerByte | static_cast<unsigned char>(byte);
  return number;
}

}  // namespace thornwick::persistence
