// The table "_meta", in which a store file describes itself: the version of the file's format ("format"), the
// number of batches written ("serial") and the version of each table's records ("version:TABLE"). Values are
// decimal numbers with a checksum, like every record.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "store/environment.hpp"

namespace thornwick::store {

inline constexpr const char* kMetadataTable = "_meta";
inline constexpr const char* kFormatKey = "format";
inline constexpr const char* kSerialKey = "serial";
// Rises when the framing of records or the layout of "_meta" changes.
inline constexpr std::uint32_t kFormatVersion = 1;

// The key of a table's version.
std::string version_key(const std::string& table);

// The number at a key; nothing if the key is not there. Throws StoreError (damaged) if it is no number.
std::optional<std::uint64_t> read_metadata(const Transaction& transaction, MDB_dbi metadata,
                                           const std::string& key);
// Throws StoreError.
void write_metadata(const Transaction& transaction, MDB_dbi metadata, const std::string& key,
                    std::uint64_t number);

// The names of all tables, "_meta" included, in order.
std::vector<std::string> table_names(const Transaction& transaction);
// The number of records in these tables together.
std::uint64_t count_records(const Transaction& transaction, const std::vector<std::string>& tables);

}  // namespace thornwick::store
