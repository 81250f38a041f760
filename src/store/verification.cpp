#include "store/verification.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstring>
#include <vector>

#include "store/checksum.hpp"
#include "store/metadata.hpp"

namespace thornwick::store {
namespace {

constexpr std::uint64_t kPageBytes = 4096;
constexpr std::uint64_t kHeaderPages = 2;  // LMDB's two meta pages at the beginning of the file
constexpr MDB_dbi kFreePagesTable = 0;     // LMDB's fixed handle of the table of free pages
constexpr int kFaultExitStatus = 100;      // the child process exits with this plus the ErrorKind

std::uint64_t page_count(const MDB_stat& statistics) {
  return statistics.ms_branch_pages + statistics.ms_leaf_pages + statistics.ms_overflow_pages;
}

// The set of pages that LMDB's free lists contain.
class FreePages {
 public:
  explicit FreePages(std::uint64_t file_pages) : is_free_(file_pages) {}

  // A list is an array of size_t: the number of pages, then the number of each page.
  void add_list(std::string_view list) {
    const std::size_t entries = list.size() / sizeof(std::size_t);
    if (entries == 0) return;
    const std::size_t listed = entry_at(list, 0);
    if (listed > entries - 1) throw StoreError(ErrorKind::damaged, "a list of free pages is cut");
    for (std::size_t i = 1; i <= listed; ++i) add(entry_at(list, i));
  }

  std::uint64_t count() const { return count_; }

 private:
  static std::size_t entry_at(std::string_view list, std::size_t index) {
    std::size_t entry = 0;
    std::memcpy(&entry, list.data() + index * sizeof entry, sizeof entry);
    return entry;
  }

  void add(std::size_t page) {
    if (page < kHeaderPages || page >= is_free_.size() || is_free_[page]) {
      throw StoreError(ErrorKind::damaged, "a free page that is none");
    }
    is_free_[page] = true;
    ++count_;
  }

