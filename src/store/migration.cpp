#include "store/migration.hpp"

#include <map>

#include "store/checksum.hpp"
#include "store/error.hpp"
#include "store/metadata.hpp"

namespace thornwick::store {
namespace {

class TableOpener {
 public:
  TableOpener(const Transaction& transaction, const FileOptions& options)
      : transaction_(transaction),
        options_(options),
        flags_(options.read_only ? 0U : static_cast<unsigned>(MDB_CREATE)) {}

  OpenTables open(const std::vector<TableSpec>& specs) {
    open_metadata();
    for (const auto& spec : specs) open_table(spec);
    return std::move(opened_);
  }

 private:
  [[noreturn]] void fail(ErrorKind kind, const std::string& message) const {
    throw StoreError(kind, options_.path + ": " + message);
  }

  void open_metadata() {
    const auto metadata = transaction_.open_table(kMetadataTable, flags_);
    if (!metadata) fail(ErrorKind::other, "empty");
    opened_.metadata = *metadata;
    opened_.serial = read_metadata(transaction_, *metadata, kSerialKey).value_or(0);
    if (read_metadata(transaction_, *metadata, kFormatKey)) return;
    if (options_.read_only) fail(ErrorKind::other, "empty");
    write_metadata(transaction_, *metadata, kFormatKey, kFormatVersion);
  }

  void open_table(const TableSpec& spec) {
    const auto table = transaction_.open_table(spec.name.c_str(), flags_);
    if (!table) fail(ErrorKind::other, "no table " + spec.name);
    opened_.tables.push_back(*table);
    const std::string key = version_key(spec.name);
    const auto version = read_metadata(transaction_, opened_.metadata, key);
    if (version == spec.version) return;
    if (version) migrate_table(spec, *table, *version);
    write_metadata(transaction_, opened_.metadata, key, spec.version);
  }

  void migrate_table(const TableSpec& spec, MDB_dbi table, std::uint64_t version) {
    const std::string found = "table " + spec.name + " has version " + std::to_string(version);
    if (version > spec.version) {
      fail(ErrorKind::newer, found + ", newer than " + std::to_string(spec.version));
    }
    if (!spec.migrate || options_.read_only) fail(ErrorKind::other, found + ", which is not known any more");
    // Collected first: a table must not change while it is read.
    std::map<std::string, std::optional<std::string>> records;
    transaction_.for_each(table, [&](std::string_view key, std::string_view record) {
      const std::string_view value = verify_checksum(spec.name, key, record);
      records[std::string(key)] = spec.migrate(static_cast<std::uint32_t>(version), key, value);
    });
    for (const auto& [key, value] : records) {
      if (value) {
        transaction_.put(table, key, add_checksum(spec.name, key, *value));
      } else {
        transaction_.erase(table, key);
      }
    }
    opened_.migrated += records.size();
  }

  const Transaction& transaction_;
  const FileOptions& options_;
  const unsigned flags_;
  OpenTables opened_;
};

}  // namespace

OpenTables open_tables(const Environment& environment, const FileOptions& options,
                       const std::vector<TableSpec>& specs) {
  Transaction transaction(environment, options.read_only ? Access::read_only : Access::read_write);
  OpenTables opened = TableOpener(transaction, options).open(specs);
  transaction.commit();  // a read-only one too: the handles that it opened are kept only then
  return opened;
}

}  // namespace thornwick::store
