// The tables of the router's state store, and how numbers become keys in them.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "store/file.hpp"

namespace thornwick::persistence {

// Indices of the tables in state_tables(); also what store::File and store::Writer take as a table.
enum StateTable : std::uint8_t { kReplicaTable, kSessionTable, kPrefixTable, kQuotaTable };

// The tables of a state store file, with the version of the records in each.
std::vector<store::TableSpec> state_tables();

// A number as a key of eight bytes, the highest first, so that keys sort as their numbers do.
std::string encode_key(std::uint64_t number);
// The number of such a key; nothing if the key does not have eight bytes.
std::optional<std::uint64_t> decode_key(std::string_view key);

}  // namespace thornwick::persistence
