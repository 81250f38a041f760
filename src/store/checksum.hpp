// Checksums of records. LMDB does not verify what it reads, so each stored value is preceded by the 64-bit
// XXH3 of its table's name, its key and the value.
#pragma once

#include <string>
#include <string_view>

namespace thornwick::store {

// The value as it is stored: its checksum in the machine's byte order, then the value.
std::string add_checksum(std::string_view table, std::string_view key, std::string_view value);

// The value inside a stored record, as a view into it. Throws StoreError (damaged) if the checksum does not
// match.
std::string_view verify_checksum(std::string_view table, std::string_view key, std::string_view record);

}  // namespace thornwick::store
