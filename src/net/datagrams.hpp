// A UDP socket on the main loop. A datagram that cannot be sent is lost, like one that is lost on its way.
#pragma once

#include <cstdint>
#include <functional>
#include <span>
#include <string>

#include "net/loop.hpp"

namespace thornwick::net {

class DatagramSocket {
 public:
  using Arrived = std::function<void(GSocketAddress* from, std::span<const std::uint8_t> bytes)>;

  // Takes over the socket `bound`; if it is null, binds a new one to `address`. `use`: a shared address may
  // be bound by another socket of this user too, and the kernel distributes the datagrams between them;
  // binding an exclusive one twice is an error. Throws NetError.
  DatagramSocket(const std::string& address, Owned<GSocket> bound, Arrived arrived,
                 AddressUse use = AddressUse::exclusive);
  DatagramSocket(const DatagramSocket&) = delete;
  DatagramSocket& operator=(const DatagramSocket&) = delete;

  // Reads datagrams from now on, as it does once constructed.
  void resume_reading();
  // Reads none from now on: they stay with the kernel, for this process or another one at the same address.
  void pause_reading();
  // Returns false if the datagram could not be sent; it is lost then.
  bool send(GSocketAddress* to, const std::string& bytes);
  GSocket* socket() const { return socket_.get(); }
  std::string address() const { return local_address_text(socket_.get()); }

 private:
  void on_readable();

  Arrived arrived_;
  Owned<GSocket> socket_;
  HeldDescriptor held_descriptor_;
  IoWatcher watcher_;
};

}  // namespace thornwick::net