  std::vector<bool> is_free_;
  std::uint64_t count_ = 0;
};

// Free pages must be pages of the file, each listed once, and together with the used pages make up the whole
// file. A flipped number in these lists would otherwise let a later write overwrite live records.
void verify_pages(const Environment& environment, const Transaction& transaction, std::uint64_t table_pages) {
  const std::uint64_t file_pages = environment.info().me_last_pgno + 1;
  FreePages free_pages(file_pages);
  transaction.for_each(kFreePagesTable,
                       [&](std::string_view, std::string_view list) { free_pages.add_list(list); });
  const std::uint64_t used_pages = table_pages + page_count(transaction.statistics(kFreePagesTable));
  if (used_pages + free_pages.count() + kHeaderPages != file_pages) {
    throw StoreError(ErrorKind::damaged, "pages are missing or counted twice");
  }
}

void verify_format(const Transaction& transaction, MDB_dbi metadata) {
  const auto format = read_metadata(transaction, metadata, kFormatKey);
  if (!format) throw StoreError(ErrorKind::damaged, "no format");
  if (*format > kFormatVersion) {
    throw StoreError(ErrorKind::newer, "format " + std::to_string(*format) + " is newer");
  }
}

// Reads one table whole. Throws StoreError unless the keys are in order and as many as LMDB counts.
Contents::Table read_table(const Transaction& transaction, const std::string& name, MDB_dbi table,
                           ProgressReporter& progress) {
  Contents::Table summary{.name = name};
  std::string previous_key;
  transaction.for_each(table, [&](std::string_view key, std::string_view record) {
    if (summary.records > 0 && previous_key >= key) {
      throw StoreError(ErrorKind::damaged, "keys out of order");
    }
    previous_key = key;
    summary.bytes += key.size() + verify_checksum(name, key, record).size();
    ++summary.records;
    progress.on_record();
  });
  if (summary.records != transaction.statistics(table).ms_entries) {
    throw StoreError(ErrorKind::damaged, "records are missing");
  }
  return summary;
}

// Reads "_meta" and all other tables. Returns the number of their pages.
std::uint64_t read_tables(const Transaction& transaction, MDB_dbi metadata,
                          const std::vector<std::string>& names, ProgressReporter& progress,
                          Contents& contents) {
  std::uint64_t pages = 0;
  for (const auto& name : names) {
    const MDB_dbi table = transaction.existing_table(name.c_str());
    pages += page_count(transaction.statistics(table));
    const bool is_metadata = name == kMetadataTable;
    std::uint64_t version = 0;
    if (!is_metadata) version = read_metadata(transaction, metadata, version_key(name)).value_or(0);
    Contents::Table summary = read_table(transaction, name, table, progress);
    summary.version = static_cast<std::uint32_t>(version);
    if (!is_metadata) contents.tables.push_back(std::move(summary));
  }
  return pages;
}

void check_readable(const std::string& path) {
  struct stat status {};
  if (stat(path.c_str(), &status) != 0) throw_if_failed(errno, path);
  if (!S_ISREG(status.st_mode)) throw StoreError(ErrorKind::other, path + ": not a file");
  if (access(path.c_str(), R_OK) != 0) throw_if_failed(errno, path);
}

// Restores the default actions of signals, so that a crash ends the child whatever handlers this process has,
// and discards LMDB's messages.
void prepare_child(int timeout_seconds) {
  for (const int signal : {SIGSEGV, SIGBUS, SIGABRT, SIGALRM, SIGFPE, SIGILL}) {
    std::signal(signal, SIG_DFL);
  }
  const int null_device = open("/dev/null", O_WRONLY | O_CLOEXEC);
  if (null_device >= 0) dup2(null_device, STDERR_FILENO);
  alarm(static_cast<unsigned>(timeout_seconds));
}

[[noreturn]] void run_child(const std::string& path, int timeout_seconds) {
  prepare_child(timeout_seconds);
  ErrorKind kind = ErrorKind::damaged;
  try {
    verify_file(path, {});
    _exit(0);
  } catch (const StoreError& error) {
    kind = error.kind;
  } catch (...) {  // LMDB returned something that cannot be: damage
    kind = ErrorKind::damaged;
  }
  _exit(kFaultExitStatus + static_cast<int>(kind));
}

}  // namespace

Contents read_contents(const Environment& environment, const Progress& progress) {
  Contents contents;
  const Transaction transaction(environment, Access::read_only);
  const auto names = table_names(transaction);
  ProgressReporter reporter(progress, count_records(transaction, names));
  std::uint64_t used_pages = page_count(transaction.statistics(transaction.existing_table(nullptr)));
  const auto metadata = transaction.open_table(kMetadataTable);
  if (!metadata && !names.empty()) {
    throw StoreError(ErrorKind::damaged, "no " + std::string(kMetadataTable) + " table");
  }
  if (metadata) {
    verify_format(transaction, *metadata);
    contents.serial = read_metadata(transaction, *metadata, kSerialKey).value_or(0);
    used_pages += read_tables(transaction, *metadata, names, reporter, contents);
  }
  verify_pages(environment, transaction, used_pages);
  const MDB_envinfo info = environment.info();
  contents.max_bytes = info.me_mapsize;
  contents.used_bytes = used_pages * kPageBytes;
  contents.file_bytes = (info.me_last_pgno + 1) * kPageBytes;
  return contents;
}

Contents verify_file(const std::string& path, const Progress& progress) {
  constexpr std::size_t kMinMegabytes = 1;  // LMDB maps the file's own size where that is larger
  check_readable(path);
  const Environment environment(path, kMinMegabytes, Access::read_only);
  return read_contents(environment, progress);
}

std::optional<ErrorKind> verify_file_in_child(const std::string& path, int timeout_seconds) {
  const pid_t child = fork();
  if (child < 0) throw_if_failed(errno, path + ": cannot start the check");
  if (child == 0) run_child(path, timeout_seconds);
  int status = 0;
  while (waitpid(child, &status, 0) < 0) {
    if (errno != EINTR) throw_if_failed(errno, path + ": the check got lost");
  }
  if (!WIFEXITED(status)) return ErrorKind::damaged;
  const int exit_status = WEXITSTATUS(status);
  if (exit_status == 0) return std::nullopt;
  if (exit_status < kFaultExitStatus) return ErrorKind::damaged;
  return static_cast<ErrorKind>(exit_status - kFaultExitStatus);
}

}  // namespace thornwick::store
