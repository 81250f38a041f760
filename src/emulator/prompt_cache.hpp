// The cached prompts of a replica. The least recently used prompt is evicted first.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <cstdint>
#include <list>

namespace thornwick::emulator {

class PromptCache {
 public:
  // Returns the number of tokens of all entries.
  double tokens() const { return tokens_; }

  // Returns the number of tokens cached under `key`; 0 if there are none. Counts as a use of the entry.
  double find(std::uint64_t key) {
    const auto found = entries_.find(key);
    if (key == 0 || found == entries_.end()) return 0;
    order_.splice(order_.end(), order_, found->second);
    return found->second->tokens;
  }

  // Adds an entry, or enlarges an existing one; an entry never shrinks. Key 0 and sizes of 0 tokens are
  // ignored.
  void insert(std::uint64_t key, double tokens) {
    if (key == 0 || tokens <= 0) return;
    const double size = std::max(remove(key), tokens);
    entries_[key] = order_.insert(order_.end(), {key, size});
    tokens_ += size;
  }

  // Removes an entry. Returns the entry's tokens; 0 if there was no entry.
  double remove(std::uint64_t key) {
    const auto found = entries_.find(key);
    if (found == entries_.end()) return 0;
    const double tokens = found->second->tokens;
    tokens_ -= tokens;
    order_.erase(found->second);
    entries_.erase(found);
    return tokens;
  }

  // Evicts entries until at most `max_tokens` tokens are cached.
  void shrink_to(double max_tokens) {
    while (tokens_ > std::max(0.0, max_tokens) && !order_.empty()) remove(order_.front().key);
    if (order_.empty()) tokens_ = 0;
  }

  // Removes the entries whose keys satisfy the predicate.
  template <typename Predicate>
  void erase_if(Predicate predicate) {
    for (auto at = order_.begin(); at != order_.end();) {
      const auto key = (at++)->key;
      if (predicate(key)) remove(key);
    }
  }

  void clear() {
    order_.clear();
    entries_.clear();
    tokens_ = 0;
  }

 private:
  struct Entry {
    std::uint64_t key;
    double tokens;
  };

  std::list<Entry> order_;  // the most recently used entry is at the back
  absl::flat_hash_map<std::uint64_t, std::list<Entry>::iterator> entries_;
  double tokens_ = 0;
};

}  // namespace thornwick::emulator
