// store::File: records survive closing, and damage, full disks and other versions are errors of the right
// kind.
#include "store/file.hpp"

#include <sys/resource.h>
#include <sys/wait.h>

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <csignal>
#include <map>

#include "scratch.hpp"

using namespace thornwick::store;
using thornwick::testing::read_bytes;
using thornwick::testing::Scratch;
using thornwick::testing::write_bytes;

namespace {

const std::vector<TableSpec> kTables{{"first", 1}, {"second", 1}};
using Records = std::map<std::string, std::string>;

Records records(const File& file, std::size_t table) {
  Records records;
  file.each(table, [&](std::string_view key, std::string_view value) { records.emplace(key, value); });
  return records;
}

// Some hundred records over many pages, in several batches, so that there are free pages too.
void fill(const std::string& path) {
  File file({.path = path, .holder = "test", .megabytes = 8}, kTables);
  for (int batch = 0; batch < 6; ++batch) {
    std::vector<Change> changes;
    for (int i = 0; i < 200; ++i) {
      changes.push_back({static_cast<std::uint8_t>(i % 2), "key" + std::to_string((batch * 37 + i) % 300),
                         std::string(60, static_cast<char>('a' + batch))});
    }
    file.apply(changes);
  }
}

// The kind of the StoreError that the work throws.
ErrorKind thrown_kind(const std::function<void()>& work) {
  try {
    work();
  } catch (const StoreError& error) {
    return error.kind;
  }
  FAIL("nothing was thrown");
  return ErrorKind::other;
}

// Runs the work in a child process and returns its result, or 1000 and the number of the signal that ended
// it.
int in_child(const std::function<int()>& work) {
  const pid_t child = fork();
  REQUIRE(child >= 0);
  if (child == 0) _exit(work());
  int status = -1;
  waitpid(child, &status, 0);
  return WIFEXITED(status) ? WEXITSTATUS(status) : 1000 + WTERMSIG(status);
}

}  // namespace

