// The records of one replicated log on disk: their keys and their MessagePack values.
//
// The format is fixed: records written by earlier versions are read, and the order of the packed fields never
// changes. Depends on MessagePack only; knows nothing of C-Raft.
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace thornwick::replication {

// The maximum number of a snapshot's bytes in one record.
inline constexpr std::size_t kSnapshotChunkBytes = std::size_t{32} * 1024;

// A server of the log's configuration; `role` is C-Raft's number (RAFT_VOTER, ...).
struct StoredServer {
  std::uint64_t id = 0;
  std::string address;
  int role = 0;
  MSGPACK_DEFINE(id, address, role)
};

// A log entry; `type` is C-Raft's number (RAFT_COMMAND, ...).
struct StoredEntry {
  std::uint64_t term = 0;
  std::uint16_t type = 0;
  std::string data;
  MSGPACK_DEFINE(term, type, data)
};

// The current term, and the candidate that got this replica's vote in that term; candidate 0: none.
struct StoredVote {
  std::uint64_t term = 0;
  std::uint64_t candidate = 0;
  MSGPACK_DEFINE(term, candidate)
};

// The log position that the snapshot on disk covers. The data of the snapshot is split into chunks, each in a
// separate record with the same generation; `size` is the sum of the chunks' bytes.
struct StoredSnapshot {
  std::uint64_t index = 0;
  std::uint64_t term = 0;
  std::uint64_t configuration_index = 0;
  std::uint64_t generation = 0;
  std::uint64_t size = 0;
  std::vector<StoredServer> servers;
  MSGPACK_DEFINE(index, term, configuration_index, generation, size, servers)
};

// Keys of one kind sort in the order of their numbers.
std::string vote_key();
std::string snapshot_key();
std::string entry_key(std::uint64_t index);
std::string snapshot_chunk_key(std::uint64_t generation, std::uint64_t chunk);

enum class LogRecordKind : std::uint8_t { other, vote, snapshot, entry, snapshot_chunk };

// A parsed key. `number` is the index of an entry or the generation of a snapshot chunk.
struct LogRecordKey {
  LogRecordKind kind = LogRecordKind::other;
  std::uint64_t number = 0;
  std::uint64_t chunk = 0;
};
LogRecordKey parse_log_key(std::string_view key);

}  // namespace thornwick::replication
