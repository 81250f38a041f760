// Accepts TCP and Unix connections.
#pragma once

#include <functional>
#include <string>

#include "net/address.hpp"
#include "net/descriptors.hpp"
#include "net/gobject_handle.hpp"
#include "net/io_watcher.hpp"
#include "net/timer.hpp"

namespace thornwick::net {

// Accepts connections. While there is no room or no descriptor for another connection, pauses and tries
// again.
class Listener {
 public:
  using Accepted = std::function<void(Owned<GSocket>)>;

  // Listens at `address`. `has_room` returns whether another connection can be accepted now. Throws NetError
  // if listening fails.
  Listener(const std::string& address, std::function<bool()> has_room, Accepted accepted,
           AddressUse use = AddressUse::exclusive);
  // Uses a socket that listens already.
  Listener(Owned<GSocket> listening, std::function<bool()> has_room, Accepted accepted);
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  // Ends a pause or a stop. Is called, for instance, when a connection was closed and left room for another
  // one.
  void resume();
  // Accepts no connections until resume(). New connections wait in the kernel's queue.
  void stop();
  std::string address() const { return local_address_text(socket_.get()); }
  GSocket* socket() const { return socket_.get(); }

 private:
  void accept();
  void pause();

  std::function<bool()> has_room_;
  Accepted accepted_;
  Owned<GSocket> socket_;
  HeldDescriptor held_descriptor_;
  IoWatcher watcher_;
  Timer retry_;
};

}  // namespace thornwick::net
