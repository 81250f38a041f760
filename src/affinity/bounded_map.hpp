// A map from 64-bit keys to values of fixed size, with a bound on the entries and no pauses.
//
// All memory is reserved at construction and touched only as entries fill it. There is no growth, no rehash
// and no tombstone, so each call costs a few cache misses at most, whatever the number of entries. The hash
// index and the lists are Boost.Intrusive's over one slab. Keys are hashed by XXH3 with a seed of this
// process: clients choose some of the keys and could otherwise put them all into one bucket.
//
// Eviction (docs/affinities.md has the comparison):
//   lru        one list; the least recently used entry is evicted
//   segmented  a probation list in front of a protected list: entries that were used only once are evicted
//              first (Karedla et al. 1994, "Caching strategies to improve disk system performance")
//   tinylfu    the same behind a small window and an admission test: an entry that leaves the window replaces
//              the victim only if it was used more often (Einziger et al. 2017, "TinyLFU")
//
// Not thread-safe. A pointer to a value is valid until its entry is erased, evicted or swept.
#pragma once

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <bit>
#include <boost/intrusive/list.hpp>
#include <boost/intrusive/unordered_set.hpp>
#include <cstdint>
#include <memory>
#include <new>
#include <stdexcept>
#include <type_traits>

#include "affinity/frequency_sketch.hpp"

namespace thornwick::affinity {

enum class Eviction : std::uint8_t { lru, segmented, tinylfu };

// A hash of the key that differs with each seed.
inline std::uint64_t seeded_hash(std::uint64_t key, std::uint64_t seed) {
  return XXH3_64bits_withSeed(&key, sizeof key, seed);
}

template <typename Value>
class BoundedMap {
  static_assert(std::is_trivially_destructible_v<Value>,
                "slab entries are reused without running the value's destructor");

 public:
  using Key = std::uint64_t;

  // Throws std::invalid_argument if `capacity` is 0.
  BoundedMap(std::size_t capacity, Eviction eviction, std::uint64_t seed)
      : capacity_(validated(capacity)),
        eviction_(eviction),
        seed_(seed),
        bucket_count_(std::bit_ceil(capacity_)),
        buckets_(new Bucket[bucket_count_]),
        slab_(static_cast<Entry*>(
            ::operator new (capacity_ * sizeof(Entry), std::align_val_t{alignof(Entry)}))),
        index_(typename Index::bucket_traits(buckets_.get(), bucket_count_), Hash{seed}),
        sketch_(eviction == Eviction::tinylfu ? capacity_ : 1) {}

  BoundedMap(const BoundedMap&) = delete;
  BoundedMap& operator=(const BoundedMap&) = delete;
  ~BoundedMap() {
    clear();
    ::operator delete (static_cast<void*>(slab_), std::align_val_t{alignof(Entry)});
  }

  // Memory that one entry takes, its buckets included.
  static constexpr std::size_t bytes_per_entry() {
    return sizeof(Entry) + 2 * sizeof(Bucket) + sizeof(Index*);
  }

  std::size_t size() const { return size_; }
  std::size_t capacity() const { return capacity_; }
  // Reserved memory; does not change after construction.
  std::size_t bytes() const {
    return capacity_ * sizeof(Entry) + bucket_count_ * sizeof(Bucket) + sketch_.bytes();
  }
  std::uint64_t evicted() const { return evicted_; }
  // The number of entries in the fullest bucket: the maximum that one call compares. Visits all buckets, so
  // it is for tests and tools and not for the router's loop.
  std::size_t largest_bucket() const {
    std::size_t max_size = 0;
    for (std::size_t i = 0; i < bucket_count_; ++i)
      max_size = std::max<std::size_t>(max_size, index_.bucket_size(i));
    return max_size;
  }

