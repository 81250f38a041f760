// The admin endpoint: each connection carries one line and its answer. It is independent of the listeners for
// clients.
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
  std::uint64_t calls = 0;          // answered
  std::uint64_t invalid_lines = 0;  // lines that are too long, more than one, or no known call
  std::uint64_t timed_out = 0;      // callers that sent no whole line in time, or were closed to make room
};

class AdminEndpoint {
 public:
  // At the same time. Beyond that, a new caller replaces one that has sent no line yet.
  static constexpr std::size_t kMaxCallers = 12;

  // Called with each line, without its newline. Returns the answer; an empty one if the call is unknown.
  using Answer = std::function<std::string(std::string_view)>;

  // Throws NetError if it cannot listen.
  AdminEndpoint(const std::string& address, Answer answer);
  // Uses a socket that listens already. `calls`: the calls that the answer to an unknown call names.
  AdminEndpoint(Owned<GSocket> listening, std::string calls, Answer answer);
  AdminEndpoint(const AdminEndpoint&) = delete;
  AdminEndpoint& operator=(const AdminEndpoint&) = delete;
  ~AdminEndpoint();

  std::string address() const { return listener_->address(); }
  const AdminCounters& counters() const { return counters_; }

 private:
  class Caller;

  void on_accepted(Owned<GSocket> socket);
  void make_room();
  void remove(Caller& caller);

  Answer answer_;
  std::string calls_ = "HEALTH, DUMP, LEAVE and JOIN";
  AdminCounters counters_;
  std::list<std::unique_ptr<Caller>> callers_;  // in the order in which they connected
  std::unique_ptr<Listener> listener_;
};

}  // namespace thornwick::net
