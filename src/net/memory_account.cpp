#include "net/memory_account.hpp"

#include <algorithm>

namespace thornwick::net {
namespace {

// What the program takes without any peer: its code, its libraries, tables and lists.
constexpr std::size_t kProgramBytes = 14UL * 1024 * 1024;
// Of the remaining memory, the part that is not counted: the allocator's overhead, and the second copy that
// parsing and forwarding need for a moment.
constexpr double kUncountedPart = 0.45;
constexpr std::size_t kMinBytesForPeers = 1024UL * 1024;
// The part of the limit up to which all reading goes on.
constexpr double kPausePart = 0.5;

}  // namespace

void MemoryAccount::add(MemoryUse use, std::size_t bytes) {
  held_ += bytes;
  held_by_use_[static_cast<std::size_t>(use)] += bytes;
  peak_ = std::max(peak_, held_);
}

void MemoryAccount::remove(MemoryUse use, std::size_t bytes) {
  held_ -= bytes;
  held_by_use_[static_cast<std::size_t>(use)] -= bytes;
}

MemoryPressure MemoryAccount::pressure() const {
  if (held_ >= limit_) return MemoryPressure::refuse;
  const auto pause_from = static_cast<std::size_t>(kPausePart * static_cast<double>(limit_));
  return held_ >= pause_from ? MemoryPressure::pause : MemoryPressure::none;
}

std::size_t memory_for_peers(std::size_t memory_bytes) {
  const std::size_t remaining = memory_bytes - std::min(memory_bytes, kProgramBytes);
  return std::max(kMinBytesForPeers,
                  static_cast<std::size_t>((1 - kUncountedPart) * static_cast<double>(remaining)));
}

MemoryAccount& memory_account() {
  static MemoryAccount account;
  return account;
}

void HeldBytes::set(std::size_t bytes) {
  if (bytes > bytes_) {
    memory_account().add(use_, bytes - bytes_);
  } else {
    memory_account().remove(use_, bytes_ - bytes);
  }
  bytes_ = bytes;
}

}  // namespace thornwick::net
