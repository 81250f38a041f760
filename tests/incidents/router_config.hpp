// The configuration file of a router that runs as a process in a test of an incident.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace thornwick::testing {

struct RouterConfig {
  std::size_t rank = 0;        // also part of the router's name
  std::size_t group_size = 1;  // number of routers that call the same discovery
  std::string discovery = {};
  std::string known = {};  // the initial list of version 1, as entries in discovery's format
  // Addresses for datagrams, by rank, including that of this router; empty: the router has no peers.
  std::vector<std::string> peers = {};
  std::string all_peers = {};         // address for a datagram to all peers
  std::string admin_endpoint = {};    // empty: the router has no admin endpoint
  std::string registry_mode = "ask";  // ask: routers call a shared discovery; push: an agent has the list
  long drain_grace_us = 500'000;      // time after which nothing more is sent to a draining replica
  long connect_timeout_us = 120'000;  // time within which a connection to a replica must be established
  long keepalive_us = 5'000'000;      // time after which an idle connection to a replica is closed
};

// Returns the text of the file, with one request class, `chat`, and one tenant, `acme`.
std::string write_router_config(const RouterConfig& config);

// Returns a request of this class and tenant. `number` makes its id unique, and the answer has `timeout`
// microseconds.
std::string write_router_request(std::size_t number, std::int64_t timeout = 5'000'000);

// Returns an unused address on loopback, for a UDP socket of a router.
std::string free_datagram_address();

}  // namespace thornwick::testing
