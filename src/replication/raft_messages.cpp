#include "replication/raft_messages.hpp"

#include <type_traits>
#include <utility>

#include "replication/message_pack.hpp"

namespace thornwick::replication {
namespace {

// The layout of every type on the wire. The meaning of a numbered field depends on the type: see the
// map_fields() overloads below.
struct WireMessage {
  std::uint16_t type = 0;
  std::uint64_t term = 0;
  std::uint64_t number1 = 0;
  std::uint64_t number2 = 0;
  std::uint64_t number3 = 0;
  bool flag = false;
  bool pre_vote = false;
  int pre_vote_result = 0;
  std::vector<StoredEntry> entries;
  std::vector<StoredServer> servers;
  std::string data;
  MSGPACK_DEFINE(type, term, number1, number2, number3, flag, pre_vote, pre_vote_result, entries, servers,
                 data)
};

// Each map_fields() calls `copy(field, other_field)` for each field of a message and the corresponding field
// of the message's other form, which is the wire layout or C-Raft's struct. `copy` copies in one direction,
// so that one list of fields serves reading and writing. Fields that own memory, or that have to be checked,
// are handled by read_owned(), fill_owned() and is_valid() below.
template <typename Copy>
void map_fields(AppendEntries& message, WireMessage& wire, Copy copy) {
  copy(message.term, wire.term);
  copy(message.prev_log_index, wire.number1);
  copy(message.prev_log_term, wire.number2);
  copy(message.leader_commit, wire.number3);
  copy(message.entries, wire.entries);
}

template <typename Copy>
void map_fields(AppendEntriesResult& message, WireMessage& wire, Copy copy) {
  copy(message.term, wire.term);
  copy(message.rejected, wire.number1);
  copy(message.last_log_index, wire.number2);
}

template <typename Copy>
void map_fields(RequestVote& message, WireMessage& wire, Copy copy) {
  copy(message.term, wire.term);
  copy(message.candidate_id, wire.number1);
  copy(message.last_log_index, wire.number2);
  copy(message.last_log_term, wire.number3);
  copy(message.disrupt_leader, wire.flag);
  copy(message.pre_vote, wire.pre_vote);
}

template <typename Copy>
void map_fields(RequestVoteResult& message, WireMessage& wire, Copy copy) {
  copy(message.term, wire.term);
  copy(message.vote_granted, wire.flag);
  copy(message.pre_vote, wire.pre_vote_result);
}

template <typename Copy>
void map_fields(InstallSnapshot& message, WireMessage& wire, Copy copy) {
  copy(message.term, wire.term);
  copy(message.last_index, wire.number1);
  copy(message.last_term, wire.number2);
  copy(message.configuration_index, wire.number3);
  copy(message.servers, wire.servers);
  copy(message.data, wire.data);
}

template <typename Copy>
void map_fields(TimeoutNow& message, WireMessage& wire, Copy copy) {
  copy(message.term, wire.term);
  copy(message.last_log_index, wire.number1);
  copy(message.last_log_term, wire.number2);
}

template <typename Copy>
void map_fields(AppendEntries& message, raft_append_entries& body, Copy copy) {
  copy(message.term, body.term);
  copy(message.prev_log_index, body.prev_log_index);
  copy(message.prev_log_term, body.prev_log_term);
  copy(message.leader_commit, body.leader_commit);
}

template <typename Copy>
void map_fields(AppendEntriesResult& message, raft_append_entries_result& body, Copy copy) {
  copy(message.term, body.term);
  copy(message.rejected, body.rejected);
  copy(message.last_log_index, body.last_log_index);
}

template <typename Copy>
void map_fields(RequestVote& message, raft_request_vote& body, Copy copy) {
  copy(message.term, body.term);
  copy(message.candidate_id, body.candidate_id);
  copy(message.last_log_index, body.last_log_index);
  copy(message.last_log_term, body.last_log_term);
  copy(message.disrupt_leader, body.disrupt_leader);
  copy(message.pre_vote, body.pre_vote);
}

template <typename Copy>
void map_fields(RequestVoteResult& message, raft_request_vote_result& body, Copy copy) {
  copy(message.term, body.term);
  copy(message.vote_granted, body.vote_granted);
  copy(message.pre_vote, body.pre_vote);
}

template <typename Copy>
void map_fields(InstallSnapshot& message, raft_install_snapshot& body, Copy copy) {
  copy(message.term, body.term);
  copy(message.last_index, body.last_index);
  copy(message.last_term, body.last_term);
  copy(message.configuration_index, body.conf_index);
}

template <typename Copy>
void map_fields(TimeoutNow& message, raft_timeout_now& body, Copy copy) {
  copy(message.term, body.term);
  copy(message.last_log_index, body.last_log_index);
  copy(message.last_log_term, body.last_log_term);
}

// The two directions of map_fields().
constexpr auto kCopyFrom = [](auto& field, auto& other) {
  field = static_cast<std::remove_reference_t<decltype(field)>>(std::move(other));
};
constexpr auto kCopyTo = [](auto& field, auto& other) {
  other = static_cast<std::remove_reference_t<decltype(other)>>(std::move(field));
};

// The type of a message in C-Raft and on the wire, and its struct in C-Raft's union.
template <typename Message>
struct MessageTraits;

template <>
struct MessageTraits<AppendEntries> {
  static constexpr int kType = RAFT_IO_APPEND_ENTRIES;
  static constexpr auto kBody = &raft_message::append_entries;
};
template <>
struct MessageTraits<AppendEntriesResult> {
  static constexpr int kType = RAFT_IO_APPEND_ENTRIES_RESULT;
  static constexpr auto kBody = &raft_message::append_entries_result;
};
template <>
struct MessageTraits<RequestVote> {
  static constexpr int kType = RAFT_IO_REQUEST_VOTE;
  static constexpr auto kBody = &raft_message::request_vote;
};
template <>
struct MessageTraits<RequestVoteResult> {
  static constexpr int kType = RAFT_IO_REQUEST_VOTE_RESULT;
  static constexpr auto kBody = &raft_message::request_vote_result;
};
template <>
struct MessageTraits<InstallSnapshot> {
  static constexpr int kType = RAFT_IO_INSTALL_SNAPSHOT;
  static constexpr auto kBody = &raft_message::install_snapshot;
};
template <>
struct MessageTraits<TimeoutNow> {
  static constexpr int kType = RAFT_IO_TIMEOUT_NOW;
  static constexpr auto kBody = &raft_message::timeout_now;
};

// Calls `read` with an empty message of this type. Returns none for a type that is not in ProtocolMessage.
template <typename Read>
std::optional<ProtocolMessage> read_by_type(int type, Read read) {
  switch (type) {
    case RAFT_IO_APPEND_ENTRIES: return read(AppendEntries{});
    case RAFT_IO_APPEND_ENTRIES_RESULT: return read(AppendEntriesResult{});
    case RAFT_IO_REQUEST_VOTE: return read(RequestVote{});
    case RAFT_IO_REQUEST_VOTE_RESULT: return read(RequestVoteResult{});
    case RAFT_IO_INSTALL_SNAPSHOT: return read(InstallSnapshot{});
    case RAFT_IO_TIMEOUT_NOW: return read(TimeoutNow{});
    default: return std::nullopt;
  }
}

template <typename Message, typename Body>
void read_owned(Message&, const Body&) {}

void read_owned(AppendEntries& message, const raft_append_entries& body) {
  message.entries = stored_entries(body.entries, body.n_entries);
}

void read_owned(InstallSnapshot& message, const raft_install_snapshot& body) {
  message.servers = servers_of(body.conf);
  message.data = std::string(bytes_of(body.data));
}

template <typename Message, typename Body>
void fill_owned(Body&, const Message&) {}

void fill_owned(raft_append_entries& body, const AppendEntries& message) {
  body.entries = raft_entries_of(message.entries);
  body.n_entries = static_cast<unsigned>(message.entries.size());
}

void fill_owned(raft_install_snapshot& body, const InstallSnapshot& message) {
  fill_configuration(body.conf, message.servers);
  body.data = raft_buffer_of(message.data);
}

// Whether all fields of the wire layout are in their range. Only the result of a pre-vote has a range.
template <typename Message>
bool is_valid(const WireMessage& wire) {
  if constexpr (!std::is_same_v<Message, RequestVoteResult>) return true;
  return wire.pre_vote_result >= raft_tribool_unknown && wire.pre_vote_result <= raft_tribool_false;
}

}  // namespace

std::optional<ProtocolMessage> protocol_message(const raft_message& message) {
  return read_by_type(message.type, [&message](auto typed) -> std::optional<ProtocolMessage> {
    auto body = message.*MessageTraits<decltype(typed)>::kBody;
    map_fields(typed, body, kCopyFrom);
    read_owned(typed, body);
    return typed;
  });
}

void fill_raft_message(raft_message& message, ProtocolMessage body) {
  std::visit(
      [&message](auto& typed) {
        using Traits = MessageTraits<std::remove_reference_t<decltype(typed)>>;
        message.type = Traits::kType;
        auto& raft_body = message.*Traits::kBody;
        raft_body = {};
        fill_owned(raft_body, typed);
        map_fields(typed, raft_body, kCopyTo);
      },
      body);
}

std::string encode(ProtocolMessage message) {
  WireMessage wire;
  std::visit(
      [&wire](auto& typed) {
        wire.type = MessageTraits<std::remove_reference_t<decltype(typed)>>::kType;
        map_fields(typed, wire, kCopyTo);
      },
      message);
  return packed(wire);
}

std::optional<ProtocolMessage> decode_message(std::string_view bytes) {
  auto wire = read<WireMessage>(bytes);
  if (!wire) return std::nullopt;
  return read_by_type(wire->type, [&wire](auto typed) -> std::optional<ProtocolMessage> {
    if (!is_valid<decltype(typed)>(*wire)) return std::nullopt;
    map_fields(typed, *wire, kCopyFrom);
    return typed;
  });
}

}  // namespace thornwick::replication
