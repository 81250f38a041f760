// The other routers of the tier: datagrams out and in.
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
    std::string listen;              // empty: there are no peers
    std::string all;                 // where a message to all peers goes
    std::vector<std::string> peers;  // by rank, this router's own included
    Owned<GSocket> bound = {};       // that listens already; none: one is bound
  };
  using OnMessage = std::function<void(std::uint32_t rank, std::span<const std::uint8_t>)>;

  // Throws NetError if it cannot listen.
  PeerSocket(Options options, OnMessage on_message);
  // To the peer of this rank, or to all where no peer has it.
  void send(std::uint32_t rank, const std::string& message) override;
  // Off: what comes is another process's.
  void listen(bool on);
  // nullptr: there are no peers.
  GSocket* socket() const { return socket_ ? socket_->socket() : nullptr; }

 private:
  void on_datagram(GSocketAddress* from, std::span<const std::uint8_t> bytes);

  OnMessage on_message_;
  std::vector<std::string> names_;                // addresses as text, by rank
  std::vector<Owned<GSocketAddress>> addresses_;  // by rank
  Owned<GSocketAddress> all_;
  std::unique_ptr<Datagrams> socket_;
};

}  // namespace thornwick::net
