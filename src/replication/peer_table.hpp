// What one replica of a ledger knows of the other replicas: the latest process of each, the position of its
// disk, and the content of its latest hello.
//
// Processes are recorded durably, so that a peer learns when its disk was set back. Positions are written at
// intervals, so that a failure of this router loses at most one interval of them.
#pragma once

#include <map>
#include <string>
#include <string_view>

#include "replication/message.hpp"

namespace thornwick::replication {

struct PeerRecord {
  Process process;
  std::uint64_t durable_mark = 0;  // `process` is durable here once this number is
  Position stored_position;        // of `process`, as last written here
  Time received_at = 0;            // of the latest hello; 0: none since this process started
  Stage stage = Stage::blank;
  Founders founders;
  bool knows_this_process = false;  // has durably recorded the process that runs here
  bool awaits_hello = false;        // before it takes part
};

class PeerTable {
 public:
  using Peers = std::map<std::string, PeerRecord>;  // by router

  // `records` has to outlive the table.
  explicit PeerTable(Records& records) : records_(records) {}

  // Whether a key is of a record of this table, which load() reads.
  static bool owns(std::string_view key);
  // Ignores a record that cannot be read.
  void load(std::string_view key, std::string_view value);

  // Adds an empty record if there is none.
  PeerRecord& record_of(const std::string& router) { return peers_[router]; }
  // Null if the peer is not known.
  const PeerRecord* find(const std::string& router) const;
  // Null if no hello of the peer came recently.
  const PeerRecord* find_recent(const std::string& router, Time now) const;
  Peers& all() { return peers_; }

  // Records a process durably; keeps the position that is known if it runs on the same disk as the last one.
  void set_process(const std::string& router, const Process& process);
  // Raises the position of a replica's disk. Ignored if `id` is not the recorded replica.
  void raise_position(const std::string& router, ReplicaUid id, const Position& position);
  // Writes the positions that have changed.
  void write_positions();
  // Resets `knows_this_process` of all peers, after this replica has got a new id.
  void forget_acknowledgements();

 private:
  Records& records_;
  Peers peers_;
};

}  // namespace thornwick::replication
