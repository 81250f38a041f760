#include "replication/log_records.hpp"

namespace thornwick::replication {
namespace {

constexpr std::string_view kVoteKey = "v";
constexpr std::string_view kSnapshotKey = "s";
constexpr char kEntryPrefix = 'e';
constexpr char kChunkPrefix = 'p';
constexpr std::size_t kNumberSize = 8;
constexpr std::size_t kEntryKeySize = 1 + kNumberSize;
constexpr std::size_t kChunkKeySize = 1 + 2 * kNumberSize;

// Appends the number in big-endian order, so that keys sort in the order of their numbers.
void append_number(std::string& key, std::uint64_t number) {
  for (int shift = 56; shift >= 0; shift -= 8) key += static_cast<char>(number >> shift & 0xff);
}

std::uint64_t number_at(std::string_view key, std::size_t offset) {
  std::uint64_t number = 0;
  for (std::size_t i = 0; i < kNumberSize; ++i) {
    number = number << 8 | static_cast<std::uint8_t>(key.at(offset + i));
  }
  return number;
}

}  // namespace

std::string vote_key() { return std::string(kVoteKey); }

std::string snapshot_key() { return std::string(kSnapshotKey); }

std::string entry_key(std::uint64_t index) {
  std::string key(1, kEntryPrefix);
  append_number(key, index);
  return key;
}

std::string snapshot_chunk_key(std::uint64_t generation, std::uint64_t chunk) {
  std::string key(1, kChunkPrefix);
  append_number(key, generation);
  append_number(key, chunk);
  return key;
}

LogRecordKey parse_log_key(std::string_view key) {
  if (key == kVoteKey) return {LogRecordKind::vote};
  if (key == kSnapshotKey) return {LogRecordKind::snapshot};
  if (key.size() == kEntryKeySize && key[0] == kEntryPrefix) return {LogRecordKind::entry, number_at(key, 1)};
  if (key.size() == kChunkKeySize && key[0] == kChunkPrefix) {
    return {LogRecordKind::snapshot_chunk, number_at(key, 1), number_at(key, 1 + kNumberSize)};
  }
  return {};
}

}  // namespace thornwick::replication
