// Lookup: which replica holds most of a request's prompt, and how many tokens are expected there.
#pragma once

#include <algorithm>
#include <cstdint>

#include "affinity/entry_table.hpp"
#include "affinity/replica_registry.hpp"

namespace thornwick::affinity {

// Below this number, cached tokens are within a replica's block size: they are neither looked up nor
// expected.
inline constexpr double kMinCachedTokens = 64;

// A cached copy that a request could use.
struct CopyMatch {
  const Copy* copy = nullptr;  // null: no copy; owned by the entry table, valid until that changes
  double tokens = 0;           // of the request's prompt, if the copy is still there
  double confidence = 0;       // probability that the copy is still there

  double expected_tokens() const { return tokens * confidence; }
};

struct LookupResult {
  CopyMatch match;
  std::uint32_t cached_size = 0;  // tokens when the session was placed; 0: there is no copy of it
};

// The cached tokens that an answer should report, as predicted when its first token arrived.
struct Expectation {
  double tokens = 0;          // of the prompt; 0: nothing is expected
  double confidence = 0;      // probability of a hit, limited by clamp_prediction
  double min_hit_tokens = 0;  // the answer is a hit if it reports at least so many cached tokens
  double age_tokens = 0;      // tokens sent to the replica since the copy was used
  Epoch epoch = 0;            // of the replica's slot; if it has changed since, the answer is ignored
};

// Reads the entry table. Does not own the table or the registry; both must outlive the lookup.
class CopyLookup {
 public:
  // Copies unused for longer than `lifetime` (microseconds) are not valid.
  CopyLookup(EntryTable& table, ReplicaRegistry& replicas, Time lifetime)
      : table_(table), replicas_(replicas), lifetime_(lifetime) {}

  // Finds the copy from which the most tokens are expected: the session's own, or one of the shared prefix.
  // Counts as a use of both entries. `now_s` is in seconds.
  [[nodiscard]] LookupResult find(const Request& request, std::uint32_t now_s);

  // Predicts what the replica in `slot` will report of this prompt, for whatever reason the policy chose it.
  [[nodiscard]] Expectation expectation(const Request& request, Slot slot, std::uint32_t now_s) const;

  // Whether the copy has the current epoch of its replica's slot and is not too old.
  bool is_valid(const Copy& copy, std::uint32_t now_s) const;

  template <std::size_t N>
  bool has_valid_copy(const Copies<N>& copies, std::uint32_t now_s) const {
    const auto all = copies.all();
    return std::any_of(all.begin(), all.end(), [&](const Copy& copy) { return is_valid(copy, now_s); });
  }

 private:
  double age_in_tokens(const Copy& copy) const;
  double survival_probability(const Copy& copy) const;
  CopyMatch match(const Copy& copy, double max_tokens, std::uint32_t now_s) const;
  CopyMatch best_session_copy(const Session& session, const Request& request, std::uint32_t now_s) const;
  CopyMatch select_prefix_copy(Prefix& prefix, const Request& request, std::uint32_t now_s);
  double target_prefix_copies(Prefix& prefix);

  EntryTable& table_;
  ReplicaRegistry& replicas_;
  Time lifetime_;
  std::uint32_t request_number_ = 0;  // of the latest request; wraps
};

}  // namespace thornwick::affinity
