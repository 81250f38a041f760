// A discovery service that answers late, and replicas that count what they get: stand-ins for tests in which
// routers run as processes. All of it runs in GLib's main loop.
#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/loop.hpp"
#include "testbed/server.hpp"

namespace thornwick::testing {

// Discovery whose every fresh call has to wait its turn, as behind a queue that other callers keep full.
// Renewals of a watch pass the queue, and a call that was given up gets nothing.
class SlowDiscovery {
 public:
  enum class Behaviour { answers, says_nothing };

  // Each fresh call is answered `turn` microseconds after it came.
  explicit SlowDiscovery(Time turn, Behaviour behaviour = Behaviour::answers);

  std::string address() const { return server_.address(); }
  // The list from now on, as entries in discovery's form. Watches learn of it at once.
  void publish(std::uint64_t revision, std::string entries);
  std::size_t calls() const { return calls_; }
  std::size_t answers() const { return answers_; }

 private:
  void asked(testbed::Server::Line& line);
  void answer(std::uint64_t line_number);
  void answer_after(Time delay, std::uint64_t line_number);

  Time turn_;
  Behaviour behaviour_;
  std::uint64_t revision_ = 1;
  std::string entries_;
  std::size_t calls_ = 0, answers_ = 0;
  std::map<std::uint64_t, Time> answered_at_;  // the latest answer on each connection
  std::vector<std::uint64_t> watches_;         // connections whose call waits for news
  std::list<net::Timer> timers_;
  testbed::Server server_;
};

// An entry of discovery's list about a replica; `state` as SERVING or DRAINING.
std::string write_entry(const std::string& uid, const std::string& address, const std::string& state);

// A replica that answers every request at once and remembers when each came.
class CountingReplica {
 public:
  CountingReplica();
  std::string address() const { return server_.address(); }
  std::size_t requests() const { return arrivals_.size(); }
  // That came later than `when`, by the monotonic clock in microseconds.
  std::size_t requests_after(Time when) const;
  std::string entry(const std::string& uid, const std::string& state) const {
    return write_entry(uid, address(), state);
  }

 private:
  std::vector<Time> arrivals_;
  testbed::Server server_;
};

// Lets the main loop run until `holds`, or until the time is over. Returns whether it holds.
bool run_until(const std::function<bool()>& holds, Time most);

}  // namespace thornwick::testing
