// One replica of a replicated log: the Raft protocol as implemented by C-Raft, with storage, transport and
// time handed in.
//
// This module does no I/O: the owner writes records and sends messages, and reports which records are durable
// and what time it is. A message is sent only when the term and the vote that the message reports are
// durable, and an entry is acknowledged only when the entry is durable. (The library's own I/O would block
// its event loop instead.) Work-arounds for faults of the library are in log_matching and in consensus.cpp,
// each with its reason.
//
// All calls, and all callbacks, are made on one thread. Times are microseconds.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "thornwick/routing_policy.hpp"

namespace thornwick::replication {

// Identifies one replica on one disk; 0: none. A replica that lost its disk gets another id.
using ReplicaUid = std::uint64_t;

struct LogMember {
  ReplicaUid id = 0;
  std::string name;  // name of the router
  bool is_voter = false;
  bool operator==(const LogMember&) const = default;
};

// The current term and the end of the log on a disk.
struct LogPosition {
  std::uint64_t term = 0;        // current term
  std::uint64_t last_term = 0;   // term of the last entry
  std::uint64_t last_index = 0;  // index of the last entry
  // Whether `other` has a later term or a later log.
  bool is_behind(const LogPosition& other) const {
    return term < other.term || last_term < other.last_term ||
           (last_term == other.last_term && last_index < other.last_index);
  }
  bool operator==(const LogPosition&) const = default;
  // Raises the term, and the end of the log, to those of `other` where those are later.
  void raise_to(const LogPosition& other) {
    term = std::max(term, other.term);
    if (std::pair(last_term, last_index) >= std::pair(other.last_term, other.last_index)) return;
    last_term = other.last_term;
    last_index = other.last_index;
  }
};

// Stores records by key. A later write of a key replaces the earlier one, and writes become durable in their
// order.
struct Records {
  virtual ~Records() = default;
  // Removes the record if there is no value.
  virtual void write(std::string key, std::optional<std::string> value) = 0;
  // The number of the latest write. All writes so far are durable once the owner reports this number as
  // durable.
  virtual std::uint64_t last_write_number() = 0;
};

using RecordVisitor = std::function<void(std::string_view key, std::string_view value)>;
// Calls the visitor with each stored record, in the order of their keys.
using StoredRecords = std::function<void(const RecordVisitor&)>;

class Consensus {
 public:
  static constexpr std::size_t kMaxCommandBytes = std::size_t{48} * 1024;

  struct Options {
    ReplicaUid id = 0;
    std::string name;                             // name of this router
    Time election_timeout = milliseconds(1'200);  // time without a leader until a replica becomes a candidate
    Time heartbeat_interval = milliseconds(250);  // time between two messages of a leader to a member
    unsigned snapshot_threshold = 4096;           // entries between two snapshots
    unsigned trailing_entries = 512;  // entries kept in the log before a snapshot, for members that lag
  };

  // Services of the owner, which have to outlive the Consensus.
  struct Dependencies {
    Records& records;
    // Returns a random number, from which the library draws its election timeouts.
    std::function<std::uint64_t()> random_number;
    // Sends a message. Messages may be lost or arrive in another order.
    std::function<void(ReplicaUid to, const std::string& name, std::string bytes)> send;
    // The state machine gets each committed command once, in the order of the log.
    std::function<void(std::string_view command)> apply;
    // Returns the state of the state machine.
    std::function<std::string()> snapshot;
    // Replaces the state machine's state. Returns false if the snapshot cannot be read.
    std::function<bool(std::string_view)> restore;
  };

  // Starts from this replica's records on disk. Without records the replica waits until a leader adds it. If
  // the records cannot be read the replica does not run: see problem().
  Consensus(Options options, Dependencies dependencies, const StoredRecords& stored, Time now);
  ~Consensus();
  Consensus(const Consensus&) = delete;
  Consensus& operator=(const Consensus&) = delete;

  // Returns the first records, by key, of a replica that founds the log together with all of these members.
  // The records are the same at each member.
  static std::map<std::string, std::string> founding_records(std::vector<LogMember> members);
  // Whether a record with this key belongs to the log.
  static bool owns_key(std::string_view key);
  // The position of a log that is stored but not started. Throws std::exception if the records cannot be
  // decoded.
  static LogPosition position(const StoredRecords& stored);

  // Removes all records of the log from the disk. The replica does not run afterwards.
  void erase();

  void tick(Time now);
  // Handles a message of the replica `from` on the router `name`, whose disk has reached `term`. Ignores
  // bytes that cannot be decoded.
  void on_message(Time now, ReplicaUid from, const std::string& name, std::uint64_t term,
                  std::string_view bytes);
  // Reports that all writes up to this number are durable; see Records::last_write_number().
  void on_durable(Time now, std::uint64_t number);

  bool is_leader() const;
  // 0 if the leader is not known.
  ReplicaUid leader_id() const;
  // The position of the durable records.
  LogPosition position() const;
  // The members in the latest configuration of the log, committed or not. Empty if the log does not run.
  std::vector<LogMember> members() const;
  // Index of the last committed entry.
  std::uint64_t commit_index() const;
  // Index of the last entry.
  std::uint64_t last_index() const;

  enum class ProposalOutcome : std::uint8_t {
    committed,  // a majority has the command, and it was applied here
    unknown     // the command may be lost, or may still be applied later
  };
  using ProposalDone = std::function<void(ProposalOutcome)>;
  // Appends a command to the log, and calls `done` once. Returns false, without a call of `done`, if this
  // replica does not lead or the command is larger than kMostCommand.
  bool propose(Time now, std::string_view command, ProposalDone done);

  // Change the members, one change at a time. Each returns false if no change can begin now: this replica
  // does not lead, or another change is pending. An added member has no vote until it is promoted, and
  // promote() first brings the member up to date.
  bool add(Time now, ReplicaUid id, const std::string& name);
  bool promote(Time now, ReplicaUid id);
  bool remove(Time now, ReplicaUid id);
  // Whether a change of members is pending.
  bool is_changing_members() const;

  // One line for operators: state, term, indices, members.
  std::string digest() const;
  // Why the log has stopped for good; empty if the log has not stopped.
  const std::string& problem() const;

 private:
  class Node;
  std::unique_ptr<Node> node_;
};

}  // namespace thornwick::replication
