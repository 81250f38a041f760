#include "net/listener.hpp"

#include <sys/socket.h>

#include <utility>

#include "logging/log.hpp"
#include "net/net_error.hpp"

namespace thornwick::net {
namespace {

constexpr Time kAcceptPause = milliseconds(50);
constexpr int kBacklog = 512;
constexpr int kMaxAcceptsPerRound = 64;  // bounds the time that accepting takes from other work of the loop

Owned<GSocket> listen_at(const std::string& address, AddressUse use) {
  const auto parsed = parse_address(address);
  if (!parsed) throw NetError("not an address to listen on: " + address);
  GLibError error;
  Owned<GSocket> socket(g_socket_new(g_socket_address_get_family(parsed.get()), G_SOCKET_TYPE_STREAM,
                                     G_SOCKET_PROTOCOL_TCP, error.out()));
  if (socket) {
    g_socket_set_blocking(socket.get(), FALSE);
    g_socket_set_listen_backlog(socket.get(), kBacklog);
    if (use == AddressUse::shared) g_socket_set_option(socket.get(), SOL_SOCKET, SO_REUSEPORT, 1, nullptr);
    if (g_socket_bind(socket.get(), parsed.get(), TRUE, error.out())) {
      g_socket_listen(socket.get(), error.out());
    }
  }
  if (error) throw NetError("cannot listen on " + address + ": " + error.message());
  return socket;
}

}  // namespace

Listener::Listener(const std::string& address, std::function<bool()> has_room, Accepted accepted,
                   AddressUse use)
    : Listener(listen_at(address, use), std::move(has_room), std::move(accepted)) {}

Listener::Listener(Owned<GSocket> listening, std::function<bool()> has_room, Accepted accepted)
    : has_room_(std::move(has_room)), accepted_(std::move(accepted)), socket_(std::move(listening)) {
  g_socket_set_blocking(socket_.get(), FALSE);
  resume();
}

void Listener::resume() {
  if (watcher_.running()) return;
  retry_.stop();
  watcher_.start(socket_.get(), G_IO_IN, [this] { accept(); });
}

void Listener::stop() {
  watcher_.stop();
  retry_.stop();
}

void Listener::pause() {
  watcher_.stop();
  retry_.start(kAcceptPause, [this] { resume(); });
}

void Listener::accept() {
  for (int i = 0; i < kMaxAcceptsPerRound; ++i) {
    if (!has_room_()) return pause();
    GLibError error;
    Owned<GSocket> socket(g_socket_accept(socket_.get(), nullptr, error.out()));
    if (!socket) {
      if (error.would_block()) return;
      // The error is EMFILE, for instance. Without a pause the loop would spin, because the listener stays
      // readable.
      logging::warning("socket") << "accepting connections paused: " << error.message();
      return pause();
    }
    accepted_(std::move(socket));
  }
}

}  // namespace thornwick::net