  // Returns the value of this key; null if there is none. Does not count as a use.
  Value* find(Key key) {
    const auto found = index_.find(key, Hash{seed_}, Equal{});
    return found == index_.end() ? nullptr : &found->value;
  }
  const Value* find(Key key) const { return const_cast<BoundedMap*>(this)->find(key); }

  // Returns the value of this key; null if there is none. Counts as a use: the entry is evicted later.
  Value* use(Key key) {
    const auto found = index_.find(key, Hash{seed_}, Equal{});
    if (eviction_ == Eviction::tinylfu) sketch_.add(seeded_hash(key, seed_));
    if (found == index_.end()) return nullptr;
    promote(*found);
    return &found->value;
  }

  // Returns the value of this key, inserted if there is none. In a full map this evicts another entry, after
  // a call of `on_evict(key, value)`. Counts as a use.
  template <typename OnEvict>
  Value& put(Key key, OnEvict on_evict) {
    if (Value* found = use(key)) return *found;
    if (size_ == capacity_) evict(on_evict);
    Entry& entry = insert(key);
    push(entry, eviction_ == Eviction::tinylfu ? Segment::window : Segment::probation);
    shrink_window();
    return entry.value;
  }
  Value& put(Key key) {
    return put(key, [](Key, const Value&) {});
  }

  // Returns false if there is no such entry.
  bool erase(Key key) {
    const auto found = index_.find(key, Hash{seed_}, Equal{});
    if (found == index_.end()) return false;
    drop(*found);
    return true;
  }

  void clear() {
    for (auto& list : lists_) {
      while (!list.empty()) drop(list.front());
    }
  }

  // Visits the next `max_slots` slots of the slab, in turn, and drops each entry for which `should_drop(key,
  // value)` returns true. Returns the number of dropped entries. Called with a few slots for each request, it
  // visits all entries without a pause.
  template <typename Predicate>
  std::size_t sweep(std::size_t max_slots, Predicate should_drop) {
    std::size_t dropped = 0;
    for (std::size_t i = 0; i < max_slots && constructed_ > 0; ++i) {
      if (sweep_position_ >= constructed_) sweep_position_ = 0;
      Entry& entry = slab_[sweep_position_];
      ++sweep_position_;
      if (entry.segment == Segment::free || !should_drop(entry.key, entry.value)) continue;
      drop(entry);
      ++dropped;
    }
    return dropped;
  }

  // Calls `visit(key, value)` for each entry, in the order of the slab.
  template <typename Visit>
  void for_each(Visit visit) const {
    for (std::size_t i = 0; i < constructed_; ++i) {
      if (slab_[i].segment != Segment::free) visit(slab_[i].key, slab_[i].value);
    }
  }

 private:
  enum class Segment : std::uint8_t { free, window, probation, protected_entries };
  using Link = boost::intrusive::link_mode<boost::intrusive::normal_link>;
  struct Entry : boost::intrusive::unordered_set_base_hook<Link>, boost::intrusive::list_base_hook<Link> {
    Key key = 0;
    Value value{};
    Segment segment = Segment::free;
  };
  struct Hash {
    std::uint64_t seed;
    std::size_t operator()(Key key) const { return seeded_hash(key, seed); }
    std::size_t operator()(const Entry& entry) const { return seeded_hash(entry.key, seed); }
  };
  struct Equal {
    bool operator()(Key key, const Entry& entry) const { return key == entry.key; }
    bool operator()(const Entry& entry, Key key) const { return key == entry.key; }
    bool operator()(const Entry& a, const Entry& b) const { return a.key == b.key; }
  };
  using Index =
      boost::intrusive::unordered_set<Entry, boost::intrusive::hash<Hash>, boost::intrusive::equal<Equal>,
                                      boost::intrusive::constant_time_size<false>,
                                      boost::intrusive::power_2_buckets<true>>;
  using Bucket = typename Index::bucket_type;
  using List = boost::intrusive::list<Entry, boost::intrusive::constant_time_size<true>>;

