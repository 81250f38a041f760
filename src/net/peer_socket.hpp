// Sends messages to the peers, the other routers of the tier, and receives theirs, as datagrams. A message
// may be lost.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "core/request_manager.hpp"
#include "net/datagrams.hpp"

namespace thornwick::net {

// In bytes; a longer message is not sent.
inline constexpr std::size_t kMaxDatagram = 256;

class PeerSocket : public core::PeerTransport {
 public:
  struct Options {
    std::string listen;                // own address; empty: there are no peers
    std::string broadcast;             // address to which a message to all peers is sent
    std::vector<std::string> peers;    // addresses by rank, including this router's
    Owned<GSocket> bound_socket = {};  // a bound socket to take over; null: a new one is bound
  };
  using OnMessage = std::function<void(std::uint32_t rank, std::span<const std::uint8_t>)>;

  // Throws NetError if it cannot listen at `options.listen`.
  PeerSocket(Options options, OnMessage on_message);
  // Sends a message to the peer of this rank, or to all peers if no peer has this rank.
  void send(std::uint32_t rank, const std::string& message) override;
  // Receives messages from now on. A new object receives already.
  void resume_reading();
  // Stops receiving. The messages are left to another process.
  void pause_reading();
  // Null if there are no peers.
  GSocket* socket() const { return socket_ ? socket_->socket() : nullptr; }

 private:
  void on_datagram(GSocketAddress* from, std::span<const std::uint8_t> bytes);

  OnMessage on_message_;
  std::vector<std::string> names_;                // addresses as text, by rank
  std::vector<Owned<GSocketAddress>> addresses_;  // by rank
  Owned<GSocketAddress> broadcast_;
  std::unique_ptr<DatagramSocket> socket_;
};

}  // namespace thornwick::net
