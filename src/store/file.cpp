#include "store/file.hpp"

#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdio>
#include <ctime>
#include <utility>

#include "store/checksum.hpp"
#include "store/compaction.hpp"
#include "store/environment.hpp"
#include "store/metadata.hpp"
#include "store/migration.hpp"
#include "store/verification.hpp"

namespace thornwick::store {
namespace {

constexpr std::size_t kMaxKeyBytes = 400;
constexpr std::size_t kMaxValueBytes = std::size_t{64} * 1024;

// The present time as in 20250131T235959Z.
std::string utc_timestamp() {
  const std::time_t now = std::time(nullptr);
  std::tm parts{};
  gmtime_r(&now, &parts);
  std::array<char, 32> text{};
  const std::size_t length = std::strftime(text.data(), text.size(), "%Y%m%dT%H%M%SZ", &parts);
  return {text.data(), length};
}

// A name for a damaged file that no other file has yet.
std::string unused_damaged_path(const std::string& path) {
  std::string candidate = path + ".damaged-" + utc_timestamp();
  for (int i = 1; access(candidate.c_str(), F_OK) == 0; ++i) {
    candidate = path + ".damaged-" + utc_timestamp() + "." + std::to_string(i);
  }
  return candidate;
}

bool is_valid(const Change& change) {
  const bool key_fits = !change.key.empty() && change.key.size() <= kMaxKeyBytes;
  return key_fits && (!change.value || change.value->size() <= kMaxValueBytes);
}

std::vector<TableSpec> checked(std::vector<TableSpec> tables) {
  if (tables.size() > kMaxTables) throw StoreError(ErrorKind::other, "too many tables");
  return tables;
}

}  // namespace

// The open LMDB file with its tables.
struct File::Database {
  Database(const FileOptions& options, const std::vector<TableSpec>& specs)
      : environment(options.path, options.megabytes,
                    options.read_only ? Access::read_only : Access::read_write),
        open(open_tables(environment, options, specs)) {}

  Environment environment;
  OpenTables open;
};

File::File(FileOptions options, std::vector<TableSpec> tables)
    : options_(std::move(options)),
      tables_(checked(std::move(tables))),
      lock_(options_.path, options_.holder) {
  verify_or_set_aside();
  database_ = std::make_unique<Database>(options_, tables_);
}

File::~File() = default;

// On return the path names a sound file, or none at all and one can be created there.
void File::verify_or_set_aside() {
  const std::string& path = options_.path;
  struct stat status {};
  if (stat(path.c_str(), &status) != 0) {
    if (errno != ENOENT || options_.read_only) throw_if_failed(errno, path);
    if (access(folder_of(path).c_str(), W_OK) != 0) throw_if_failed(errno, path);
    return;
  }
  if (!S_ISREG(status.st_mode)) throw StoreError(ErrorKind::other, path + ": not a file");
  if (access(path.c_str(), options_.read_only ? R_OK : R_OK | W_OK) != 0) throw_if_failed(errno, path);
  if (status.st_size == 0) return;  // created, and nothing was written yet
  const auto fault = verify_file_in_child(path, options_.check_seconds);
  if (!fault) return;
  if (*fault == ErrorKind::newer) {
    throw StoreError(*fault, path + ": written by a newer version; it is left as it is");
  }
  if (*fault != ErrorKind::damaged && *fault != ErrorKind::other) {
    throw StoreError(*fault, path + ": cannot be read");
  }
  set_aside_damaged();
}

void File::set_aside_damaged() {
  const std::string& path = options_.path;
  if (options_.read_only || !options_.set_aside_damaged) {
    throw StoreError(ErrorKind::damaged, path + ": damaged");
  }
  set_aside_ = unused_damaged_path(path);
  if (rename(path.c_str(), set_aside_.c_str()) != 0) {
    throw_if_failed(errno, path + ": cannot set it aside");
  }
}

void File::apply(const std::vector<Change>& changes) {
  Transaction transaction(database_->environment, Access::read_write);
  OpenTables& open = database_->open;
  for (const auto& change : changes) {
    const auto& name = tables_.at(change.table).name;
    const MDB_dbi table = open.tables.at(change.table);
    if (!is_valid(change)) {
      throw StoreError(ErrorKind::other, "table " + name + ": a key or value that is empty or too long");
    }
    if (change.value) {
      transaction.put(table, change.key, add_checksum(name, change.key, *change.value));
    } else {
      transaction.erase(table, change.key);
    }
  }
  write_metadata(transaction, open.metadata, kSerialKey, open.serial + 1);
  transaction.commit();
  ++open.serial;
}

void File::each(std::size_t table, const Visit& visit) const {
  const Transaction transaction(database_->environment, Access::read_only);
  const auto& name = tables_.at(table).name;
  transaction.for_each(database_->open.tables.at(table), [&](std::string_view key, std::string_view record) {
    visit(key, verify_checksum(name, key, record));
  });
}

void File::each_table(const VisitAll& visit, const Progress& progress) const {
  const Transaction transaction(database_->environment, Access::read_only);
  const auto names = table_names(transaction);
  ProgressReporter reporter(progress, count_records(transaction, names));
  for (const auto& name : names) {
    if (name == kMetadataTable) continue;
    const MDB_dbi table = transaction.existing_table(name.c_str());
    transaction.for_each(table, [&](std::string_view key, std::string_view record) {
      visit(name, key, verify_checksum(name, key, record));
      reporter.on_record();
    });
  }
}

Contents File::contents() const { return read_contents(database_->environment, {}); }

std::uint64_t File::migrated() const { return database_->open.migrated; }

void File::compact(const FileOptions& options) {
  FileOptions refusing_damage = options;
  refusing_damage.set_aside_damaged = false;
  const File file(refusing_damage, {});
  replace_with_compact_copy(file.database_->environment, options.path);
}

Contents File::check(const std::string& path, const Progress& progress) {
  return verify_file(path, progress);
}

}  // namespace thornwick::store
