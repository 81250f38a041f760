// A router process under the fault shim, with its discovery, three replicas and its clients.
#pragma once

#include <array>
#include <memory>
#include <string>
#include <vector>

#include "../incidents/slow_discovery.hpp"
#include "fault_control.hpp"
#include "net/loop.hpp"

namespace thornwick::testing {

// Longer than a request's timeout plus the half second within which an answer is late but not lost.
constexpr Time kMaxWait = seconds(6);
// Timeout of the requests of FaultySite::start_requests().
constexpr Time kRequestTime = milliseconds(1'500);

// A client that sends its requests one after another on one connection.
class FaultyClient {
 public:
  // `next_request` numbers the requests of all clients. `timeout` applies to each request.
  FaultyClient(const std::string& address, std::size_t requests, Time timeout, std::size_t& next_request);

  // Returns whether all requests are answered or the connection has ended.
  bool done() const { return remaining_requests_ == 0 || ended_; }
  std::size_t sent() const { return sent_; }
  std::size_t answered() const { return answered_; }  // with any status
  std::size_t served() const { return served_; }

 private:
  void send();
  void on_bytes(std::string_view bytes);
  void on_answer();

  std::unique_ptr<net::Stream> stream_;
  http::MessageReader reader_{http::MessageReader::Kind::answer};
  std::size_t remaining_requests_;
  Time timeout_;
  std::size_t& next_request_;
  std::size_t sent_ = 0, answered_ = 0, served_ = 0;
  bool ended_ = false;
};

class FaultySite {
 public:
  enum class Replicas { answering, silent };

  // `operator_file` is the text of the operator's file; empty: the router has none.
  explicit FaultySite(std::uint64_t seed, const std::string& operator_file = {},
                      Replicas replicas = Replicas::answering);

  // Starts a router process, as the constructor does.
  void start();
  // Sends the router this signal and returns its exit status.
  int stop(int signal);
  Program& router() { return *router_; }
  // Returns the number of descriptors that the router has open.
  std::size_t descriptors() const;

  // Opens connections one after another, sends this many requests on each and waits for their answers.
  void run_requests(std::size_t connections, std::size_t requests_on_each);
  // Sends requests with kRequestTime, each on its own connection, and does not wait for the answers.
  void start_requests(std::size_t requests);
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
  bool replicas_silent_;
  SlowDiscovery discovery_;
  std::string config_, operator_file_, address_;
  std::unique_ptr<Program> router_;
  std::vector<std::unique_ptr<FaultyClient>> clients_;
  std::size_t next_request_ = 0;
};

}  // namespace thornwick::testing
