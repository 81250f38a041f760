// Compares a leader's entries with this replica's log, and adapts messages that C-Raft would mishandle.
//
// The functions here change a message before the library gets the message; each says why. They read the
// library's log in memory, and never change the log.
#pragma once

#include <cstdint>

#include "replication/raft_memory.hpp"
#include "replication/raft_messages.hpp"

namespace thornwick::replication {

// Read access to the log in the library's memory. Valid until the library is called again.
class LogView {
 public:
  // `next_index` is the index after the last entry that was written.
  LogView(const raft& raft, std::uint64_t next_index) : raft_(raft), next_index_(next_index) {}

  std::uint64_t current_term() const { return raft_.current_term; }
  std::uint64_t commit_index() const { return raft_.commit_index; }
  std::uint64_t next_index() const { return next_index_; }
  // The entries up to this index are no longer in the log.
  std::uint64_t offset() const { return raft_.log.offset; }
  // The entry has to be in the log.
  const raft_entry& entry_at(std::uint64_t index) const;
  // 0 if the entry is not in the log.
  std::uint64_t term_at(std::uint64_t index) const;
  bool is_installing_snapshot() const { return raft_.snapshot.put.data != nullptr; }
  // 0 if no change of members is uncommitted.
  std::uint64_t uncommitted_configuration_index() const { return raft_.configuration_uncommitted_index; }
  bool has_committed_configuration() const { return raft_.configuration_index > raft_.log.offset; }

 private:
  const raft& raft_;
  std::uint64_t next_index_;
};

// Removes committed entries from a message that begins before the first entry of the log, so that the message
// begins after the last committed entry. Committed entries are the same at every replica, but the library
// would reject such a message each time that the leader sends it.
void skip_committed(AppendEntries& message, const LogView& log);

// Removes from a message the entries that are in the log already, or all entries if the library will reject
// the message, because the library would not free these entries.
void skip_known(AppendEntries& message, const LogView& log);

// Returns the index at which the log has to be truncated before the library gets this message; 0 if the
// library can handle the message.
//
// When the library rolls back an uncommitted change of members, it reads the entry of the committed one,
// which a snapshot may have removed from the log. If a message would cause this, the replica has to restart
// from its own records, truncated where the message differs.
std::uint64_t unsafe_truncation(const AppendEntries& message, const LogView& log);

// The prefix of the log that is known to equal the current leader's log. The library reports the end of its
// whole log to a leader, whether or not the entries match; limit() lowers the report to the verified prefix.
class VerifiedPrefix {
 public:
  void on_append(const AppendEntries& message, const LogView& log);
  void limit(AppendEntriesResult& result, std::uint64_t commit_index) const;

 private:
  std::uint64_t term_ = 0;
  std::uint64_t last_index_ = 0;
};

}  // namespace thornwick::replication
