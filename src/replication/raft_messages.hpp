// The messages of the consensus protocol in three forms: typed structs, bytes between routers, and C-Raft's
// struct.
//
// All types share one layout on the wire (WireMessage in raft_messages.cpp), which must not change. The names
// of fields are those of the Raft paper (Ongaro and Ousterhout, "In Search of an Understandable Consensus
// Algorithm", 2014) and of the library.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "replication/log_records.hpp"
#include "replication/raft_memory.hpp"

namespace thornwick::replication {

struct AppendEntries {
  std::uint64_t term = 0;
  std::uint64_t prev_log_index = 0;
  std::uint64_t prev_log_term = 0;
  std::uint64_t leader_commit = 0;
  std::vector<StoredEntry> entries;
};
struct AppendEntriesResult {
  std::uint64_t term = 0;
  std::uint64_t rejected = 0;  // index of the entry that did not match; 0: accepted
  std::uint64_t last_log_index = 0;
};
struct RequestVote {
  std::uint64_t term = 0;
  std::uint64_t candidate_id = 0;
  std::uint64_t last_log_index = 0;
  std::uint64_t last_log_term = 0;
  bool disrupt_leader = false;
  bool pre_vote = false;
};
struct RequestVoteResult {
  std::uint64_t term = 0;
  bool vote_granted = false;
  raft_tribool pre_vote = raft_tribool_unknown;
};
struct InstallSnapshot {
  std::uint64_t term = 0;
  std::uint64_t last_index = 0;
  std::uint64_t last_term = 0;
  std::uint64_t configuration_index = 0;
  std::vector<StoredServer> servers;
  std::string data;
};
struct TimeoutNow {
  std::uint64_t term = 0;
  std::uint64_t last_log_index = 0;
  std::uint64_t last_log_term = 0;
};

using ProtocolMessage = std::variant<AppendEntries, AppendEntriesResult, RequestVote, RequestVoteResult,
                                     InstallSnapshot, TimeoutNow>;

// Copies the library's message. Returns none for a type that is not in ProtocolMessage.
std::optional<ProtocolMessage> protocol_message(const raft_message& message);
// Sets the type and the body of `message`; the caller sets the sender. The library frees the memory that the
// body points to.
void fill_raft_message(raft_message& message, ProtocolMessage body);

std::string encode(ProtocolMessage message);
// Decodes the bytes of encode(). Returns none if the bytes cannot be decoded.
std::optional<ProtocolMessage> decode_message(std::string_view bytes);

}  // namespace thornwick::replication
