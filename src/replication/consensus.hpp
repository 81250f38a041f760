// One copy of a replicated log: the Raft protocol as implemented by C-Raft, with storage, transport and time
// handed in.
//
// No I/O of its own: records are written and messages sent by the owner, who also says what became durable
// and what time it is. Nothing is sent before the term and the vote that it speaks of are durable (the
// library would have its event loop wait for them instead), and entries are acknowledged when they are
// durable. Work-arounds for faults of the library are in log_matching and in consensus.cpp, each with its
// reason.
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

// Identifies one copy on one disk; 0: none. A copy that lost its disk gets another.
using ReplicaUid = std::uint64_t;

struct LogMember {
  ReplicaUid id = 0;
  std::string name;  // of the router
  bool votes = false;
  bool operator==(const LogMember&) const = default;
};

// How far the log on a disk is.
struct Position {
  std::uint64_t term = 0;       // current one
  std::uint64_t last_term = 0;  // of the last entry
  std::uint64_t last = 0;       // index of the last entry
  // Whether the other has a later term or a later log.
  bool behind(const Position& other) const {
    return term < other.term || last_term < other.last_term ||
           (last_term == other.last_term && last < other.last);
  }
  bool operator==(const Position&) const = default;
  // Takes over what the other has that is later.
  void raise(const Position& other) {
    term = std::max(term, other.term);
    if (std::pair(last_term, last) >= std::pair(other.last_term, other.last)) return;
    last_term = other.last_term;
    last = other.last;
  }
};

// Durable records by key; a later write of a key replaces the earlier one. Writes become durable in their
// order.
struct Records {
  virtual ~Records() = default;
  // Without a value the record is removed.
  virtual void write(std::string key, std::optional<std::string> value) = 0;
  // The number that has to become durable for all that was written so far to be durable.
  virtual std::uint64_t mark() = 0;
};

using Visit = std::function<void(std::string_view key, std::string_view value)>;
// Calls the visitor with each stored record, in the order of their keys.
using StoredRecords = std::function<void(const Visit&)>;

class Consensus {
 public:
  static constexpr std::size_t kMostCommand = std::size_t{48} * 1024;  // bytes

  struct Options {
    ReplicaUid id = 0;
    std::string name;                     // of this router
    Time election = milliseconds(1'200);  // without a leader, until a candidate stands
    Time heartbeat = milliseconds(250);   // between messages of a leader
    unsigned snapshot_every = 4096;       // entries
    unsigned trailing = 512;              // entries kept behind a snapshot, for members that lag
  };

  // What the log needs of its owner; all of it outlives the Consensus.
  struct Dependencies {
    Records& records;
    // A random number; the library draws its election timeouts with it.
    std::function<std::uint64_t()> chance;
    // May lose messages, and may change their order.
    std::function<void(ReplicaUid to, const std::string& name, std::string bytes)> send;
    // The state machine: is given each committed command once, in the order of the log.
    std::function<void(std::string_view command)> apply;
    std::function<std::string()> snapshot;
    // False: the snapshot cannot be read.
    std::function<bool(std::string_view)> restore;
  };

  // Starts from the records of this copy that are on disk; without any, as a copy that waits to be added.
  // Records that cannot be read stop it: see problem().
  Consensus(Options options, Dependencies dependencies, const StoredRecords& stored, Time now);
  ~Consensus();
  Consensus(const Consensus&) = delete;
  Consensus& operator=(const Consensus&) = delete;

  // The records with which a copy begins that founds its log together with all of these members; the same at
  // each of them.
  static std::map<std::string, std::string> founding(std::vector<LogMember> members);
  // Whether a key is of one of a log's own records.
  static bool own(std::string_view key);
  // How far the records of a log are that was not started. Throws where they cannot be decoded.
  static Position position(const StoredRecords& stored);

  // Removes all of its records from the disk; it takes no part afterwards.
  void erase();

  void tick(Time now);
  // `term`: current term of the sender's disk. Bytes that are no message are ignored.
  void on_message(Time now, ReplicaUid from, const std::string& name, std::uint64_t term,
                  std::string_view bytes);
  // All that was written up to this mark is durable.
  void durable(Time now, std::uint64_t number);

  bool leads() const;
  // 0: not known.
  ReplicaUid leader() const;
  // Of what is durable.
  Position position() const;
  // By the latest configuration in the log, committed or not; empty while it does not run.
  std::vector<LogMember> members() const;
  // Index of the last committed entry.
  std::uint64_t committed() const;
  // Index of the last entry.
  std::uint64_t last() const;

  // Appends a command to the log. `done` is called once: with true after `apply`; with false if the command
  // may be lost (it may be applied all the same). Returns false, without a call, if this copy does not lead
  // or the command is larger than kMostCommand.
  bool propose(Time now, std::string_view command, std::function<void(bool)> done);

  // Changes of members, one at a time; false: not now. A member that was added has no vote until it is
  // promoted, for which the library first brings it up to date.
  bool add(Time now, ReplicaUid id, const std::string& name);
  bool promote(Time now, ReplicaUid id);
  bool remove(Time now, ReplicaUid id);
  // A change of members is under way.
  bool changing() const;

  // One line for operators: state, term, indices, members.
  std::string digest() const;
  // Not empty: it has stopped for good, for this reason.
  const std::string& problem() const;

 private:
  class Node;
  std::unique_ptr<Node> node_;
};

}  // namespace thornwick::replication
