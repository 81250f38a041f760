// LMDB's environment and transactions as owning types whose failures are StoreErrors. Used only inside this
// module.
#pragma once

#include <lmdb.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace thornwick::store {

enum class Access { read_only, read_write };

inline constexpr unsigned kMaxTables = 64;

// An open LMDB file. LMDB's own lock file is not used: FileLock already keeps other processes out.
class Environment {
 public:
  // `max_megabytes` bounds the file's size; a larger existing file keeps its own. Throws StoreError.
  Environment(const std::string& path, std::size_t max_megabytes, Access access);

  MDB_env* get() const { return environment_.get(); }
  MDB_envinfo info() const;

 private:
  struct Closer {
    void operator()(MDB_env* environment) const { mdb_env_close(environment); }
  };
  std::unique_ptr<MDB_env, Closer> environment_;
};

// A transaction, aborted unless it is committed. Views that it returns hold until its end or its next write.
// Every member function throws StoreError on failure.
class Transaction {
 public:
  Transaction(const Environment& environment, Access access);

  // Also needed for read-only transactions whose table handles are to outlive them.
  void commit();

  // A table's handle; nothing if there is no such table and `flags` lack MDB_CREATE. A null name is the table
  // of the tables' names.
  std::optional<MDB_dbi> open_table(const char* name, unsigned flags = 0) const;
  // The same for a table that must exist. If it does not, the file is damaged; throws
  // std::bad_optional_access.
  MDB_dbi existing_table(const char* name) const { return open_table(name).value(); }

  std::optional<std::string_view> get(MDB_dbi table, std::string_view key) const;
  void put(MDB_dbi table, std::string_view key, std::string_view value) const;
  // Erases the record with that key; does nothing if the table has none.
  void erase(MDB_dbi table, std::string_view key) const;
  MDB_stat statistics(MDB_dbi table) const;

  // Calls `visit` with each key and value, in the order of the keys. The table must not change meanwhile.
  using Visit = std::function<void(std::string_view key, std::string_view value)>;
  void for_each(MDB_dbi table, const Visit& visit) const;

 private:
  struct Aborter {
    void operator()(MDB_txn* transaction) const { mdb_txn_abort(transaction); }
  };
  std::unique_ptr<MDB_txn, Aborter> transaction_;
};

}  // namespace thornwick::store
