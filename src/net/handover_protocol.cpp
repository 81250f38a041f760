#include "net/handover_protocol.hpp"

#include <gio/gunixfdmessage.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <cstdio>
#include <msgpack.hpp>
#include <utility>
#include <vector>

#include "net/clock.hpp"
#include "net/unix_socket.hpp"

namespace thornwick::net {
namespace {

using lifecycle::IdMessage;
using lifecycle::IdNotice;

constexpr std::uint32_t kMagic = 0x54574831;         // "TWH1"; each version of the offer has its own
constexpr std::uint32_t kMaxOfferBytes = 4'000'000;  // of an offer without its head
constexpr std::size_t kMaxSockets = 16;
constexpr Time kOfferTimeout = seconds(1);  // for the bytes after the head

// Constants of FNV-1a with 64 bits.
constexpr std::uint64_t kFnvOffset = 0xcbf29ce484222325ull;
constexpr std::uint64_t kFnvPrime = 0x100000001b3ull;

struct OfferHead {
  std::uint32_t magic = 0;
  std::uint32_t length = 0;  // number of bytes that follow
};

// The bytes after the head: a MessagePack array with these values in this order. Earlier versions send no
// request ids, and ignore them when they read an offer.
struct Offer {
  static constexpr std::uint32_t kFieldsWithoutIds = 5;

  std::vector<std::string> addresses;  // keys of HandoverState::sockets, in the order of the descriptors
  bool drained = false;
  std::uint64_t reserved_descriptors = 0;
  std::string endpoint_list;
  std::string learned_state;
  std::optional<std::vector<std::string>> request_ids;

  template <typename Packer>
  void msgpack_pack(Packer& packer) const {
    packer.pack_array(kFieldsWithoutIds + (request_ids ? 1 : 0));
    packer.pack(addresses);
    packer.pack(drained);
    packer.pack(reserved_descriptors);
    packer.pack(endpoint_list);
    packer.pack(learned_state);
    if (request_ids) packer.pack(*request_ids);
  }
  void msgpack_unpack(const msgpack::object& object) {
    const auto fields = object.as<std::vector<msgpack::object>>();
    fields.at(0).convert(addresses);
    fields.at(1).convert(drained);
    fields.at(2).convert(reserved_descriptors);
    fields.at(3).convert(endpoint_list);
    fields.at(4).convert(learned_state);
    if (fields.size() > kFieldsWithoutIds)
      request_ids = fields[kFieldsWithoutIds].as<std::vector<std::string>>();
  }
};

// Owns the descriptors that came with a message, and closes those that were not taken as sockets.
class ReceivedDescriptors {
 public:
  ReceivedDescriptors() = default;
  ReceivedDescriptors(const ReceivedDescriptors&) = delete;
  ReceivedDescriptors& operator=(const ReceivedDescriptors&) = delete;
  ~ReceivedDescriptors() {
    for (const int descriptor : descriptors_) {
      if (descriptor >= 0) close(descriptor);
    }
  }

  std::size_t size() const { return descriptors_.size(); }

  void add_all(GUnixFDMessage* message) {
    int length = 0;
    int* received = g_unix_fd_message_steal_fds(message, &length);
    descriptors_.insert(descriptors_.end(), received, received + length);
    g_free(received);
  }

  // Returns a non-blocking socket for the descriptor. Throws HandoverError (not_a_socket).
  Owned<GSocket> take_socket(std::size_t index) {
    Owned<GSocket> socket(g_socket_new_from_fd(descriptors_.at(index), nullptr));
    if (!socket) throw HandoverError(HandoverFault::not_a_socket);
    descriptors_[index] = -1;
    g_socket_set_blocking(socket.get(), FALSE);
    return socket;
  }

