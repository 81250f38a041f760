// The old process's side of a handover.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "net/handover_protocol.hpp"
#include "net/listener.hpp"
#include "net/stream.hpp"
#include "net/timer.hpp"

namespace thornwick::net {

// Waits for a successor at a Unix socket, one at a time. Offers it this process's state and yields once it
// serves. If the successor is lost, it waits for another one.
class HandoverServer {
 public:
  struct Callbacks {
    // Returns the state for the successor, without `connection`. The sockets stay open here.
    std::function<HandoverState()> offer;
    // The successor serves. Returns whether this router is drained.
    std::function<bool()> successor_serving;
    // The successor has ended, before or after it served.
    std::function<void()> successor_lost;
  };

  // Removes a file that an earlier process left at the path. Throws NetError if it cannot listen there.
  HandoverServer(std::string path, Callbacks callbacks);
  HandoverServer(const HandoverServer&) = delete;
  HandoverServer& operator=(const HandoverServer&) = delete;
  ~HandoverServer();

 private:
  void open();
  void on_accepted(Owned<GSocket> socket);
  void start_offer(Owned<GSocket> socket);
  void on_bytes(std::string_view bytes);
  void on_serving();
  void on_lost();
  void reopen();

  std::string path_;
  Callbacks callbacks_;
  std::unique_ptr<Listener> listener_;  // null once the successor serves
  std::unique_ptr<Stream> successor_;   // at most one
  std::string received_;
  Timer serving_timeout_;
  bool served_ = false;
  bool passed_on_ = false;
};

}  // namespace thornwick::net
