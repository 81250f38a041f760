// Compares the bounded map, the entry table and its copies with simple models.
#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <list>
#include <map>

#include "affinity/entry_table.hpp"

using namespace thornwick::affinity;

namespace {

enum class Operation { put, use, erase, sweep_odd_values };

struct Step {
  Operation operation;
  std::uint64_t key;
};

rc::Gen<std::vector<Step>> steps() {
  return rc::gen::container<std::vector<Step>>(
      rc::gen::construct<Step>(rc::gen::weightedElement<Operation>({{6, Operation::put},
                                                                    {4, Operation::use},
                                                                    {1, Operation::erase},
                                                                    {1, Operation::sweep_odd_values}}),
                               rc::gen::inRange<std::uint64_t>(0, 40)));
}

// An LRU map as a list with the most recently used entry at the back.
struct ListLru {
  struct Entry {
    std::uint64_t key;
    int value;
  };
  std::size_t capacity;
  std::list<Entry> entries;

  auto find(std::uint64_t key) {
    return std::find_if(entries.begin(), entries.end(), [&](const Entry& entry) { return entry.key == key; });
  }
  bool use(std::uint64_t key) {
    const auto found = find(key);
    if (found == entries.end()) return false;
    entries.splice(entries.end(), entries, found);
    return true;
  }
  void put(std::uint64_t key, int value) {
    if (use(key)) {
      entries.back().value = value;
      return;
    }
    if (entries.size() == capacity) entries.pop_front();
    entries.push_back({key, value});
  }
};

bool is_odd(int value) { return value % 2 == 1; }

// Makes a plain value of the result, which Catch2's macros can take apart.
bool holds(bool result) { return result; }

}  // namespace

TEST_CASE("the LRU map behaves as a list ordered by use, for any sequence of operations") {
  CHECK(holds(rc::check([] {
    const auto capacity = *rc::gen::inRange<std::size_t>(1, 12);
    BoundedMap<int> map(capacity, Eviction::lru, 7);
    ListLru model{capacity, {}};
    const std::size_t bytes = map.bytes();
    int value = 0;
    for (const auto& [operation, key] : *steps()) {
      ++value;
      switch (operation) {
        case Operation::put:
          map.put(key) = value;
          model.put(key, value);
          break;
        case Operation::use: RC_ASSERT((map.use(key) != nullptr) == model.use(key)); break;
        case Operation::erase:
          RC_ASSERT(map.erase(key) == (model.find(key) != model.entries.end()));
          model.entries.remove_if([&](const auto& entry) { return entry.key == key; });
          break;
        case Operation::sweep_odd_values:
          map.sweep(capacity, [](std::uint64_t, int swept) { return is_odd(swept); });
          model.entries.remove_if([](const auto& entry) { return is_odd(entry.value); });
          break;
      }
      RC_ASSERT(map.size() == model.entries.size());
      RC_ASSERT(map.size() <= capacity);
      RC_ASSERT(map.bytes() == bytes);
      for (const auto& entry : model.entries) {
        RC_ASSERT(map.find(entry.key) != nullptr && *map.find(entry.key) == entry.value);
      }
    }
  })));
}

TEST_CASE(
    "with each eviction policy an entry stays until it is erased, swept or evicted, and the capacity holds") {
  CHECK(holds(rc::check([] {
    const auto eviction = *rc::gen::element(Eviction::lru, Eviction::segmented, Eviction::tinylfu);
    const auto capacity = *rc::gen::inRange<std::size_t>(1, 12);
    BoundedMap<int> map(capacity, eviction, 3);
    std::map<std::uint64_t, int> model;
    int value = 0;
    for (const auto& [operation, key] : *steps()) {
      ++value;
      switch (operation) {
        case Operation::put:
          map.put(key, [&](std::uint64_t evicted_key, int evicted_value) {
            RC_ASSERT(model.size() == capacity);
            RC_ASSERT(model.at(evicted_key) == evicted_value);
            model.erase(evicted_key);
          }) = value;
          model[key] = value;
          break;
        case Operation::use: RC_ASSERT((map.use(key) != nullptr) == model.contains(key)); break;
        case Operation::erase: RC_ASSERT(map.erase(key) == (model.erase(key) == 1)); break;
        case Operation::sweep_odd_values: {
          const std::size_t dropped =
              map.sweep(capacity, [](std::uint64_t, int swept) { return is_odd(swept); });
          RC_ASSERT(dropped == std::erase_if(model, [](const auto& entry) { return is_odd(entry.second); }));
          break;
        }
      }
      RC_ASSERT(map.size() == model.size());
      std::size_t visited = 0;
      map.for_each([&](std::uint64_t visited_key, int visited_value) {
        RC_ASSERT(model.at(visited_key) == visited_value);
        ++visited;
      });
      RC_ASSERT(visited == model.size());
    }
  })));
}

