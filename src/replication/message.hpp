// The messages between routers about ledgers: a header with the kind and a MessagePack body.
//
// Bodies are packed by position, so that fields keep their order; a change of layout needs another kVersion.
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

// A message of another version is dropped.
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
  std::uint8_t kind = 0;  // a Kind, or of a later version
  std::uint16_t ledger = 0;
  std::string body;
  MSGPACK_DEFINE(version, kind, ledger, body)
};

// One process on one disk, and the position of that disk. Replicas compare these records to find out whether
// a disk was set back to an earlier state, or copied.
struct Process {
  ReplicaUid id = 0;
  std::uint32_t start_number = 0;  // starts of processes on this disk so far
  std::uint32_t instance_id = 0;   // drawn by the process
  // The latest known position of the disk.
  std::uint64_t term = 0;
  std::uint64_t last_term = 0;
  std::uint64_t last_index = 0;

  bool is_same(const Process& other) const {
    return id == other.id && start_number == other.start_number && instance_id == other.instance_id;
  }
  // Whether `other` is a later process of the same disk, or another process with the same start, which runs
  // on a copy of the disk.
  bool followed_by(const Process& other) const {
    return id == other.id && (other.start_number > start_number ||
                              (other.start_number == start_number && other.instance_id != instance_id));
  }
  Position position() const { return {term, last_term, last_index}; }
  void set_position(const Position& position) {
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
  std::string name;  // of its router
  ReplicaUid id = 0;
  bool operator==(const Founder&) const = default;

  // Packs a pair, because reading a pair rejects an array of any other length.
  template <typename Packer>
  void msgpack_pack(Packer& packer) const {
    packer.pack(std::pair(name, id));
  }
  void msgpack_unpack(const msgpack::object& packed_founder) {
    std::tie(name, id) = packed_founder.as<std::pair<std::string, ReplicaUid>>();
  }
};
using Founders = std::vector<Founder>;

// Sent by each replica to the others of its ledger, at intervals.
struct Hello {
  Process process;
  std::uint8_t stage = 0;  // a Stage
  Founders founders;       // with which the sender founds the ledger, or founded it
  // The receiver's process as the sender has durably recorded it; id 0: not recorded.
  Process receiver_process;
  std::vector<std::string> placed_routers;  // from a leader: the routers on which replicas are placed
  Stage sender_stage() const { return static_cast<Stage>(stage); }
  MSGPACK_DEFINE(process, stage, founders, receiver_process, placed_routers)
};

// A message of the consensus protocol.
struct RaftMessage {
  ReplicaUid from = 0;
  ReplicaUid to = 0;
  // The position of the sender's disk.
  std::uint64_t term = 0;
  std::uint64_t last_term = 0;
  std::uint64_t last_index = 0;
  std::string bytes;
  Position position() const { return {term, last_term, last_index}; }
  MSGPACK_DEFINE(from, to, term, last_term, last_index, bytes)
};

// The response to a lease request that the receiver does not accept, because it does not lead, or because the
// request names a window far ahead.
struct LeaseRejection {
  std::uint64_t number = 0;                  // of the request
  std::string leader;                        // empty: not known
  std::vector<std::string> replica_routers;  // routers with a replica, as far as the sender knows
  bool clock_ahead = false;                  // the requested window is far ahead of the sender's clock
  MSGPACK_DEFINE(number, leader, replica_routers, clock_ahead)
};

// The response to a Correction or a Replacement.
struct OperatorResponse {
  std::uint64_t id = 0;
  bool accepted = false;
  std::string reason;  // of a rejection
  MSGPACK_DEFINE(id, accepted, reason)
};

// Why an operator's request is rejected.
enum class OperatorRejection : std::uint8_t {
  too_many_requests,  // at this router
  clock_ahead,        // the corrected window is far ahead of the leader's clock
  no_room,            // for the account
  unknown_routers     // a replacement does not name two different routers of the group
};
// The reason in an OperatorResponse, and for the operator.
std::string to_string(OperatorRejection rejection);

// An operator's decision that router `new_name` takes over all replica places of router `old_name`.
struct Replacement {
  std::uint64_t id = 0;
  std::string old_name;
  std::string new_name;
  MSGPACK_DEFINE(id, old_name, new_name)
};

// The bytes of a whole message with its header.
template <typename Body>
std::string write(MessageKind kind, std::size_t ledger, const Body& body) {
  return packed(MessageHeader{kVersion, static_cast<std::uint8_t>(kind), static_cast<std::uint16_t>(ledger),
                              packed(body)});
}

}  // namespace thornwick::replication
