// Benchmarks of the affinity tables against a naive map (std::unordered_map and std::list) in one run: the
// cost of a look-up and of an update, the longest single call, the memory of an entry, and the hit rates of
// the eviction policies.
#include <benchmark/benchmark.h>
#include <malloc.h>

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <chrono>
#include <limits>
#include <list>
#include <queue>
#include <unordered_map>

#include "affinity/affinity_table.hpp"

using namespace thornwick;
using namespace thornwick::affinity;

namespace {

// A simple map with exact LRU eviction, which grows and rehashes as the standard library does.
class StandardLibraryMap {
 public:
  explicit StandardLibraryMap(std::size_t capacity) : capacity_(capacity) {}
  Session* use(std::uint64_t key) {
    const auto found = map_.find(key);
    if (found == map_.end()) return nullptr;
    order_.splice(order_.end(), order_, found->second);
    return &found->second->second;
  }
  Session& put(std::uint64_t key) {
    if (Session* found = use(key)) return *found;
    if (order_.size() == capacity_) {
      map_.erase(order_.front().first);
      order_.pop_front();
    }
    order_.emplace_back(key, Session{});
    map_[key] = std::prev(order_.end());
    return order_.back().second;
  }

 private:
  std::size_t capacity_;
  std::list<std::pair<std::uint64_t, Session>> order_;
  std::unordered_map<std::uint64_t, std::list<std::pair<std::uint64_t, Session>>::iterator> map_;
};

class AffinityMap {
 public:
  explicit AffinityMap(std::size_t capacity) : map_(capacity, Eviction::segmented, 99) {}
  Session* use(std::uint64_t key) { return map_.use(key); }
  Session& put(std::uint64_t key) { return map_.put(key); }

