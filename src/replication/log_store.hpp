// One replicated log as it is on disk: term and vote, entries, and a snapshot in parts.
//
// Every change is written to the owner's `Records` at once, and is durable when the owner reports it. This
// file does not depend on C-Raft: raft_io_adapter implements the library's storage interface with it.
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

  // Reads all records of a log. Throws std::exception if one cannot be decoded; afterwards problem() says
  // whether parts of the log are missing.
  void load(const StoredRecords& stored);
  // Why the loaded records are no whole log; empty if they are.
  const std::string& problem() const { return problem_; }
  // Hands over the loaded entries; empty from the second call on.
  EntriesByIndex take_loaded_entries();

  // Moves to a later term, in which no vote was given yet.
  void set_term(std::uint64_t term);
  void set_vote(std::uint64_t candidate);
  void append(const std::vector<StoredEntry>& entries);
  // Removes the entries from this index on.
  void truncate(std::uint64_t index);
  // Replaces the snapshot, and removes the entries that it covers except for the last `trailing` ones. With
  // `trailing` 0 the snapshot came from the leader and replaces the whole log. Sets the generation and the
  // size of `snapshot`.
  void put_snapshot(StoredSnapshot snapshot, std::string data, std::uint64_t trailing);
  // Removes all records.
  void erase();
  // Truncates the log at `index`, and takes over the entries before it for another take_loaded_entries().
  void reload(EntriesByIndex entries, std::uint64_t index);

  const StoredVote& vote() const { return vote_; }
  const StoredSnapshot& snapshot() const { return snapshot_; }
  const std::string& snapshot_data() const { return snapshot_data_; }
  std::uint64_t next_index() const { return next_index_; }
  std::uint64_t last_index() const { return next_index_ - 1; }
  // The term of the last entry, durable or not.
  std::uint64_t last_term() const { return last_term_; }
  // The position after all writes so far, durable or not.
  Position position() const { return {vote_.term, last_term_, last_index()}; }

 private:
  void load_snapshot_parts(const StoredRecords& stored);
  void find_range();
  void write_vote();
  void remove_snapshot_parts();

  Records& records_;
  StoredVote vote_;
  StoredSnapshot snapshot_;
  std::string snapshot_data_;
  EntriesByIndex loaded_entries_;
  std::uint64_t first_index_ = 1;  // of the first entry on disk
  std::uint64_t next_index_ = 1;   // after the last entry on disk
  std::uint64_t last_term_ = 0;
  std::string problem_;
};

}  // namespace thornwick::replication
