// Reads every record of an LMDB file as it is stored, without any code of the program.
#pragma once

#include <lmdb.h>

#include <memory>
#include <string>
#include <vector>

#include "../store/scratch.hpp"
#include "committed.hpp"

namespace thornwick::testing {

inline std::string_view as_view(const MDB_val& value) {
  return {static_cast<const char*>(value.mv_data), value.mv_size};
}

// Calls `visit` with each key and value of a table, in order. The keys of the unnamed table (null) are the
// names of the others.
template <typename Visit>
void each_raw_record(MDB_txn* transaction, const char* table, Visit visit) {
  MDB_dbi handle = 0;
  REQUIRE(mdb_dbi_open(transaction, table, 0, &handle) == 0);
  MDB_cursor* cursor = nullptr;
  REQUIRE(mdb_cursor_open(transaction, handle, &cursor) == 0);
  MDB_val key{};
  MDB_val value{};
  while (mdb_cursor_get(cursor, &key, &value, MDB_NEXT) == 0) visit(as_view(key), as_view(value));
  mdb_cursor_close(cursor);
}

// A line "table NAME" for each table, followed by a line with key and value in hex for each of its records.
// Reads a copy, because LMDB keeps its lock beside the file.
inline std::vector<std::string> raw_records(const std::string& path) {
  const Scratch scratch;
  const std::string copy = scratch.path("copy");
  write_bytes(copy, read_bytes(path));
  MDB_env* created = nullptr;
  REQUIRE(mdb_env_create(&created) == 0);
  const std::unique_ptr<MDB_env, void (*)(MDB_env*)> environment(created, mdb_env_close);
  constexpr unsigned kMaxTables = 64;
  mdb_env_set_maxdbs(created, kMaxTables);
  REQUIRE(mdb_env_open(created, copy.c_str(), MDB_NOSUBDIR | MDB_RDONLY, 0600) == 0);
  MDB_txn* transaction = nullptr;
  REQUIRE(mdb_txn_begin(created, nullptr, MDB_RDONLY, &transaction) == 0);
  std::vector<std::string> tables;
  std::vector<std::string> lines;
  each_raw_record(transaction, nullptr,
                  [&](std::string_view key, std::string_view) { tables.emplace_back(key); });
  for (const auto& table : tables) {
    lines.push_back("table " + table);
    each_raw_record(transaction, table.c_str(), [&](std::string_view key, std::string_view value) {
      lines.push_back(to_hex(key) + " " + to_hex(value));
    });
  }
  mdb_txn_abort(transaction);
  return lines;
}

}  // namespace thornwick::testing