TEST_CASE("records survive closing the file, and a batch is applied whole or not at all") {
  const Scratch scratch;
  const FileOptions options{.path = scratch.path("s"), .holder = "test", .megabytes = 4};
  {
    File file(options, kTables);
    file.apply({{0, "a", "1"}, {1, "a", "2"}, {0, "b", ""}});
    file.apply({{0, "a", std::nullopt}, {0, "c", "3"}, {0, "missing", std::nullopt}});
    CHECK(thrown_kind([&] { file.apply({{0, "d", "4"}, {0, "", "5"}}); }) == ErrorKind::other);
    CHECK(thrown_kind([&] { file.apply({{0, "d", std::string(70'000, 'x')}}); }) == ErrorKind::other);
  }
  const File file(options, kTables);
  CHECK(records(file, 0) == Records{{"b", ""}, {"c", "3"}});
  CHECK(records(file, 1) == Records{{"a", "2"}});
  CHECK(file.contents().serial == 2);
  CHECK(file.set_aside().empty());
}

TEST_CASE("a second process cannot open the file, and the error names the holder") {
  const Scratch scratch;
  const FileOptions options{.path = scratch.path("s"), .holder = "router n3"};
  const File file(options, kTables);
  try {
    const File second(options, kTables);
    FAIL("the file was opened twice");
  } catch (const StoreError& error) {
    CHECK(error.kind == ErrorKind::held);
    CHECK(std::string(error.what()).find("held by router n3 (process " + std::to_string(getpid())) !=
          std::string::npos);
  }
}

TEST_CASE("an unreadable file and a missing folder are errors of their kinds") {
  const Scratch scratch;
  CHECK(thrown_kind([&] { File({.path = scratch.path("no/folder/s")}, kTables); }) == ErrorKind::other);
  std::filesystem::create_directory(scratch.path("s"));
  CHECK(thrown_kind([&] { File({.path = scratch.path("s")}, kTables); }) != ErrorKind::damaged);
  fill(scratch.path("t"));
  const int status = in_child([&] {
    // The superuser may read anything, so a test run by it drops its rights.
    if (geteuid() == 0 && (setgid(65534) != 0 || setuid(65534) != 0)) return 77;
    try {
      const File file({.path = scratch.path("t")}, kTables);
    } catch (const StoreError& error) {
      return error.kind == ErrorKind::permission ? 0 : 1;
    }
    return 2;
  });
  CHECK(status == 0);
}

TEST_CASE(
    "a truncated file is sound, or set aside and replaced by an empty one, and it never crashes the "
    "process") {
  const Scratch scratch;
  fill(scratch.path("whole"));
  const std::string whole = read_bytes(scratch.path("whole"));
  int set_aside = 0;
  for (std::size_t cut = 0; cut < whole.size(); cut += 1 + whole.size() / 23) {
    const std::string path = scratch.path("cut" + std::to_string(cut));
    write_bytes(path, whole.substr(0, cut));
    File file({.path = path, .megabytes = 8}, kTables);
    if (!file.set_aside().empty()) {
      ++set_aside;
      CHECK(read_bytes(file.set_aside()) == whole.substr(0, cut));
    }
    if (!file.set_aside().empty() || cut == 0) CHECK(records(file, 0).empty());
    file.apply({{0, "new", "record"}});
    CHECK(records(file, 0).at("new") == "record");
  }
  CHECK(set_aside >= 15);
}

TEST_CASE("a file with flipped bits is set aside, or the flips are where nothing is read") {
  const Scratch scratch;
  fill(scratch.path("whole"));
  const std::string whole = read_bytes(scratch.path("whole"));
  Records first;
  Records second;
  {
    const File file({.path = scratch.path("whole"), .megabytes = 8}, kTables);
    first = records(file, 0);
    second = records(file, 1);
  }
  boost::random::mt19937_64 random(5);
  int set_aside = 0;
  for (int trial = 0; trial < 80; ++trial) {
    std::string bytes = whole;
    for (int flips = trial % 4; flips >= 0; --flips) {
      const auto position = boost::random::uniform_int_distribution<std::size_t>(0, bytes.size() - 1)(random);
      bytes[position] = static_cast<char>(bytes[position] ^ (1 << (random() % 8)));
    }
    const std::string path = scratch.path("flip" + std::to_string(trial));
    write_bytes(path, bytes);
    File file({.path = path, .megabytes = 8}, kTables);
    if (file.set_aside().empty()) {
      CHECK(records(file, 0) == first);
      CHECK(records(file, 1) == second);
    } else {
      ++set_aside;
      CHECK(records(file, 0).empty());
    }
    file.apply({{0, "new", "record"}});
  }
  CHECK(set_aside >= 30);
}

TEST_CASE("a file that is no store is set aside under an unused name, unless damage is to be an error") {
  const Scratch scratch;
  write_bytes(scratch.path("s"), std::string(20'000, 'x'));
  {
    const File file({.path = scratch.path("s")}, kTables);
    CHECK(read_bytes(file.set_aside()) == std::string(20'000, 'x'));
  }
  write_bytes(scratch.path("s"), "once more");
  const File file({.path = scratch.path("s")}, kTables);
  CHECK(scratch.count("s.damaged-") == 2);
  write_bytes(scratch.path("t"), "for a tool");
  CHECK(thrown_kind([&] { File({.path = scratch.path("t"), .set_aside_damaged = false}, kTables); }) ==
        ErrorKind::damaged);
  CHECK(read_bytes(scratch.path("t")) == "for a tool");
}

TEST_CASE(
    "records of an older version are migrated once, and those of a newer one are an error and stay "
    "unchanged") {
  const Scratch scratch;
  const FileOptions options{.path = scratch.path("s")};
  { File(options, {{"t", 1}}).apply({{0, "a", "1"}, {0, "b", "2"}, {0, "c", "3"}}); }
  const auto migrate = [](std::uint32_t from, std::string_view key, std::string_view value) {
    CHECK(from == 1);
    return key == "b" ? std::nullopt : std::optional("v2 " + std::string(value));
  };
  for (int opening = 0; opening < 2; ++opening) {
    const File file(options, {{"t", 2, migrate}});
    CHECK(records(file, 0) == Records{{"a", "v2 1"}, {"c", "v2 3"}});
    CHECK(file.migrated() == (opening == 0 ? 3u : 0u));
  }
  const std::string before = read_bytes(options.path);
  CHECK(thrown_kind([&] { File(options, {{"t", 1}}); }) == ErrorKind::newer);
  CHECK(read_bytes(options.path) == before);
  CHECK(thrown_kind([&] { File(options, {{"t", 3}}); }) == ErrorKind::other);
  const File file(options, {{"t", 2, migrate}});
  CHECK(records(file, 0).size() == 2);
}

TEST_CASE("a full file rejects a whole batch, stays readable, and accepts smaller batches") {
  const Scratch scratch;
  File file({.path = scratch.path("s"), .megabytes = 1}, kTables);
  file.apply({{0, "small", "kept"}});
  std::vector<Change> large;
  for (int i = 0; i < 100; ++i) large.push_back({0, "large" + std::to_string(i), std::string(30'000, 'x')});
  CHECK(thrown_kind([&] { file.apply(large); }) == ErrorKind::full);
  CHECK(records(file, 0) == Records{{"small", "kept"}});
  file.apply({{0, "again", "kept"}});
  CHECK(records(file, 0).size() == 2);
}

// A limit on the size of files makes a write fail as a full disk does.
TEST_CASE("a write to a full disk is an error, and the earlier records stay") {
  const Scratch scratch;
  const int status = in_child([&] {
    File file({.path = scratch.path("s"), .megabytes = 64}, kTables);
    file.apply({{0, "small", "kept"}});
    std::signal(SIGXFSZ, SIG_IGN);
    const rlimit limit{128 * 1024, 128 * 1024};
    if (setrlimit(RLIMIT_FSIZE, &limit) != 0) return 77;
    std::vector<Change> large;
    for (int i = 0; i < 50; ++i) large.push_back({0, "large" + std::to_string(i), std::string(30'000, 'x')});
    try {
      file.apply(large);
      return 2;
    } catch (const StoreError& error) {
      if (error.kind != ErrorKind::full && error.kind != ErrorKind::other) return 3;
    }
    return records(file, 0) == Records{{"small", "kept"}} ? 0 : 4;
  });
  CHECK(status == 0);
  const File file({.path = scratch.path("s"), .megabytes = 64}, kTables);
  CHECK(file.set_aside().empty());
  CHECK(records(file, 0) == Records{{"small", "kept"}});
}

TEST_CASE("compaction keeps every record and makes the file smaller") {
  const Scratch scratch;
  const FileOptions options{.path = scratch.path("s"), .megabytes = 16};
  {
    File file(options, kTables);
    std::vector<Change> added;
    std::vector<Change> erased;
    for (int i = 0; i < 5000; ++i) added.push_back({0, "key" + std::to_string(i), std::string(200, 'x')});
    for (int i = 0; i < 4900; ++i) erased.push_back({0, "key" + std::to_string(i), std::nullopt});
    file.apply(added);
    file.apply(erased);
  }
  const auto before = std::filesystem::file_size(options.path);
  File::compact(options);
  CHECK(std::filesystem::file_size(options.path) < before / 4);
  const File file(options, kTables);
  CHECK(file.set_aside().empty());
  CHECK(records(file, 0).size() == 100);
}