  static std::size_t validated(std::size_t capacity) {
    if (capacity == 0) throw std::invalid_argument("bounded map: capacity is 0; it must be at least 1");
    return capacity;
  }

  List& list(Segment segment) { return lists_[static_cast<std::size_t>(segment) - 1]; }

  // Appends the entry as the segment's most recently used one.
  void push(Entry& entry, Segment segment) {
    entry.segment = segment;
    list(segment).push_back(entry);
    if (segment != Segment::protected_entries) return;
    // As in the paper, the protected list takes four fifths; a fifth remains for entries on probation.
    while (list(segment).size() > std::max<std::size_t>(1, capacity_ * 4 / 5)) {
      Entry& oldest = list(segment).front();
      list(segment).pop_front();
      push(oldest, Segment::probation);
    }
  }

  void promote(Entry& entry) {
    List& from = list(entry.segment);
    from.erase(from.iterator_to(entry));
    const bool protect = eviction_ != Eviction::lru && entry.segment == Segment::probation;
    push(entry, protect ? Segment::protected_entries : entry.segment);
  }

  template <typename OnEvict>
  void evict(OnEvict on_evict) {
    Entry& victim = choose_victim();
    on_evict(victim.key, victim.value);
    ++evicted_;
    drop(victim);
  }

  Entry& choose_victim() {
    List& window = list(Segment::window);
    List& main =
        !list(Segment::probation).empty() ? list(Segment::probation) : list(Segment::protected_entries);
    if (eviction_ != Eviction::tinylfu) return main.front();
    if (window.size() < window_capacity() && !main.empty()) return main.front();
    Entry& candidate = window.front();
    if (main.empty()) return candidate;
    Entry& oldest = main.front();
    if (sketch_.estimate(seeded_hash(candidate.key, seed_)) <=
        sketch_.estimate(seeded_hash(oldest.key, seed_))) {
      return candidate;
    }
    window.pop_front();
    push(candidate, Segment::probation);
    return oldest;
  }

  // A tenth of the map is a plain queue of new entries: a session's second request must still find its entry.
  std::size_t window_capacity() const { return std::max<std::size_t>(1, capacity_ / 10); }

  // Moves the oldest entries out of a window that is too large. There is no admission test while the map has
  // free slots.
  void shrink_window() {
    List& window = list(Segment::window);
    while (window.size() > window_capacity()) {
      Entry& oldest = window.front();
      window.pop_front();
      push(oldest, Segment::probation);
    }
  }

  // Constructs a new entry in a free slot of the slab; the entry is in the index but in no list yet.
  Entry& insert(Key key) {
    Entry* slot = nullptr;
    if (!free_.empty()) {
      slot = &free_.front();
      free_.pop_front();
      slot->~Entry();
    } else {
      slot = &slab_[constructed_];
      ++constructed_;
    }
    Entry& entry = *new (slot) Entry;
    entry.key = key;
    index_.insert(entry);
    ++size_;
    return entry;
  }

  void drop(Entry& entry) {
    index_.erase(index_.iterator_to(entry));
    List& from = list(entry.segment);
    from.erase(from.iterator_to(entry));
    entry.segment = Segment::free;
    free_.push_front(entry);
    --size_;
  }

  std::size_t capacity_;
  Eviction eviction_;
  std::uint64_t seed_;
  std::size_t bucket_count_;
  std::unique_ptr<Bucket[]> buckets_;
  Entry* slab_;  // owned; entries are constructed as they are needed
  Index index_;
  std::array<List, 3> lists_;  // one for each segment but `free`; least recently used entry first
  List free_;                  // slots that can be reused
  FrequencySketch sketch_;
  std::size_t size_ = 0;
  std::size_t constructed_ = 0;     // slots of the slab that have ever held an entry
  std::size_t sweep_position_ = 0;  // slot that the next sweep visits first
  std::uint64_t evicted_ = 0;
};

}  // namespace thornwick::affinity
