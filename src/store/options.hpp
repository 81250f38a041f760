// The options with which a store file is opened.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace thornwick::store {

// Returns the value of a record of an older version in the present form, or nothing if the record is to be
// erased.
using MigrateRecord = std::function<std::optional<std::string>(std::uint32_t from_version,
                                                               std::string_view key, std::string_view value)>;

// A table that the caller uses. Its index in the list of specs is what Change::table and File::each name it
// by.
struct TableSpec {
  std::string name;            // 1..64 bytes, not beginning with '_'
  std::uint32_t version = 1;   // version of the records' form
  MigrateRecord migrate = {};  // empty: no older version can be read
};

struct FileOptions {
  std::string path = {};
  std::string holder = "thornwick";  // name of the opening process, for the error of a second one
  std::size_t megabytes = 256;       // the largest size of the file, in MiB
  bool set_aside_damaged = true;  // rename a damaged file and create an empty one; false: damage is an error
  bool read_only = false;         // true: nothing is created, migrated or set aside
  int check_seconds = 60;         // a verification on opening that takes longer counts as damage
};

}  // namespace thornwick::store
