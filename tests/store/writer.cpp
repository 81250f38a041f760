// store::Writer: gathered changes, slow and full disks, and the records that survive a kill.
#include "store/writer.hpp"

#include <sys/mman.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <chrono>
#include <csignal>
#include <map>
#include <mutex>

#include "scratch.hpp"

using namespace thornwick::store;
using namespace std::chrono_literals;
using thornwick::testing::Scratch;

namespace {

using Records = std::map<std::string, std::string>;

Records records(const File& file) {
  Records records;
  file.each(0, [&](std::string_view key, std::string_view value) { records.emplace(key, value); });
  return records;
}

// A disk that hangs while a test holds the mutex.
struct HangingDisk {
  std::mutex hang;
  std::function<void()> before_write() {
    return [this] { const std::lock_guard waiting(hang); };
  }
};

// A change of the crash test by its number: the same in the child that writes and in the parent that checks.
Change change(std::uint64_t number) {
  const std::string key = "k" + std::to_string(number % 97);
  if (number % 10 == 9) return {0, key, std::nullopt};
  return {0, key, std::to_string(number)};
}

void replay(Records& records, std::uint64_t number) {
  const Change replayed = change(number);
  if (replayed.value) {
    records[replayed.key] = *replayed.value;
  } else {
    records.erase(replayed.key);
  }
}

// Memory that the parent and the child share.
struct Shared {
  std::atomic<std::uint64_t> accepted{0};
};

constexpr std::uint64_t kWindow = 300;

[[noreturn]] void write_for_ever(const std::string& path, Shared& shared) {
  File file({.path = path, .holder = "child", .megabytes = 16}, {{"t", 1}});
  Writer writer(file, {.max_undurable_changes = kWindow});
  for (std::uint64_t number = 1;; ++number) {
    const Change next = change(number);
    next.value ? writer.put(0, next.key, *next.value) : writer.erase(0, next.key);
    writer.put(0, "last", std::to_string(number));
    shared.accepted = number;
    // Waits while a third of the window is gathered, so that the disk keeps up.
    while (writer.metrics().waiting * 3 >= kWindow) {
      writer.hand_over();
      std::this_thread::yield();
    }
    if (number % 7 == 0) writer.hand_over();
  }
}

// Kills a writing child once that many of its changes are accepted, and checks that the file has the state
// after a prefix of them. Returns how many accepted changes the file lacks.
std::uint64_t lost_by_crash(std::uint64_t accepted_changes) {
  const Scratch scratch;
  auto* shared = static_cast<Shared*>(
      mmap(nullptr, sizeof(Shared), PROT_READ | PROT_WRITE, MAP_SHARED | MAP_ANONYMOUS, -1, 0));
  REQUIRE(shared != MAP_FAILED);
  new (shared) Shared;
  const pid_t child = fork();
  REQUIRE(child >= 0);
  if (child == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);  // the child ends with the test
    write_for_ever(scratch.path("s"), *shared);
  }
  while (shared->accepted < accepted_changes) std::this_thread::sleep_for(100us);
  kill(child, SIGKILL);
  waitpid(child, nullptr, 0);
  const std::uint64_t accepted = shared->accepted;
  munmap(shared, sizeof(Shared));

  const File file({.path = scratch.path("s"), .megabytes = 16}, {{"t", 1}});
  CHECK(file.set_aside().empty());
  Records found = records(file);
  Records expected;
  const std::uint64_t last = found.contains("last") ? std::stoull(found.at("last")) : 0;
  found.erase("last");
  CHECK(last <= accepted + 1);  // a change may be accepted before it is counted
  for (std::uint64_t i = 1; i <= last; ++i) replay(expected, i);
  if (found != expected) replay(expected, last + 1);  // a batch may end between a change and its "last"
  CHECK(found == expected);
  const std::uint64_t lost = accepted - std::min(accepted, last);
  CHECK(lost <= kWindow / 2 + 1);  // each number stands for two changes of the window
  return lost;
}

}  // namespace

