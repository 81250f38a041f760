#include "net/peers.hpp"

#include <algorithm>
#include <array>

#include "logging/log.hpp"

namespace sprucecourse::net {

namespace {

Owned<GSocket> bound_to(const std::string& address) {
  const auto own = parse_address(address);
  if (!own) throw NetError("peers: not an address: " + address);
  GError* error = nullptr;
  Owned<GSocket> socket(g_socket_new(g_socket_address_get_family(own.get()), G_SOCKET_TYPE_DATAGRAM,
                                     G_SOCKET_PROTOCOL_UDP, &error));
  if (!socket || !g_socket_bind(socket.get(), own.get(), TRUE, &error)) {
    const std::string why = error->message;
    g_error_free(error);
    throw NetError("peers: cannot listen on " + address + ": " + why);
  }
  return socket;
}

}  // namespace

Peers::Peers(Options options, Said said) : said_(std::move(said)), names_(options.peers) {
  if (options.listen.empty()) return;
  for (const auto& peer : options.peers) addresses_.push_back(parse_address(peer));
  all_ = parse_address(options.all);
  socket_ = options.bound ? std::move(options.bound) : bound_to(options.listen);
  g_socket_set_blocking(socket_.get(), FALSE);
  ++descriptors().held;
  listen(true);
}

void Peers::listen(bool on) {
  watch_.stop();
  if (on && socket_) watch_.start(socket_.get(), G_IO_IN, [this] { readable(); });
}

Peers::~Peers() {
  if (socket_) --descriptors().held;
}

void Peers::tell(std::uint32_t rank, const std::string& message) {
  GSocketAddress* to = rank < addresses_.size() ? addresses_[rank].get() : all_.get();
  if (!socket_ || to == nullptr || message.size() > kMaxDatagram) {
    logging::warning("peers") << "a message of " << message.size() << " bytes was not sent";
    return;
  }
  // It may be lost on the way as well: nobody waits for it.
  g_socket_send_to(socket_.get(), to, message.data(), message.size(), nullptr, nullptr);
}

void Peers::readable() {
  std::array<std::uint8_t, 2048> bytes;
  for (;;) {
    GSocketAddress* raw = nullptr;
    const gssize got = g_socket_receive_from(socket_.get(), &raw, reinterpret_cast<char*>(bytes.data()),
                                             bytes.size(), nullptr, nullptr);
    const Owned<GSocketAddress> from(raw);
    if (got < 0) return;
    const auto at = std::find(names_.begin(), names_.end(), address_text(from.get()));
    if (at == names_.end()) continue;  // no router of this tier
    said_(static_cast<std::uint32_t>(at - names_.begin()),
          std::span<const std::uint8_t>(bytes.data(), static_cast<std::size_t>(got)));
  }
}

}  // namespace sprucecourse::net
