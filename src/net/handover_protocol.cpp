#include "net/handover_protocol.hpp"

#include <gio/gunixfdmessage.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <cstdio>
#include <msgpack.hpp>
#include <utility>
#include <vector>

#include "net/clock.hpp"
#include "net/unix_socket.hpp"

namespace thornwick::net {
namespace {

constexpr std::uint32_t kMagic = 0x54574831;         // "TWH1"; another version has another number
constexpr std::uint32_t kMaxOfferBytes = 4'000'000;  // without the head
constexpr std::size_t kMaxSockets = 16;
constexpr Time kOfferTimeout = seconds(1);  // for everything after the head

// FNV-1a, 64 bits.
constexpr std::uint64_t kHashStart = 0xcbf29ce484222325ull;
constexpr std::uint64_t kHashPrime = 0x100000001b3ull;

struct OfferHead {
  std::uint32_t magic = 0;
  std::uint32_t length = 0;  // number of bytes that follow
};

// Everything after the head, as a MessagePack array.
struct Offer {
  std::vector<std::string> names;  // HandoverState's addresses of the sockets, in the descriptors' order
  bool drained = false;
  std::uint64_t held = 0;
  std::string list;
  std::string learned_state;
  MSGPACK_DEFINE(names, drained, held, list, learned_state)
};

// Owns the descriptors that came with a message, and closes those that are not taken.
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
    int* stolen = g_unix_fd_message_steal_fds(message, &length);
    descriptors_.insert(descriptors_.end(), stolen, stolen + length);
    g_free(stolen);
  }

  // The descriptor as a socket that does not block. Throws HandoverError (not_a_socket).
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

// Receives the head and the descriptors, which come together. Throws HandoverError (ended).
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

// Receives the bytes after the head. Throws HandoverError (ended, offer_too_slow).
std::string receive_rest(GSocket* socket, std::size_t size) {
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

}  // namespace

std::string_view to_line(HandoverMessage message) {
  switch (message) {
    case HandoverMessage::serving: return "serving\n";
    case HandoverMessage::handed_over: return "passed on\n";
    case HandoverMessage::yielded: return "yours\n";
    case HandoverMessage::yielded_drained: return "yours, drained\n";
  }
  return {};
}

std::optional<HandoverMessage> parse_handover_line(std::string_view line) {
  for (const HandoverMessage message : {HandoverMessage::serving, HandoverMessage::handed_over,
                                        HandoverMessage::yielded, HandoverMessage::yielded_drained}) {
    if (line == to_line(message)) return message;
  }
  return std::nullopt;
}

std::string_view to_string(HandoverFault fault) {
  switch (fault) {
    case HandoverFault::no_unix_sockets: return "there are no Unix sockets here";
    case HandoverFault::ended: return "it ended";
    case HandoverFault::other_user: return "it is another user's";
    case HandoverFault::other_version: return "it speaks another version";
    case HandoverFault::offer_too_long: return "its offer is too long";
    case HandoverFault::offer_too_slow: return "its offer does not end";
    case HandoverFault::offer_unreadable: return "its offer cannot be read";
    case HandoverFault::not_a_socket: return "it sent what is no socket";
    case HandoverFault::sockets_differ: return "its sockets are not those it names";
  }
  return {};
}

HandoverError::HandoverError(HandoverFault handover_fault)
    : HandoverError(handover_fault, std::string(to_string(handover_fault))) {}

HandoverError::HandoverError(HandoverFault handover_fault, const std::string& text)
    : std::runtime_error(text), fault(handover_fault) {}

std::string handover_path(const std::string& folder, const std::string& name, const std::string& listen) {
  if (folder.empty()) return {};
  std::uint64_t hash = kHashStart;
  std::string identity = name;
  identity += '\n';
  identity += listen;
  for (const char byte : identity) hash = (hash ^ static_cast<unsigned char>(byte)) * kHashPrime;
  std::array<char, 32> file{};
  std::snprintf(file.data(), file.size(), "/thornwick-%016llx", static_cast<unsigned long long>(hash));
  const std::string path = folder + file.data();
  return fits_unix_socket(path) ? path : std::string();
}

HandoverState receive_offer(Owned<GSocket> socket) {
  // Another user's process could wait at the same path; sockets are only taken from one of the same user.
  if (!same_user(socket.get())) throw HandoverError(HandoverFault::other_user);
  ReceivedDescriptors descriptors;
  const OfferHead head = receive_head(socket.get(), descriptors);
  if (head.magic != kMagic) throw HandoverError(HandoverFault::other_version);
  if (head.length > kMaxOfferBytes) throw HandoverError(HandoverFault::offer_too_long);
  Offer offer = unpack_offer(receive_rest(socket.get(), head.length));
  if (offer.names.size() != descriptors.size()) throw HandoverError(HandoverFault::sockets_differ);
  HandoverState handover_state;
  for (std::size_t i = 0; i < offer.names.size(); ++i) {
    handover_state.sockets[offer.names[i]] = descriptors.take_socket(i);
  }
  handover_state.drained = offer.drained;
  handover_state.reserved_descriptors = offer.held;
  handover_state.endpoint_list = std::move(offer.list);
  handover_state.learned_state = std::move(offer.learned_state);
  handover_state.connection = std::move(socket);
  return handover_state;
}

SentOffer send_offer_head(GSocket* socket, const HandoverState& handover_state) {
  Offer offer{.names = {},
              .drained = handover_state.drained,
              .held = handover_state.reserved_descriptors,
              .list = handover_state.endpoint_list,
              .learned_state = handover_state.learned_state};
  const Owned<GSocketControlMessage> descriptors(g_unix_fd_message_new());
  auto* descriptor_message = G_UNIX_FD_MESSAGE(descriptors.get());
  for (const auto& [name, lent] : handover_state.sockets) {
    if (offer.names.size() == kMaxSockets) break;
    if (!g_unix_fd_message_append_fd(descriptor_message, g_socket_get_fd(lent.get()), nullptr)) continue;
    offer.names.push_back(name);
  }
  msgpack::sbuffer packed;
  msgpack::pack(packed, offer);
  OfferHead head{.magic = kMagic, .length = static_cast<std::uint32_t>(packed.size())};
  GOutputVector vector{&head, sizeof(head)};
  GSocketControlMessage* message = descriptors.get();
  const gssize sent = g_socket_send_message(socket, nullptr, &vector, 1, &message, 1, 0, nullptr, nullptr);
  return {.head_sent = sent == sizeof(head),
          .rest = std::string(packed.data(), packed.size()),
          .sockets = offer.names.size()};
}

}  // namespace thornwick::net
