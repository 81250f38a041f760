#include "net/datagrams.hpp"

#include <array>
#include <utility>

namespace thornwick::net {
namespace {

// Bounds the time that a flood of datagrams takes from other work of the loop.
constexpr int kMaxReadsPerRound = 256;
constexpr std::size_t kReadBytes = 2048;

Owned<GSocket> bind_socket(const std::string& address, AddressUse use) {
  const auto local = parse_address(address);
  if (!local) throw NetError("not an address: " + address);
  GLibError error;
  Owned<GSocket> socket(g_socket_new(g_socket_address_get_family(local.get()), G_SOCKET_TYPE_DATAGRAM,
                                     G_SOCKET_PROTOCOL_UDP, error.out()));
  const gboolean allow_reuse = use == AddressUse::shared ? TRUE : FALSE;
  if (!socket || !g_socket_bind(socket.get(), local.get(), allow_reuse, error.out())) {
    throw NetError("cannot listen on " + address + ": " + error.message());
  }
  return socket;
}

}  // namespace

DatagramSocket::DatagramSocket(const std::string& address, Owned<GSocket> bound, OnDatagram on_datagram,
                               AddressUse use)
    : on_datagram_(std::move(on_datagram)), socket_(bound ? std::move(bound) : bind_socket(address, use)) {
  g_socket_set_blocking(socket_.get(), FALSE);
  resume_reading();
}

void DatagramSocket::resume_reading() {
  watcher_.stop();
  watcher_.start(socket_.get(), G_IO_IN, [this] { on_readable(); });
}

void DatagramSocket::pause_reading() { watcher_.stop(); }

bool DatagramSocket::send(GSocketAddress* to, const std::string& bytes) {
  return g_socket_send_to(socket_.get(), to, bytes.data(), bytes.size(), nullptr, nullptr) >= 0;
}

void DatagramSocket::on_readable() {
  std::array<std::uint8_t, kReadBytes> bytes{};
  for (int i = 0; i < kMaxReadsPerRound; ++i) {
    GSocketAddress* sender = nullptr;
    const gssize received = g_socket_receive_from(
        socket_.get(), &sender, reinterpret_cast<char*>(bytes.data()), bytes.size(), nullptr, nullptr);
    const Owned<GSocketAddress> from(sender);
    if (received < 0) return;
    on_datagram_(from.get(), std::span<const std::uint8_t>(bytes.data(), static_cast<std::size_t>(received)));
  }
}

}  // namespace thornwick::net
