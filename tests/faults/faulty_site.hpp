// A router that runs as a process under the fault shim, with its discovery, three replicas and its clients.
#pragma once

#include <array>
#include <memory>
#include <string>
#include <vector>

#include "../incidents/slow_discovery.hpp"
#include "fault_control.hpp"
#include "net/loop.hpp"

namespace thornwick::testing {

// Above a request's own time and the half second in which a late answer is none that is lost.
constexpr Time kMostWait = seconds(6);
// Of the requests of FaultySite::begin().
constexpr Time kRequestTime = milliseconds(1'500);

// A client with one connection, on which it sends one request after the other.
class FaultyClient {
 public:
  // `next_request` numbers the requests of all clients; `timeout` is each request's own.
  FaultyClient(const std::string& address, std::size_t requests, Time timeout, std::size_t& next_request);

  // All its requests are answered, or its connection has ended.
  bool done() const { return requests_left_ == 0 || ended_; }
  std::size_t sent() const { return sent_; }
  std::size_t answered() const { return answered_; }  // with whatever status
  std::size_t served() const { return served_; }

 private:
  void send();
  void on_bytes(std::string_view bytes);
  void on_answer();

  std::unique_ptr<net::Stream> stream_;
  http::MessageReader reader_{http::MessageReader::Kind::answer};
  std::size_t requests_left_;
  Time timeout_;
  std::size_t& next_request_;
  std::size_t sent_ = 0, answered_ = 0, served_ = 0;
  bool ended_ = false;
};

class FaultySite {
 public:
  enum class Replicas { answering, silent };

  // `operator_file`: the text of one; empty: there is none.
  explicit FaultySite(std::uint64_t seed, const std::string& operator_file = {},
                      Replicas replicas = Replicas::answering);

  // Begins a process, as the constructor does.
  void start();
  // Ends it with this signal. Returns how it ended.
  int end(int signal);
  Program& router() { return *router_; }
  // That the router holds.
  std::size_t descriptors() const;

  // Connections that come one after the other, with this many requests on each; waits for their answers.
  void load(std::size_t connections, std::size_t requests_on_each);
  // As many requests, each on a connection of its own and with kRequestTime; does not wait.
  void begin(std::size_t requests);
  std::size_t sent() const { return sum(&FaultyClient::sent); }
  std::size_t answered() const { return sum(&FaultyClient::answered); }
  std::size_t served() const { return sum(&FaultyClient::served); }

  FaultControl faults;

 private:
  std::string entries() const;
  std::size_t sum(std::size_t (FaultyClient::*count)() const) const;

  Scratch scratch_;
  std::array<CountingReplica, 3> replicas_;
  testbed::Server silent_replica_{"127.0.0.1:0", [](testbed::Server::Connection&) {}};
  bool replicas_are_silent_;
  SlowDiscovery discovery_;
  std::string config_, operator_file_, address_;
  std::unique_ptr<Program> router_;
  std::vector<std::unique_ptr<FaultyClient>> clients_;
  std::size_t next_request_ = 0;
};

}  // namespace thornwick::testing
