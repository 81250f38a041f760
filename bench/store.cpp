// Benchmarks of the store: the duration of a start with a million entries, and the longest time for which the
// event loop blocks while the disk takes half a second for each write.
#include <benchmark/benchmark.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <filesystem>

#include "persistence/affinity_records.hpp"
#include "persistence/state_store.hpp"

using namespace thornwick;
using namespace std::chrono_literals;

namespace {

struct Folder {
  Folder() {
    std::string name = (std::filesystem::temp_directory_path() / "thornwick-bench-XXXXXX").string();
    if (mkdtemp(name.data()) == nullptr) throw std::runtime_error("cannot create the folder " + name);
    path = name;
  }
  ~Folder() {
    std::error_code ignored;
    std::filesystem::remove_all(path, ignored);
  }
  std::filesystem::path path;
};

affinity::Session session_of(std::uint64_t i) {
  affinity::Session session;
  session.prefix = i % 200 + 1;
  session.cached_size = 5000;
  session.copies.copy_for(0) = {5000, static_cast<std::uint32_t>(i / 64), 1'000'000, 0, 0};
  return session;
}

double milliseconds(std::chrono::steady_clock::duration time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

void start_with(benchmark::State& state) {
  const auto entries = static_cast<std::uint64_t>(state.range(0));
  const Folder folder;
  const store::FileOptions options{.path = (folder.path / "s").string(), .megabytes = 1024};
  {
    store::File file(options, persistence::state_tables());
    affinity::Replica replica;
    replica.id = 1, replica.in_use = true;
    std::vector<store::Change> changes{
        {persistence::kReplicaTable, persistence::encode_key(0), persistence::encode(replica, "s-01")}};
    for (std::uint64_t i = 0; i < entries; ++i) {
      changes.push_back({persistence::kSessionTable, persistence::encode_key(i * 0x9e3779b97f4a7c15ULL),
                         persistence::encode(session_of(i))});
      if (changes.size() < 100'000) continue;
      file.apply(changes);
      changes.clear();
    }
    file.apply(changes);
  }
  state.counters["file_bytes_per_entry"] =
      static_cast<double>(std::filesystem::file_size(folder.path / "s")) / static_cast<double>(entries);
  for (auto _ : state) {
    const auto begin = std::chrono::steady_clock::now();
    persistence::StateStore state_store(options, {}, [](ReplicaId) { return std::string(); });
    const auto opened = std::chrono::steady_clock::now();
    affinity::AffinityTable affinity_table(
        {.table = {.entries = entries * 17 / 15 + 16, .bytes = std::size_t{1} << 30}});
    const auto loaded = state_store.load(affinity_table, 1'000'000'000'000);
    state.counters["check_ms"] = milliseconds(opened - begin);
    state.counters["load_ms"] = milliseconds(std::chrono::steady_clock::now() - opened);
    if (loaded.sessions != entries) state.SkipWithError("not all were loaded");
  }
}

// Measures the stalls of a loop that stores a change every 100 us for 5 s, with a disk that takes 500 ms for
// each write.
void slow_disk(benchmark::State& state) {
  const Folder folder;
  store::File file({.path = (folder.path / "s").string(), .megabytes = 256}, persistence::state_tables());
  store::Writer writer(file, {.before_write = [] { std::this_thread::sleep_for(500ms); }});
  for (auto _ : state) {
    std::vector<double> times;
    const auto until = std::chrono::steady_clock::now() + 5s;
    for (std::uint64_t i = 0; std::chrono::steady_clock::now() < until; ++i) {
      const auto begin = std::chrono::steady_clock::now();
      writer.put(persistence::kSessionTable, persistence::encode_key(i), persistence::encode(session_of(i)));
      if (i % 5000 == 4999) writer.hand_over();
      times.push_back(milliseconds(std::chrono::steady_clock::now() - begin));
      std::this_thread::sleep_for(50us);
    }
    std::sort(times.begin(), times.end());
    state.counters["longest_stall_ms"] = times.back();
    state.counters["p9999_ms"] = times[times.size() - 1 - times.size() / 10'000];
    state.counters["changes"] = static_cast<double>(times.size());
    state.counters["refused"] = static_cast<double>(writer.metrics().rejected);
  }
}

}  // namespace

BENCHMARK(start_with)
    ->Name("start/entries")
    ->Arg(100'000)
    ->Arg(1'000'000)
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);
BENCHMARK(slow_disk)->Name("loop/disk takes 500 ms a write")->Iterations(1)->Unit(benchmark::kMillisecond);
