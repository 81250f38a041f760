// The admin endpoint: each connection carries one line with a call, and the answer to that call. The admin
// endpoint does not depend on the listeners for clients.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>

#include "net/loop.hpp"

namespace thornwick::net {

struct AdminCounters {
  std::uint64_t calls = 0;          // calls that were answered
  std::uint64_t invalid_lines = 0;  // lines that are too long, more than one, or no known call
  std::uint64_t timed_out = 0;      // callers that sent no whole line in time, or were closed to make room
};

class AdminEndpoint {
 public:
  // The number of callers that may be connected at the same time. One more caller replaces a caller that has
  // not sent its line yet.
  static constexpr std::size_t kMaxCallers = 12;

  // Is called with each line, without the newline. Returns the answer, or an empty text if the call is
  // unknown.
  using Answer = std::function<std::string(std::string_view)>;

  // Throws NetError if the endpoint cannot listen at `address`.
  AdminEndpoint(const std::string& address, Answer answer);
  // Uses a socket that listens already. The answer to an unknown call lists the text `call_names`.
  AdminEndpoint(Owned<GSocket> listening, std::string call_names, Answer answer);
  AdminEndpoint(const AdminEndpoint&) = delete;
  AdminEndpoint& operator=(const AdminEndpoint&) = delete;
  ~AdminEndpoint();

  std::string address() const { return listener_->address(); }
  const AdminCounters& counters() const { return counters_; }

 private:
  class Caller;

  void on_accepted(Owned<GSocket> socket);
  void make_room_for_caller();
  void remove(Caller& caller);

  Answer answer_;
  std::string call_names_ = "HEALTH, DUMP, LEAVE and JOIN";
  AdminCounters counters_;
  std::list<std::unique_ptr<Caller>> callers_;  // in the order in which they connected
  std::unique_ptr<Listener> listener_;
};

}  // namespace thornwick::net
