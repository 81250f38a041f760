// Messages to and from the other routers of the tier (the peers), as datagrams. A message may be lost.
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

// Bytes; longer messages are not sent.
inline constexpr std::size_t kMaxDatagram = 256;

class PeerSocket : public core::PeerTransport {
 public:
  struct Options {
    std::string listen;                // address; empty: there are no peers
    std::string broadcast;             // address for a message to all peers
    std::vector<std::string> peers;    // by rank, this router's own included
    Owned<GSocket> bound_socket = {};  // a socket that is bound already; null: a new one is bound
  };
  using OnMessage = std::function<void(std::uint32_t rank, std::span<const std::uint8_t>)>;

  // Throws NetError if it cannot listen.
  PeerSocket(Options options, OnMessage on_message);
  // Sends to the peer of this rank, or to all peers if no peer has it.
  void send(std::uint32_t rank, const std::string& message) override;
  // Receives messages from now on, as it does once constructed.
  void resume_reading();
  // Receives none from now on: they are another process's.
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
