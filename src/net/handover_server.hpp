// The old process's side of a hand-over.
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

// Waits at a Unix socket for a successor, one at a time. Offers the successor this process's state, and
// yields when the successor serves. If the successor is lost, waits for another one.
class HandoverServer {
 public:
  struct Callbacks {
    // Returns the state for the successor, without HandoverState::connection. The sockets stay open in this
    // process.
    std::function<HandoverState()> offer;
    // The offer was sent. What is sent to the successor from now on comes behind it.
    std::function<void()> offer_sent = [] {};
    // The successor serves. Returns whether this router is drained.
    std::function<bool()> successor_serving;
    // The successor was notified that this process has yielded.
    std::function<void()> successor_notified = [] {};
    // The successor has exited, before or after it served.
    std::function<void()> successor_lost;
    // The successor asks for this process's request ids.
    std::function<void()> ids_requested = [] {};
    // A message about a request id has come.
    std::function<void(const lifecycle::IdMessage&)> id_message = [](const lifecycle::IdMessage&) {};
    // A message about an account has come.
    std::function<void(const AccountMessage&)> account_message = [](const AccountMessage&) {};
  };

  // Removes a file that an earlier process left at `path`. Throws NetError if the server cannot listen at
  // `path`.
  HandoverServer(std::string path, Callbacks callbacks);
  HandoverServer(const HandoverServer&) = delete;
  HandoverServer& operator=(const HandoverServer&) = delete;
  ~HandoverServer();

  // Sends a message to the successor. Has no effect if none is connected.
  void send(const lifecycle::IdMessage& message) { send(to_line(message)); }
  void send(const AccountMessage& message) { send(to_line(message)); }
  // The same, to notify the successor that accounts are reported from now on.
  void send_shares_accounts() { send(std::string(to_line(HandoverMessage::shares_accounts))); }
  // Handles messages of the successor that have come and were not read yet.
  void receive_pending();

 private:
  void send(std::string line);
  void open();
  void on_accepted(Owned<GSocket> socket);
  void start_offer(Owned<GSocket> socket);
  void on_bytes(std::string_view bytes);
  bool on_line(std::string_view line);
  void on_serving();
  void on_lost();
  void reopen();

  std::string path_;
  Callbacks callbacks_;
  std::unique_ptr<Listener> listener_;  // null when the successor serves
  std::unique_ptr<Stream> successor_;   // null if no successor is connected
  HandoverLineReader lines_;
  Timer serving_timeout_;
  bool successor_served_ = false;
  bool handed_over_ = false;
};

}  // namespace thornwick::net
