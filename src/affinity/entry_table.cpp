#include "affinity/entry_table.hpp"

#include <algorithm>
#include <stdexcept>

namespace thornwick::affinity {

std::size_t EntryTable::group_count(const TableLimits& limits) {
  // The worst case is assumed for the bytes: a bucket array, like a sketch, is rounded up to a power of two.
  constexpr std::size_t kSketchBytesPerEntry = 8;
  constexpr std::size_t kMinSketchBytes = 64;  // bytes of both maps' sketches at their minimum size
  const std::size_t sketch_bytes = limits.eviction == Eviction::tinylfu ? kSketchBytesPerEntry : 0;
  const std::size_t session_bytes = BoundedMap<Session>::bytes_per_entry() + sketch_bytes;
  const std::size_t prefix_bytes = BoundedMap<Prefix>::bytes_per_entry() + sketch_bytes;
  const std::size_t group_bytes = kSessionsPerPrefix * session_bytes + prefix_bytes;
  const std::size_t usable_bytes = limits.bytes > kMinSketchBytes ? limits.bytes - kMinSketchBytes : 0;
  const std::size_t groups = std::min(usable_bytes / group_bytes, limits.entries / (kSessionsPerPrefix + 1));
  if (groups == 0)
    throw std::invalid_argument("affinity table: entries or bytes allow no session and prefix");
  return groups;
}

EntryTable::EntryTable(const TableLimits& limits)
    : sessions_(group_count(limits) * kSessionsPerPrefix, limits.eviction, limits.seed),
      prefixes_(group_count(limits), limits.eviction, limits.seed) {}

}  // namespace thornwick::affinity
