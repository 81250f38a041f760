// The new process's side of a handover.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "net/handover_protocol.hpp"
#include "net/stream.hpp"

namespace thornwick::net {

// Requests the state of the process that waits for a successor at this path. Returns none if there is no such
// process, or if it sends no whole offer within a second; then the start is an ordinary one, and a log line
// states why. Blocks, so it is to be called before the loop runs.
std::optional<HandoverState> receive_handover(const std::string& path);

// Notifies the old process that this one serves, and is notified when the old one has yielded or has ended.
class HandoverClient {
 public:
  struct Callbacks {
    // The path is free, and the old process accepts nothing more. `drained`: by an operator.
    std::function<void(bool drained)> predecessor_yielded;
    std::function<void()> predecessor_exited;
  };

  // `connection`: the one to the old process, from the state that was inherited.
  HandoverClient(Owned<GSocket> connection, Callbacks callbacks);
  // Notifies the old process that this one serves.
  void send_serving();
  // Notifies the old process that this one has handed over to a successor of its own, so that its end is no
  // failure.
  void send_handed_over();

 private:
  void on_bytes(std::string_view bytes);
  void on_ended();

  Callbacks callbacks_;
  std::string line_;
  Stream stream_;
};

}  // namespace thornwick::net
