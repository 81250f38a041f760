#include "store/checksum.hpp"

#include <xxhash.h>

#include <cstring>

#include "store/error.hpp"

namespace thornwick::store {
namespace {

constexpr std::size_t kChecksumBytes = sizeof(XXH64_hash_t);

// Each hash seeds the next one, so that bytes cannot move between table, key and value unnoticed.
XXH64_hash_t checksum_of(std::string_view table, std::string_view key, std::string_view value) {
  const XXH64_hash_t table_hash = XXH3_64bits(table.data(), table.size());
  const XXH64_hash_t key_hash = XXH3_64bits_withSeed(key.data(), key.size(), table_hash);
  return XXH3_64bits_withSeed(value.data(), value.size(), key_hash);
}

bool has_valid_checksum(std::string_view table, std::string_view key, std::string_view record) {
  if (record.size() < kChecksumBytes) return false;
  XXH64_hash_t stored = 0;
  std::memcpy(&stored, record.data(), kChecksumBytes);
  return stored == checksum_of(table, key, record.substr(kChecksumBytes));
}

}  // namespace

std::string add_checksum(std::string_view table, std::string_view key, std::string_view value) {
  const XXH64_hash_t checksum = checksum_of(table, key, value);
  std::string record(kChecksumBytes, '\0');
  std::memcpy(record.data(), &checksum, kChecksumBytes);
  return record.append(value);
}

std::string_view verify_checksum(std::string_view table, std::string_view key, std::string_view record) {
  if (!has_valid_checksum(table, key, record)) {
    throw StoreError(ErrorKind::damaged,
                     "table " + std::string(table) + ": a record does not match its checksum");
  }
  return record.substr(kChecksumBytes);
}

}  // namespace thornwick::store
