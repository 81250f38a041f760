// What a router passes to its successor about requests to come, as bytes: what the routing policy has
// learned, and the affinity table's estimates of cached prompts. Requests in flight do not pass: the old
// process finishes them.
//
// The bytes go through net::HandoverState::learned_state, which does not look into them. They are one
// MessagePack array that begins with a version; bytes of another version are rejected whole.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "affinity/affinity_table.hpp"
#include "thornwick/learned_state.hpp"

namespace thornwick::persistence {

// Bounds the bytes to about a megabyte. Applies to sessions and to prefixes, each by itself; the others do
// not pass.
inline constexpr std::size_t kMaxHandedOverEntries = 20'000;

// Reads the table, which is not owned and may be null: then no estimates pass.
std::string encode_handover_state(const LearnedState& learned_state,
                                  const affinity::AffinityTable* affinity_table);

// The learned state in the bytes; nothing if they are no such state. Its values are not checked (see
// LearnedState).
//
// A table that is not null must still be empty; the estimates are restored to it as of `now`, unless nothing
// is returned.
[[nodiscard]] std::optional<LearnedState> decode_handover_state(std::string_view bytes, Time now,
                                                                affinity::AffinityTable* affinity_table);

}  // namespace thornwick::persistence