TEST_CASE("a later change of a record replaces an earlier one that is not written yet") {
  const Scratch scratch;
  File file({.path = scratch.path("s")}, {{"t", 1}});
  Writer writer(file, {});
  for (int i = 0; i < 100; ++i) REQUIRE(writer.put(0, "a", std::to_string(i)));
  writer.put(0, "b", "1");
  writer.erase(0, "b");
  REQUIRE(writer.drain(20s));
  CHECK(records(file) == Records{{"a", "99"}});
  CHECK(writer.metrics().accepted == 102);
  CHECK(writer.metrics().replaced == 100);
  CHECK(writer.metrics().written == 2);
}

TEST_CASE("while the disk hangs, changes are gathered up to the bound and rejected at once beyond it") {
  const Scratch scratch;
  File file({.path = scratch.path("s")}, {{"t", 1}});
  HangingDisk disk;
  std::unique_lock hanging(disk.hang);
  Writer writer(
      file, {.max_undurable_changes = 30, .max_gathered_records = 100, .before_write = disk.before_write()});
  int accepted = 0;
  for (int i = 0; i < 1000; ++i) accepted += writer.put(0, "k" + std::to_string(i), "v") ? 1 : 0;
  CHECK(accepted >= 100);
  CHECK(accepted <= 3 * 100);  // one batch gathers, one waits, one is being written
  CHECK(writer.metrics().rejected == 1000u - static_cast<unsigned>(accepted));
  CHECK(writer.put(0, "k" + std::to_string(accepted - 1), "w"));  // a gathered change can still be replaced
  hanging.unlock();
  REQUIRE(writer.drain(20s));
  CHECK(records(file).size() == static_cast<std::size_t>(accepted));
  CHECK(writer.put(0, "room again", "v"));
}

TEST_CASE("a failed write is retried in order and counted") {
  const Scratch scratch;
  File file({.path = scratch.path("s")}, {{"t", 1}});
  std::atomic<int> failures{3};
  Writer writer(file, {.max_undurable_changes = 3, .initial_retry_delay = 1ms, .before_write = [&] {
                         if (failures.fetch_sub(1) > 0) throw StoreError(ErrorKind::full, "no space left");
                       }});
  for (int i = 0; i < 20; ++i) {
    writer.put(0, "a", std::to_string(i));
    writer.put(0, "b" + std::to_string(i), "");
  }
  REQUIRE(writer.drain(20s));
  CHECK(records(file).at("a") == "19");
  CHECK(records(file).size() == 21);
  CHECK(writer.metrics().failures == 3);
  CHECK_FALSE(writer.metrics().failing);
  CHECK(writer.metrics().last_error == "no space left");
}

TEST_CASE("a writer whose writes fail can be destroyed") {
  const Scratch scratch;
  File file({.path = scratch.path("s")}, {{"t", 1}});
  {
    Writer writer(
        file, {.max_retry_delay = 60s, .before_write = [] { throw StoreError(ErrorKind::full, "full"); }});
    writer.put(0, "a", "1");
    CHECK_FALSE(writer.drain(30ms));
    CHECK(writer.metrics().failing);
  }
  CHECK(records(file).empty());
}

// 60 points here; THORNWICK_CRASH_POINTS=1000 for a long run by hand.
TEST_CASE("after SIGKILL the file has a prefix of the accepted changes and lacks at most the window") {
  const char* setting = std::getenv("THORNWICK_CRASH_POINTS");
  const int points = setting != nullptr ? std::atoi(setting) : 60;
  boost::random::mt19937_64 random(77);
  boost::random::uniform_int_distribution<std::uint64_t> accepted_changes(1, 2500);
  std::uint64_t most_lost = 0;
  for (int i = 0; i < points; ++i) {
    most_lost = std::max(most_lost, lost_by_crash(accepted_changes(random)));
  }
  WARN(points << " kills, at most " << most_lost << " accepted changes lost");
}
