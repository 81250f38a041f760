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

constexpr std::uint32_t kMark = 0x54574831;          // "TWH1": a later version has another one
constexpr std::uint32_t kMaxOfferBytes = 4'000'000;  // without the head
constexpr std::size_t kMaxSockets = 16;
constexpr Time kOfferLimit = seconds(1);  // for all that follows the head
constexpr const char* kEnded = "it ended";

// FNV-1a, 64 bits.
constexpr std::uint64_t kHashStart = 0xcbf29ce484222325ull;
constexpr std::uint64_t kHashPrime = 0x100000001b3ull;

struct OfferHead {
  std::uint32_t mark = 0;
  std::uint32_t length = 0;  // bytes that follow
};

struct Offer {
  std::vector<std::string> names;  // of the descriptors, in their order
  bool drained = false;
  std::uint64_t held = 0;
  std::string list;
  std::string learned_state;
  MSGPACK_DEFINE(names, drained, held, list, learned_state)
};

// Descriptors that came with a message; those that nobody takes are closed.
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

  // As a socket that does not block.
  Owned<GSocket> take_socket(std::size_t index) {
    Owned<GSocket> socket(g_socket_new_from_fd(descriptors_.at(index), nullptr));
    if (!socket) throw HandoverError("it sent what is no socket");
    descriptors_[index] = -1;
    g_socket_set_blocking(socket.get(), FALSE);
    return socket;
  }

 private:
  std::vector<int> descriptors_;
};

// The head comes with the descriptors.
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
  if (received != sizeof(head)) throw HandoverError(error.message(kEnded));
  return head;
}

std::string receive_rest(GSocket* socket, std::size_t size) {
  std::string bytes(size, '\0');
  const Time limit = now_us() + kOfferLimit;
  for (std::size_t position = 0; position < size;) {
    if (now_us() > limit) throw HandoverError("its offer does not end");
    GLibError error;
    const gssize received =
        g_socket_receive(socket, bytes.data() + position, size - position, nullptr, error.out());
    if (received <= 0) throw HandoverError(error.message(kEnded));
    position += static_cast<std::size_t>(received);
  }
  return bytes;
}

Offer unpack_offer(const std::string& bytes) {
  try {
    return msgpack::unpack(bytes.data(), bytes.size()).get().as<Offer>();
  } catch (const std::exception&) {
    throw HandoverError("its offer cannot be read");
  }
}

}  // namespace

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
  // Guards against another user's process behind the same path: sockets are handed over only within one user.
  if (!same_user(socket.get())) throw HandoverError("it is another user's");
  ReceivedDescriptors descriptors;
  const OfferHead head = receive_head(socket.get(), descriptors);
  if (head.mark != kMark) throw HandoverError("it speaks another version");
  if (head.length > kMaxOfferBytes) throw HandoverError("its offer is too long");
  Offer offer = unpack_offer(receive_rest(socket.get(), head.length));
  if (offer.names.size() != descriptors.size()) throw HandoverError("its sockets are not those it names");
  HandoverState handover_state;
  for (std::size_t i = 0; i < offer.names.size(); ++i) {
    handover_state.sockets[offer.names[i]] = descriptors.take_socket(i);
  }
  handover_state.drained = offer.drained;
  handover_state.held = offer.held;
  handover_state.list = std::move(offer.list);
  handover_state.learned_state = std::move(offer.learned_state);
  handover_state.line = std::move(socket);
  return handover_state;
}

SentOffer send_offer_head(GSocket* socket, const HandoverState& handover_state) {
  Offer offer{.names = {},
              .drained = handover_state.drained,
              .held = handover_state.held,
              .list = handover_state.list,
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
  OfferHead head{.mark = kMark, .length = static_cast<std::uint32_t>(packed.size())};
  GOutputVector vector{&head, sizeof(head)};
  GSocketControlMessage* message = descriptors.get();
  const gssize sent = g_socket_send_message(socket, nullptr, &vector, 1, &message, 1, 0, nullptr, nullptr);
  return {.head_sent = sent == sizeof(head),
          .rest = std::string(packed.data(), packed.size()),
          .sockets = offer.names.size()};
}

}  // namespace thornwick::net
