#include "store/environment.hpp"

#include "store/error.hpp"

namespace thornwick::store {
namespace {

constexpr mdb_mode_t kFileMode = 0640;
constexpr unsigned kBytesPerMegabyteShift = 20;

// LMDB takes keys and values to write as non-const pointers and does not change them.
MDB_val to_lmdb(std::string_view bytes) { return {bytes.size(), const_cast<char*>(bytes.data())}; }

std::string_view from_lmdb(const MDB_val& value) {
  return {static_cast<const char*>(value.mv_data), value.mv_size};
}

}  // namespace

Environment::Environment(const std::string& path, std::size_t max_megabytes, Access access) {
  MDB_env* environment = nullptr;
  throw_if_failed(mdb_env_create(&environment), path);
  environment_.reset(environment);
  throw_if_failed(mdb_env_set_maxdbs(environment, kMaxTables + 1), path);  // one more for the metadata
  throw_if_failed(mdb_env_set_mapsize(environment, max_megabytes << kBytesPerMegabyteShift), path);
  const unsigned access_flag = access == Access::read_only ? MDB_RDONLY : 0;
  const unsigned flags = MDB_NOSUBDIR | MDB_NOLOCK | MDB_NOTLS | access_flag;
  throw_if_failed(mdb_env_open(environment, path.c_str(), flags, kFileMode), path);
}

MDB_envinfo Environment::info() const {
  MDB_envinfo info{};
  throw_if_failed(mdb_env_info(get(), &info), "cannot read");
  return info;
}

Transaction::Transaction(const Environment& environment, Access access) {
  MDB_txn* transaction = nullptr;
  const unsigned flags = access == Access::read_only ? MDB_RDONLY : 0;
  throw_if_failed(mdb_txn_begin(environment.get(), nullptr, flags, &transaction), "cannot begin");
  transaction_.reset(transaction);
}

void Transaction::commit() {
  // LMDB frees the transaction even if the commit fails.
  throw_if_failed(mdb_txn_commit(transaction_.release()), "cannot write");
}

std::optional<MDB_dbi> Transaction::open_table(const char* name, unsigned flags) const {
  MDB_dbi table = 0;
  const int code = mdb_dbi_open(transaction_.get(), name, flags, &table);
  if (code == MDB_NOTFOUND) return std::nullopt;
  throw_if_failed(code, std::string("cannot open table ") + (name == nullptr ? "(names)" : name));
  return table;
}

std::optional<std::string_view> Transaction::get(MDB_dbi table, std::string_view key) const {
  MDB_val lmdb_key = to_lmdb(key);
  MDB_val lmdb_value{};
  const int code = mdb_get(transaction_.get(), table, &lmdb_key, &lmdb_value);
  if (code == MDB_NOTFOUND) return std::nullopt;
  throw_if_failed(code, "cannot read");
  return from_lmdb(lmdb_value);
}

void Transaction::put(MDB_dbi table, std::string_view key, std::string_view value) const {
  MDB_val lmdb_key = to_lmdb(key);
  MDB_val lmdb_value = to_lmdb(value);
  throw_if_failed(mdb_put(transaction_.get(), table, &lmdb_key, &lmdb_value, 0), "cannot write");
}

void Transaction::erase(MDB_dbi table, std::string_view key) const {
  MDB_val lmdb_key = to_lmdb(key);
  const int code = mdb_del(transaction_.get(), table, &lmdb_key, nullptr);
  if (code != MDB_NOTFOUND) throw_if_failed(code, "cannot write");
}

MDB_stat Transaction::statistics(MDB_dbi table) const {
  MDB_stat statistics{};
  throw_if_failed(mdb_stat(transaction_.get(), table, &statistics), "cannot read");
  return statistics;
}

void Transaction::for_each(MDB_dbi table, const Visit& visit) const {
  MDB_cursor* cursor = nullptr;
  throw_if_failed(mdb_cursor_open(transaction_.get(), table, &cursor), "cannot read");
  const std::unique_ptr<MDB_cursor, void (*)(MDB_cursor*)> owner(cursor, mdb_cursor_close);
  MDB_val key{};
  MDB_val value{};
  int code = mdb_cursor_get(cursor, &key, &value, MDB_FIRST);
  while (code == 0) {
    visit(from_lmdb(key), from_lmdb(value));
    code = mdb_cursor_get(cursor, &key, &value, MDB_NEXT);
  }
  if (code != MDB_NOTFOUND) throw_if_failed(code, "cannot read");
}

}  // namespace thornwick::store