 private:
  BoundedMap<Session> map_;
};

std::size_t heap_in_use() {
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

template <typename Map>
void fill_and_use(benchmark::State& state) {
  const auto entries = static_cast<std::uint64_t>(state.range(0));
  const std::size_t before = heap_in_use();
  auto map = std::make_unique<Map>(entries);
  for (std::uint64_t key = 0; key < entries; ++key) map->put(key * 0x9e3779b97f4a7c15ULL).cached_size = 1;
  state.counters["bytes_per_entry"] =
      static_cast<double>(heap_in_use() - before) / static_cast<double>(entries);
  boost::random::mt19937_64 random(1);
  boost::random::uniform_int_distribution<std::uint64_t> any(0, entries - 1);
  for (auto _ : state) benchmark::DoNotOptimize(map->use(any(random) * 0x9e3779b97f4a7c15ULL));
}

// Measures updates with new keys only, so that each update evicts an entry.
template <typename Map>
void churn(benchmark::State& state) {
  const auto entries = static_cast<std::uint64_t>(state.range(0));
  Map map(entries);
  std::uint64_t key = 0;
  for (; key < entries; ++key) map.put(key * 0x9e3779b97f4a7c15ULL);
  for (auto _ : state) benchmark::DoNotOptimize(&map.put(++key * 0x9e3779b97f4a7c15ULL));
}

// Measures the longest single call while a table gets twice as many keys as it has entries, including the
// pauses in which the table grows. The operating system sometimes preempts the benchmark, but a pause that
// the table causes recurs at the same call of the same sequence. So the sequence is run five times, and the
// shortest duration of each call counts.
template <typename Map>
void longest_pause(benchmark::State& state) {
  const auto entries = static_cast<std::uint64_t>(state.range(0));
  for (auto _ : state) {
    std::vector<float> shortest(2 * entries, std::numeric_limits<float>::max());
    double longest_of_all = 0;
    for (int round = 0; round < 5; ++round) {
      Map map(entries);
      for (std::uint64_t key = 0; key < 2 * entries; ++key) {
        const auto start = std::chrono::steady_clock::now();
        benchmark::DoNotOptimize(&map.put(key * 0x9e3779b97f4a7c15ULL));
        const std::chrono::duration<float, std::micro> took = std::chrono::steady_clock::now() - start;
        shortest[key] = std::min(shortest[key], took.count());
        longest_of_all = std::max<double>(longest_of_all, took.count());
      }
    }
    state.counters["longest_us"] = *std::max_element(shortest.begin(), shortest.end());
    state.counters["over_100us"] = static_cast<double>(
        std::count_if(shortest.begin(), shortest.end(), [](float us) { return us > 100; }));
    state.counters["longest_seen_once_us"] = longest_of_all;
  }
}

// Measures all calls of one request: finding the hint, the start of the answer, and its completion.
void whole_request(benchmark::State& state) {
  const auto sessions = static_cast<std::uint64_t>(state.range(0));
  const auto replicas = static_cast<ReplicaId>(state.range(1));
  AffinityTable affinity_table(
      Options{.table = {.entries = sessions * 17 / 15 + 16, .bytes = std::size_t{1} << 30}});
  std::vector<Endpoint> entries;
  for (ReplicaId id = 1; id <= replicas; ++id) entries.push_back({.id = id});
  Time now = 1'000'000'000;
  affinity_table.on_endpoints(EndpointUpdate::full, entries);
  boost::random::mt19937_64 random(1);
  boost::random::uniform_int_distribution<std::uint64_t> any(1, sessions);
  for (auto _ : state) {
    Request request;
    request.session = any(random);
    request.prefix = 1 + request.session % 200;
    request.prompt_tokens = 5000;
    request.prefix_tokens = 4000;
    request.max_tokens = 100;
    const CacheHint cache_hint = affinity_table.find_hint(now, request);
    const ReplicaId replica =
        cache_hint.has_replica ? cache_hint.replica : static_cast<ReplicaId>(1 + request.session % replicas);
    const auto observed = affinity_table.on_answer_started(now, request, replica);
    affinity_table.on_answer_complete(now += 100, request, replica, observed, observed.tokens, 50);
  }
}

// Measures which fraction of the look-ups a table finds that holds a tenth, a fifth or half of the open
// sessions. Sessions of several turns are mixed with sessions of a single turn.
void eviction(benchmark::State& state) {
  const auto kind = static_cast<Eviction>(state.range(0));
  const auto capacity = static_cast<std::size_t>(state.range(1));
  for (auto _ : state) {
    boost::random::mt19937_64 random(8);
    boost::random::exponential_distribution<> pause(1.0);
    BoundedMap<int> map(capacity, kind, 3);
    using Turn = std::pair<double, std::pair<std::uint64_t, int>>;  // time, key, remaining turns
    std::priority_queue<Turn, std::vector<Turn>, std::greater<>> due;
    std::uint64_t last_key = 0, look_ups = 0, found = 0;
    for (int i = 0; i < 10'000; ++i)
      due.push({pause(random) * 10, {++last_key, 1 + static_cast<int>(random() % 6)}});
    for (int i = 0; i < 400'000; ++i) {
      const auto [when, session] = due.top();
      due.pop();
      if (map.use(session.first) != nullptr) {
        ++found;
      } else {
        map.put(session.first);
      }
      ++look_ups;
      // A third of the sessions end after one turn. The others have two to six turns.
      if (session.second > 1) {
        due.push({when + 2 + pause(random) * 10, {session.first, session.second - 1}});
      } else {
        const int turns = random() % 3 == 0 ? 1 : 2 + static_cast<int>(random() % 5);
        due.push({when + pause(random) * 10, {++last_key, turns}});
      }
    }
    state.counters["found_share"] = static_cast<double>(found) / static_cast<double>(look_ups);
  }
}

}  // namespace

BENCHMARK(fill_and_use<AffinityMap>)->Name("look-up/ours")->Arg(10'000)->Arg(100'000)->Arg(1'000'000);
BENCHMARK(fill_and_use<StandardLibraryMap>)
    ->Name("look-up/unordered_map+list")
    ->Arg(10'000)
    ->Arg(100'000)
    ->Arg(1'000'000);
BENCHMARK(churn<AffinityMap>)->Name("update/ours")->Arg(10'000)->Arg(100'000)->Arg(1'000'000);
BENCHMARK(churn<StandardLibraryMap>)
    ->Name("update/unordered_map+list")
    ->Arg(10'000)
    ->Arg(100'000)
    ->Arg(1'000'000);
BENCHMARK(longest_pause<AffinityMap>)
    ->Name("pause/ours")
    ->Arg(1'000'000)
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);
BENCHMARK(longest_pause<StandardLibraryMap>)
    ->Name("pause/unordered_map+list")
    ->Arg(1'000'000)
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);
BENCHMARK(whole_request)
    ->Name("request")
    ->Args({10'000, 12})
    ->Args({100'000, 12})
    ->Args({1'000'000, 12})
    ->Args({100'000, 192})
    ->Args({100'000, 1000});
BENCHMARK(eviction)
    ->Name("eviction(0 lru, 1 segmented, 2 tinylfu)")
    ->ArgsProduct({{0, 1, 2}, {1000, 2000, 5000}})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);