 private:
  std::vector<int> descriptors_;
};

HandoverError connection_error(const GLibError& error) {
  return {HandoverFault::ended, error.message(std::string(to_string(HandoverFault::ended)).c_str())};
}

// Receives the head and the descriptors, which the old process sends together. Throws HandoverError (ended).
OfferHead receive_head(GSocket* socket, ReceivedDescriptors& descriptors) {
  OfferHead head;
  GInputVector vector{&head, sizeof(head)};
  GSocketControlMessage** messages = nullptr;
  int count = 0;
  int flags = 0;
  GLibError error;
  const gssize received =
      g_socket_receive_message(socket, nullptr, &vector, 1, &messages, &count, &flags, nullptr, error.out());
  for (int i = 0; i < count; ++i) {
    const Owned<GSocketControlMessage> message(messages[i]);
    if (G_IS_UNIX_FD_MESSAGE(message.get())) descriptors.add_all(G_UNIX_FD_MESSAGE(message.get()));
  }
  g_free(messages);
  if (received != sizeof(head)) throw connection_error(error);
  return head;
}

// Receives the `size` bytes after the head. Throws HandoverError (ended, offer_too_slow).
std::string receive_bytes(GSocket* socket, std::size_t size) {
  std::string bytes(size, '\0');
  const Time deadline = now_us() + kOfferTimeout;
  for (std::size_t position = 0; position < size;) {
    if (now_us() > deadline) throw HandoverError(HandoverFault::offer_too_slow);
    GLibError error;
    const gssize received =
        g_socket_receive(socket, bytes.data() + position, size - position, nullptr, error.out());
    if (received <= 0) throw connection_error(error);
    position += static_cast<std::size_t>(received);
  }
  return bytes;
}

Offer unpack_offer(const std::string& bytes) {
  try {
    return msgpack::unpack(bytes.data(), bytes.size()).get().as<Offer>();
  } catch (const std::exception&) {
    throw HandoverError(HandoverFault::offer_unreadable);
  }
}

constexpr std::array kIdNotices = {IdNotice::held,    IdNotice::released, IdNotice::retained,
                                   IdNotice::claimed, IdNotice::granted,  IdNotice::denied};

// The first word of the line of a message about a request id.
std::string_view word_of(IdNotice notice) {
  switch (notice) {
    case IdNotice::held: return "id-held";
    case IdNotice::released: return "id-released";
    case IdNotice::retained: return "id-retained";
    case IdNotice::claimed: return "id-claimed";
    case IdNotice::granted: return "id-granted";
    case IdNotice::denied: return "id-denied";
  }
  return {};
}

// The first word of the line of a message about an account.
std::string_view word_of(AccountMessage::Kind kind) {
  return kind == AccountMessage::Kind::state ? "account-state" : "account-used";
}

// Takes the text before the next space, and that space; all of the text if there is none.
std::string_view take_word(std::string_view& text) {
  const std::string_view word = text.substr(0, text.find(' '));
  text.remove_prefix(std::min(text.size(), word.size() + 1));
  return word;
}

}  // namespace

std::string_view to_line(HandoverMessage message) {
  switch (message) {
    case HandoverMessage::share_ids: return "share ids\n";
    case HandoverMessage::serving: return "serving\n";
    case HandoverMessage::handed_over: return "passed on\n";
    case HandoverMessage::shares_accounts: return "shares accounts\n";
    case HandoverMessage::yielded: return "yours\n";
    case HandoverMessage::yielded_drained: return "yours, drained\n";
  }
  return {};
}

std::optional<HandoverMessage> parse_handover_line(std::string_view line) {
  for (const HandoverMessage message :
       {HandoverMessage::serving, HandoverMessage::handed_over, HandoverMessage::yielded,
        HandoverMessage::yielded_drained, HandoverMessage::share_ids, HandoverMessage::shares_accounts}) {
    if (line == to_line(message)) return message;
  }
  return std::nullopt;
}

std::string to_line(const IdMessage& message) {
  std::string line(word_of(message.notice));
  line += ' ';
  line += message.id;
  line += '\n';
  return line;
}

std::optional<IdMessage> parse_id_line(std::string_view line) {
  const auto space = line.find(' ');
  if (space == std::string_view::npos || !line.ends_with('\n')) return std::nullopt;
  for (const IdNotice notice : kIdNotices) {
    if (line.substr(0, space) != word_of(notice)) continue;
    return IdMessage{notice, std::string(line.substr(space + 1, line.size() - space - 2))};
  }
  return std::nullopt;
}

std::string to_line(const AccountMessage& message) {
  if (message.key.empty() || message.key.size() > kMaxAccountKey ||
      message.key.find('\n') != std::string::npos)
    return {};
  std::string line(word_of(message.kind));
  for (const std::int64_t number : {message.units, message.limit, message.time})
    line += ' ' + std::to_string(number);
  return line + ' ' + message.key + '\n';
}

std::optional<AccountMessage> parse_account_line(std::string_view line) {
  AccountMessage message;
  if (!line.ends_with('\n')) return std::nullopt;
  line.remove_suffix(1);
  const auto word = take_word(line);
  if (word == word_of(AccountMessage::Kind::used)) {
    message.kind = AccountMessage::Kind::used;
  } else if (word != word_of(AccountMessage::Kind::state)) {
    return std::nullopt;
  }
  for (std::int64_t* number : {&message.units, &message.limit, &message.time}) {
    const std::string_view digits = take_word(line);
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), *number);
    if (error != std::errc{} || end != digits.data() + digits.size()) return std::nullopt;
  }
  if (line.empty()) return std::nullopt;
  message.key = line;
  return message;
}

