// The stored form of the affinity table's entries: MessagePack arrays, whose version the store keeps beside
// each table (tables.hpp). A hand-over sends the same records.
//
// A record that cannot be read costs one entry, never the whole table: the decoders return nothing for bytes
// that are no such record, and the caller counts it.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "affinity/affinity_table.hpp"

namespace thornwick::persistence {

// A replica as it was stored.
struct StoredReplica {
  affinity::Slot slot = 0;    // under which the sessions and prefixes refer to it
  std::string uid;            // discovery's name of it; empty in a hand-over, and where it was unknown
  affinity::Replica replica;  // only the fields that are stored; the others have their defaults
};

// Without Session::unsaved and Prefix::heat, which do not survive.
std::string encode(const affinity::Session& session);
std::string encode(const affinity::Prefix& prefix);
// Its id, start, epoch, and what was sent to it. What was learned of its hits and losses does not survive.
std::string encode(const affinity::Replica& replica, const std::string& uid);

[[nodiscard]] std::optional<affinity::Session> decode_session(std::string_view bytes);
[[nodiscard]] std::optional<affinity::Prefix> decode_prefix(std::string_view bytes);
// The key is that of the replica's slot (encode_key). Nothing also where an amount or a time is negative.
[[nodiscard]] std::optional<StoredReplica> decode_replica(std::string_view key, std::string_view bytes);

}  // namespace thornwick::persistence
