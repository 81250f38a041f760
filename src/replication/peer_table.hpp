// The other replicas of a ledger as one replica knows them: the latest process of each, the log position on
// its disk, and the content of its latest hello.
//
// Processes are recorded durably, so that a peer can detect that its disk was set back. Positions are written
// at intervals, so that a failure of this router loses the positions of one interval at most.
#pragma once

#include <map>
#include <string>
#include <string_view>

#include "replication/message.hpp"

namespace thornwick::replication {

struct PeerRecord {
  Process process;
  std::uint64_t process_write_number = 0;  // write number with which `process` is durable here
  LogPosition stored_position;             // position of `process` that was last written here
  Time received_at = 0;                    // time of the latest hello; 0: none since this process started
  Stage stage = Stage::blank;
  Founders founders;
  bool knows_this_process = false;  // the peer has durably recorded this replica's process
  bool needs_response = false;      // the peer is not a member yet, and has sent a hello that is not answered
};

class PeerTable {
 public:
  using Peers = std::map<std::string, PeerRecord>;  // by router

  // `records` has to outlive the table.
  explicit PeerTable(Records& records) : records_(records) {}

  // Whether a record with this key belongs to this table, so that load() reads the record.
  static bool owns(std::string_view key);
  // Takes over a stored record. Ignores a record that cannot be decoded.
  void load(std::string_view key, std::string_view value);

  // Returns the record of a router, after adding an empty one if there is none.
  PeerRecord& record_of(const std::string& router) { return peers_[router]; }
  // Returns null if the peer is not known.
  const PeerRecord* find(const std::string& router) const;
  // Returns null if no hello of the peer came recently.
  const PeerRecord* find_recent(const std::string& router, Time now) const;
  Peers& all() { return peers_; }

  // Records a process durably. Keeps the known position if the process runs on the same disk as the recorded
  // one.
  void set_process(const std::string& router, const Process& process);
  // Raises the log position on a replica's disk. Does nothing if `id` is not the recorded replica.
  void raise_position(const std::string& router, ReplicaUid id, const LogPosition& position);
  // Writes the positions that have changed.
  void write_positions();
  // Resets `knows_this_process` of all peers, after this replica has got a new id.
  void forget_acknowledgements();

 private:
  Records& records_;
  Peers peers_;
};

}  // namespace thornwick::replication