std::optional<std::string> HandoverLineReader::next() {
  const auto end = received_.find('\n');
  if (end == std::string::npos) return std::nullopt;
  std::string line = received_.substr(0, end + 1);
  received_.erase(0, end + 1);
  return line;
}

std::string_view to_string(HandoverFault fault) {
  switch (fault) {
    case HandoverFault::no_unix_sockets: return "the system does not provide Unix sockets";
    case HandoverFault::ended: return "the connection ended";
    case HandoverFault::other_user: return "the other process belongs to another user";
    case HandoverFault::other_version: return "the offer is of another version";
    case HandoverFault::offer_too_long: return "the offer is too long";
    case HandoverFault::offer_too_slow: return "the offer did not arrive in time";
    case HandoverFault::offer_unreadable: return "the offer is malformed";
    case HandoverFault::not_a_socket: return "a descriptor of the offer is not a socket";
    case HandoverFault::sockets_differ: return "the numbers of descriptors and of addresses differ";
  }
  return {};
}

HandoverError::HandoverError(HandoverFault handover_fault)
    : HandoverError(handover_fault, std::string(to_string(handover_fault))) {}

HandoverError::HandoverError(HandoverFault handover_fault, const std::string& text)
    : std::runtime_error(text), fault(handover_fault) {}

std::string handover_path(const std::string& folder, const std::string& name, const std::string& listen) {
  if (folder.empty()) return {};
  std::uint64_t hash = kFnvOffset;
  std::string identity = name;
  identity += '\n';
  identity += listen;
  for (const char byte : identity) hash = (hash ^ static_cast<unsigned char>(byte)) * kFnvPrime;
  std::array<char, 32> file{};
  std::snprintf(file.data(), file.size(), "/thornwick-%016llx", static_cast<unsigned long long>(hash));
  const std::string path = folder + file.data();
  return fits_unix_socket(path) ? path : std::string();
}

HandoverState receive_offer(Owned<GSocket> socket) {
  // A process of another user could wait at the same path. Sockets are accepted from the same user only.
  if (!same_user(socket.get())) throw HandoverError(HandoverFault::other_user);
  ReceivedDescriptors descriptors;
  const OfferHead head = receive_head(socket.get(), descriptors);
  if (head.magic != kMagic) throw HandoverError(HandoverFault::other_version);
  if (head.length > kMaxOfferBytes) throw HandoverError(HandoverFault::offer_too_long);
  Offer offer = unpack_offer(receive_bytes(socket.get(), head.length));
  if (offer.addresses.size() != descriptors.size()) throw HandoverError(HandoverFault::sockets_differ);
  HandoverState handover_state;
  for (std::size_t i = 0; i < offer.addresses.size(); ++i) {
    handover_state.sockets[offer.addresses[i]] = descriptors.take_socket(i);
  }
  handover_state.drained = offer.drained;
  handover_state.reserved_descriptors = offer.reserved_descriptors;
  handover_state.endpoint_list = std::move(offer.endpoint_list);
  handover_state.learned_state = std::move(offer.learned_state);
  handover_state.request_ids = std::move(offer.request_ids);
  handover_state.connection = std::move(socket);
  return handover_state;
}

SentOffer send_offer_head(GSocket* socket, const HandoverState& handover_state) {
  Offer offer{.addresses = {},
              .drained = handover_state.drained,
              .reserved_descriptors = handover_state.reserved_descriptors,
              .endpoint_list = handover_state.endpoint_list,
              .learned_state = handover_state.learned_state,
              .request_ids = handover_state.request_ids};
  const Owned<GSocketControlMessage> descriptors(g_unix_fd_message_new());
  auto* descriptor_message = G_UNIX_FD_MESSAGE(descriptors.get());
  for (const auto& [address, listening] : handover_state.sockets) {
    if (offer.addresses.size() == kMaxSockets) break;
    if (!g_unix_fd_message_append_fd(descriptor_message, g_socket_get_fd(listening.get()), nullptr)) continue;
    offer.addresses.push_back(address);
  }
  msgpack::sbuffer packed;
  msgpack::pack(packed, offer);
  OfferHead head{.magic = kMagic, .length = static_cast<std::uint32_t>(packed.size())};
  GOutputVector vector{&head, sizeof(head)};
  GSocketControlMessage* message = descriptors.get();
  const gssize sent = g_socket_send_message(socket, nullptr, &vector, 1, &message, 1, 0, nullptr, nullptr);
  return {.head_sent = sent == sizeof(head),
          .unsent_bytes = std::string(packed.data(), packed.size()),
          .socket_count = offer.addresses.size()};
}

}  // namespace thornwick::net
