// Durable state in one file: named tables of records, written in batches that take effect whole or not at
// all. Built on LMDB. All calls are synchronous and may wait for the disk, so the event loop does not write
// while it serves; Writer (writer.hpp) writes in a thread.
//
// Each record carries a checksum (checksum.hpp), because LMDB trusts its file: flipped bytes there are
// returned as they are, or crash the process. On opening, the file is therefore first read whole in a child
// process (verification.hpp). A file that does not pass is renamed, and an empty one is begun. Damage in free
// pages is not detected.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "store/contents.hpp"
#include "store/error.hpp"
#include "store/file_lock.hpp"
#include "store/options.hpp"

namespace thornwick::store {

// A record to be written or erased.
struct Change {
  std::uint8_t table = 0;            // the index of its TableSpec
  std::string key;                   // 1..400 bytes
  std::optional<std::string> value;  // at most 64 KiB; nothing: the record is erased
};

// An open store file. Owns the lock on it. To be used by one thread at a time.
class File {
 public:
  // Opens the file or creates it. Throws StoreError, whose text names the path and, for `held`, the holder.
  File(FileOptions options, std::vector<TableSpec> tables);
  File(const File&) = delete;
  File& operator=(const File&) = delete;
  ~File();

  // Applies all of the changes in one transaction, which is durable on return, and raises Contents::serial by
  // one. Throws StoreError, and then nothing has changed.
  void apply(const std::vector<Change>& changes);

  // Calls `visit` with each record of one table in the order of the keys, in one consistent view. Throws
  // StoreError on damage.
  using Visit = std::function<void(std::string_view key, std::string_view value)>;
  void each(std::size_t table, const Visit& visit) const;

  // The same for every table, those without a spec included.
  using VisitAll = std::function<void(std::string_view table, std::string_view key, std::string_view value)>;
  void each_table(const VisitAll& visit, const Progress& progress = {}) const;

  // Reads and verifies every record. Throws StoreError on damage.
  Contents contents() const;
  // The path that a damaged file was renamed to on opening; empty if it was sound.
  const std::string& set_aside() const { return set_aside_; }
  // The number of records that were migrated on opening.
  std::uint64_t migrated() const;

  // Replaces the file by a copy without free pages. The file must not be open. Throws StoreError.
  static void compact(const FileOptions& options);
  // Verifies a file as on opening, but in this process, which damage may crash. Throws StoreError at the
  // first fault.
  static Contents check(const std::string& path, const Progress& progress);

 private:
  struct Database;

  void verify_or_set_aside();
  void set_aside_damaged();

  FileOptions options_;
  std::vector<TableSpec> tables_;
  FileLock lock_;  // released after the database is closed
  std::string set_aside_;
  std::unique_ptr<Database> database_;
};

}  // namespace thornwick::store
