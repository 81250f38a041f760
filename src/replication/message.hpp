// The messages between routers about ledgers: a header with the kind, and a MessagePack body.
//
// Bodies are packed by position, so fields must keep their order; a change of layout needs another kVersion.
#pragma once

#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "replication/consensus.hpp"
#include "replication/ledger.hpp"
#include "replication/message_pack.hpp"

namespace thornwick::replication {

// The version of the messages. A message of another version is dropped.
inline constexpr std::uint8_t kVersion = 1;

// Replicas send each other hello and raft. A quota lease client sends lease_request, correction and
// replacement to a leader; the leader responds with lease_response, lease_rejection and operator_response.
enum class MessageKind : std::uint8_t {
  hello,
  raft,
  lease_request,
  lease_response,
  lease_rejection,
  correction,
  operator_response,
  replacement
};

struct MessageHeader {
  std::uint8_t version = kVersion;
  std::uint8_t kind = 0;  // a MessageKind, or a kind of a later version
  std::uint16_t ledger = 0;
  std::string body;
  MSGPACK_DEFINE(version, kind, ledger, body)
};

// One process on one disk, and the log position on that disk. Replicas compare these records to detect that a
// disk was set back to an earlier state, or copied.
struct Process {
  ReplicaUid id = 0;
  std::uint32_t start_number = 0;  // number of this process's start on this disk, from 1
  std::uint32_t instance_id = 0;   // random number of the process
  // The latest known log position on the disk.
  std::uint64_t term = 0;
  std::uint64_t last_term = 0;
  std::uint64_t last_index = 0;

  bool is_same(const Process& other) const {
    return id == other.id && start_number == other.start_number && instance_id == other.instance_id;
  }
  // Whether `other` is a later process of the same disk, or another process with the same start number, which
  // runs on a copy of the disk.
  bool is_followed_by(const Process& other) const {
    return id == other.id && (other.start_number > start_number ||
                              (other.start_number == start_number && other.instance_id != instance_id));
  }
  LogPosition position() const { return {term, last_term, last_index}; }
  void set_position(const LogPosition& position) {
    term = position.term;
    last_term = position.last_term;
    last_index = position.last_index;
  }
  MSGPACK_DEFINE(id, start_number, instance_id, term, last_term, last_index)
};

// The stages in which a replica joins its ledger; see LedgerReplica.
enum class Stage : std::uint8_t { blank, founding, entering, member };

// A replica that founds a ledger together with others.
struct Founder {
  std::string name;  // name of the replica's router
  ReplicaUid id = 0;
  bool operator==(const Founder&) const = default;

  // Packs a pair, because a pair is not read from an array of any other length.
  template <typename Packer>
  void msgpack_pack(Packer& packer) const {
    packer.pack(std::pair(name, id));
  }
  void msgpack_unpack(const msgpack::object& packed_founder) {
    std::tie(name, id) = packed_founder.as<std::pair<std::string, ReplicaUid>>();
  }
};
using Founders = std::vector<Founder>;

// A message that each replica sends to the other replicas of its ledger at intervals.
struct Hello {
  Process process;
  std::uint8_t stage = 0;  // a Stage
  Founders founders;       // the replicas that found, or have founded, the ledger, as known to the sender
  // The receiver's process that the sender has durably recorded; id 0: none.
  Process receiver_process;
  std::vector<std::string> placed_routers;  // routers on which replicas are placed; only from a leader
  Stage sender_stage() const { return static_cast<Stage>(stage); }
  MSGPACK_DEFINE(process, stage, founders, receiver_process, placed_routers)
};

// A message of the consensus protocol from one replica to another.
struct RaftMessage {
  ReplicaUid from = 0;
  ReplicaUid to = 0;
  // The log position on the sender's disk.
  std::uint64_t term = 0;
  std::uint64_t last_term = 0;
  std::uint64_t last_index = 0;
  std::string bytes;
  LogPosition position() const { return {term, last_term, last_index}; }
  MSGPACK_DEFINE(from, to, term, last_term, last_index, bytes)
};

// The response to a lease request that the receiver does not accept, because the receiver does not lead, or
// because the request names a window far ahead.
struct LeaseRejection {
  std::uint64_t number = 0;                  // number of the request
  std::string leader;                        // name of the leader's router; empty: not known
  std::vector<std::string> replica_routers;  // routers with a replica, as far as the sender knows
  bool clock_ahead = false;                  // the requested window is far ahead of the sender's clock
  MSGPACK_DEFINE(number, leader, replica_routers, clock_ahead)
};

// The response to a Correction or a Replacement.
struct OperatorResponse {
  std::uint64_t id = 0;
  bool accepted = false;
  std::string reason;  // reason of a rejection
  MSGPACK_DEFINE(id, accepted, reason)
};

// Why an operator's request is rejected.
enum class OperatorRejection : std::uint8_t {
  too_many_requests,  // too many requests are open at this router
  clock_ahead,        // the corrected window is far ahead of the leader's clock
  no_room,            // the ledger has no room for the account
  unknown_routers     // a replacement does not name two different routers of the group
};
// The reason as written in an OperatorResponse and shown to the operator.
std::string to_string(OperatorRejection rejection);

// An operator's decision that router `new_name` takes over all replica places of router `old_name`.
struct Replacement {
  std::uint64_t id = 0;
  std::string old_name;
  std::string new_name;
  MSGPACK_DEFINE(id, old_name, new_name)
};

// Encodes a message with its header.
template <typename Body>
std::string write(MessageKind kind, std::size_t ledger, const Body& body) {
  return packed(MessageHeader{kVersion, static_cast<std::uint8_t>(kind), static_cast<std::uint16_t>(ledger),
                              packed(body)});
}

}  // namespace thornwick::replication
