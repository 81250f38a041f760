// One replicated log as stored on disk: term and vote, entries, and a snapshot in chunks.
//
// Every change is written to the owner's `Records` at once, and is durable when the owner reports the write
// as durable. This file does not depend on C-Raft; raft_io_adapter implements the library's storage interface
// with a LogStore.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "replication/consensus.hpp"
#include "replication/log_records.hpp"

namespace thornwick::replication {

using EntriesByIndex = std::map<std::uint64_t, StoredEntry>;

class LogStore {
 public:
  // `records` has to outlive the store.
  explicit LogStore(Records& records) : records_(records) {}

  // Reads all records of a log. Throws std::exception if a record cannot be decoded. Afterwards problem()
  // says whether records of the log are missing.
  void load(const StoredRecords& stored);
  // Why the loaded records are not a complete log; empty if they are.
  const std::string& problem() const { return problem_; }
  // Moves the loaded entries to the caller. Returns none from the second call on.
  EntriesByIndex take_loaded_entries();

  // Moves to a later term, in which no vote was given yet.
  void set_term(std::uint64_t term);
  void set_vote(std::uint64_t candidate);
  void append(const std::vector<StoredEntry>& entries);
  // Removes the entries from this index to the end of the log.
  void truncate(std::uint64_t index);
  // Replaces the snapshot, and removes the entries that the snapshot covers except for the last `trailing`
  // ones. With `trailing` 0 the snapshot came from the leader and replaces the whole log. The store sets the
  // generation and the size of `snapshot`.
  void put_snapshot(StoredSnapshot snapshot, std::string data, std::uint64_t trailing);
  // Removes all records.
  void erase();
  // Truncates the log at `index`. The next take_loaded_entries() returns `entries`, the entries before
  // `index`.
  void reload(EntriesByIndex entries, std::uint64_t index);

  const StoredVote& vote() const { return vote_; }
  const StoredSnapshot& snapshot() const { return snapshot_; }
  const std::string& snapshot_data() const { return snapshot_data_; }
  std::uint64_t next_index() const { return next_index_; }
  std::uint64_t last_index() const { return next_index_ - 1; }
  // The term of the last entry, durable or not.
  std::uint64_t last_term() const { return last_term_; }
  // The position after all writes so far, durable or not.
  LogPosition position() const { return {vote_.term, last_term_, last_index()}; }

 private:
  void load_snapshot_chunks(const StoredRecords& stored);
  void determine_entry_range();
  void write_vote();
  void remove_snapshot_chunks();

  Records& records_;
  StoredVote vote_;
  StoredSnapshot snapshot_;
  std::string snapshot_data_;
  EntriesByIndex loaded_entries_;
  std::uint64_t first_index_ = 1;  // index of the first entry on disk
  std::uint64_t next_index_ = 1;   // index after the last entry on disk
  std::uint64_t last_term_ = 0;
  std::string problem_;
};

}  // namespace thornwick::replication
