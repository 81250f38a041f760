// The new process's side of a hand-over.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "net/handover_protocol.hpp"
#include "net/stream.hpp"

namespace thornwick::net {

// Requests the state of the process that waits for a successor at this path. Returns none if there is no such
// process, or if the process sends no complete offer within a second; the caller then starts without a
// hand-over. A failure is logged. Blocks, and therefore must be called before the loop runs.
std::optional<HandoverState> receive_handover(const std::string& path);

// Notifies the old process that this process serves, and is notified when the old process has yielded or
// exited.
class HandoverClient {
 public:
  struct Callbacks {
    // The path is free, and the old process accepts no more connections. `drained`: by an operator.
    std::function<void(bool drained)> predecessor_yielded;
    std::function<void()> predecessor_exited;
    // A message about a request id has come.
    std::function<void(const lifecycle::IdMessage&)> id_message = [](const lifecycle::IdMessage&) {};
    // The old process reports accounts from now on, and takes reports of them.
    std::function<void()> accounts_shared = [] {};
    // A message about an account has come.
    std::function<void(const AccountMessage&)> account_message = [](const AccountMessage&) {};
  };

  // `connection`: HandoverState::connection, from receive_handover().
  HandoverClient(Owned<GSocket> connection, Callbacks callbacks);
  // Asks the old process to share its request ids. It must have offered that (HandoverState::request_ids).
  void request_ids();
  // Handles messages of the old process that have come and were not read yet.
  void receive_pending() { stream_.receive_pending(); }
  void send(const lifecycle::IdMessage& message) { stream_.write(to_line(message)); }
  // Must be called only after Callbacks::accounts_shared.
  void send(const AccountMessage& message) { stream_.write(to_line(message)); }
  // Notifies the old process that this process serves.
  void send_serving();
  // Notifies the old process that this process has handed over to a successor of its own. The old process
  // then does not take the end of this process for a failure.
  void send_handed_over();

 private:
  void on_bytes(std::string_view bytes);
  void on_ended();

  Callbacks callbacks_;
  HandoverLineReader lines_;
  Stream stream_;
};

}  // namespace thornwick::net
