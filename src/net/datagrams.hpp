// A UDP socket on the main loop. A datagram that cannot be sent is lost, as is one that the network drops.
#pragma once

#include <cstdint>
#include <functional>
#include <span>
#include <string>

#include "net/loop.hpp"

namespace thornwick::net {

class DatagramSocket {
 public:
  using OnDatagram = std::function<void(GSocketAddress* from, std::span<const std::uint8_t> bytes)>;

  // Takes over the socket `bound`, or binds a new socket to `address` if `bound` is null. If `use` is
  // `shared`, another socket of this user may be bound to the same address, and the kernel distributes the
  // datagrams between both sockets; an exclusive address can be bound only once. Throws NetError.
  DatagramSocket(const std::string& address, Owned<GSocket> bound, OnDatagram on_datagram,
                 AddressUse use = AddressUse::exclusive);
  DatagramSocket(const DatagramSocket&) = delete;
  DatagramSocket& operator=(const DatagramSocket&) = delete;

  // Reads datagrams from now on. A new object reads already.
  void resume_reading();
  // Stops reading. Datagrams stay in the kernel's queue, for this process or another one at the same address.
  void pause_reading();
  // Returns false if the datagram could not be sent and is lost.
  bool send(GSocketAddress* to, const std::string& bytes);
  GSocket* socket() const { return socket_.get(); }
  std::string address() const { return local_address_text(socket_.get()); }

 private:
  void on_readable();

  OnDatagram on_datagram_;
  Owned<GSocket> socket_;
  HeldDescriptor held_descriptor_;
  IoWatcher watcher_;
};

}  // namespace thornwick::net