// A scan is a sequence of new keys, each used once. It must not evict the entries that are used often.
TEST_CASE("a scan does not evict the frequently used entries of a segmented or a TinyLFU map") {
  // Keys share the counters of the TinyLFU sketch, so some keys of the scan pass the admission test.
  for (const auto& [eviction, min_found] : {std::pair{Eviction::segmented, 500}, {Eviction::tinylfu, 400}}) {
    BoundedMap<int> map(1000, eviction, 5);
    for (int round = 0; round < 20; ++round) {
      for (std::uint64_t key = 0; key < 500; ++key) map.put(key) = 1;
    }
    for (std::uint64_t key = 10'000; key < 30'000; ++key) map.put(key) = 2;
    int found_count = 0;
    for (std::uint64_t key = 0; key < 500; ++key) found_count += map.find(key) != nullptr ? 1 : 0;
    CHECK(found_count >= min_found);
  }
}

// No call may pause: none compares many entries, whatever keys clients choose, and none moves existing
// entries.
TEST_CASE("a million consecutive keys, and keys that differ in few bits, do not fill single buckets") {
  for (const int shift : {0, 40}) {
    BoundedMap<int> map(1'000'000, Eviction::lru, 5);
    const int* first = &map.put(0);
    for (std::uint64_t key = 1; key < 1'000'000; ++key) map.put(key << shift);
    CHECK(map.largest_bucket() <= 12);  // by a Poisson law of mean 0.95, 3 tables in 100,000 exceed it
    CHECK(map.find(0) == first);
  }
}

TEST_CASE("both limits of an entry table hold, and limits that are too small are rejected") {
  CHECK(holds(rc::check([] {
    TableLimits limits;
    limits.entries = *rc::gen::inRange<std::size_t>(16, 5000);
    limits.bytes = *rc::gen::inRange<std::size_t>(8'000, 2'000'000);
    limits.eviction = *rc::gen::element(Eviction::lru, Eviction::segmented, Eviction::tinylfu);
    EntryTable table(limits);
    RC_ASSERT(table.bytes() <= limits.bytes);
    for (std::uint64_t key = 1; key < 6000; ++key) {
      table.sessions().put(key);
      table.prefixes().put(key);
    }
    RC_ASSERT(table.size() <= limits.entries);
    RC_ASSERT(table.bytes() <= limits.bytes);
  })));
  CHECK_THROWS_AS(EntryTable({.entries = 15}), std::invalid_argument);
  CHECK_THROWS_AS(EntryTable({.bytes = 1000}), std::invalid_argument);
}

TEST_CASE("a copy is written to the entry of its replica, an unused one, or the least recently used") {
  Copies<3> copies;
  const auto put = [&](Slot replica, std::uint32_t last_used_s) {
    copies.copy_for(replica) = {
        .tokens = 100, .odometer = 0, .last_used_s = last_used_s, .replica = replica, .epoch = 1};
  };
  put(1, 10);
  put(2, 20);
  put(3, 30);
  put(2, 40);
  CHECK(copies.count == 3);
  put(4, 50);
  CHECK(copies.count == 3);
  CHECK(copies.find(1, 1) == nullptr);
  CHECK(copies.find(2, 1)->last_used_s == 40);
  CHECK(copies.find(4, 1) != nullptr);
  CHECK(copies.find(4, 2) == nullptr);
}
