// A discovery service that answers late, and replicas that count their requests. Both stand in for real ones
// in tests in which routers run as processes, and run in the main loop of GLib.
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

// A discovery service in which every new call waits, as in a queue that other callers keep full. Renewals of
// a subscription do not wait, and a call that was given up gets no answer.
class SlowDiscovery {
 public:
  enum class Behaviour {
    answers,
    stays_silent,
    answers_by_half,  // the rest of the answer never comes
    breaks_answers,   // closes the connection in the middle of the answer
    rejects_calls     // with an error status
  };

  // Each new call is answered `answer_delay` microseconds after it arrived.
  explicit SlowDiscovery(Time answer_delay, Behaviour behaviour = Behaviour::answers);

  std::string address() const { return server_.address(); }
  // How calls are answered from now on. Calls that are open when discovery falls silent stay silent.
  void set_behaviour(Behaviour behaviour);
  // Replaces the list with these entries in discovery's format. Subscriptions are answered at once.
  void publish(std::uint64_t revision, std::string entries);
  std::size_t calls() const { return calls_; }
  std::size_t answers() const { return answers_; }
  std::size_t subscriptions() const { return subscriptions_.size(); }

 private:
  void on_call(testbed::Server::Connection& line);
  void answer(std::uint64_t line_number);
  void write_answer(testbed::Server::Connection& line);
  void answer_after(Time delay, std::uint64_t line_number);

  Time answer_delay_;
  Behaviour behaviour_;
  std::uint64_t revision_ = 1;
  std::string entries_;
  std::size_t calls_ = 0, answers_ = 0;
  std::map<std::uint64_t, Time> answered_at_;  // time of the latest answer on each connection
  std::vector<std::uint64_t> subscriptions_;   // connections whose call waits for a change of the list
  std::list<net::Timer> timers_;
  testbed::Server server_;
};

// Returns an entry of discovery's list for a replica; `state` is SERVING or DRAINING.
std::string write_entry(const std::string& uid, const std::string& address, const std::string& state);

// A replica that answers every request at once and records when each one arrived.
class CountingReplica {
 public:
  CountingReplica();
  std::string address() const { return server_.address(); }
  std::size_t requests() const { return arrivals_.size(); }
  // Returns the number of requests that arrived after `when`, in microseconds of the monotonic clock.
  std::size_t requests_after(Time when) const;
  std::string entry(const std::string& uid, const std::string& state) const {
    return write_entry(uid, address(), state);
  }

 private:
  std::vector<Time> arrivals_;
  testbed::Server server_;
};

// Runs the main loop until `holds` returns true or `timeout` is over. Returns whether `holds` returns true at
// the end.
bool run_until(const std::function<bool()>& holds, Time timeout);

}  // namespace thornwick::testing
