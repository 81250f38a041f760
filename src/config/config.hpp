// The configuration of one router: the platform's JSON file, the environment and the operator's file.
//
// The platform's settings are passed on to the routing policy as the path=value lines that the simulator's
// adapter reads too, so that a router and a simulated one understand them alike.
#pragma once

#include <simdjson.h>

#include <cstddef>
#include <string>
#include <vector>

#include "config/operator_file.hpp"
#include "thornwick/routing_policy.hpp"

namespace thornwick::config {

// Returns nested JSON as path=value lines. A list of plain values is joined with commas; a list of objects
// has a line "PATH.count" behind those of its items. In texts, spaces, commas and line ends become
// underscores.
std::string flatten(simdjson::dom::element json);

// Everything that a router knows when it starts. The members are plain values; check_config() of the node
// checks what concerns several of them.
struct Config {
  // Addresses (HOST:PORT) that this router listens at.
  struct Listeners {
    std::string requests;
    std::string peers;      // datagrams of other routers
    std::string operators;  // commands of operators; empty: none are accepted
  };
  // Addresses (HOST:PORT) of the other routers.
  struct Peers {
    std::string all;                // one that reaches all of them
    std::vector<std::string> each;  // by the router's rank
  };
  struct Discovery {
    std::string address;          // HOST:PORT
    std::string known_endpoints;  // JSON: the last endpoint list that this router had; empty: none
  };
  struct Limits {
    std::size_t sockets = 1024;              // file descriptors
    std::size_t memory_mb = 192;             // MiB
    std::size_t max_client_connections = 0;  // of each front; 0: a part of the descriptors
  };
  // Limits of time on connections to replicas.
  struct Timeouts {
    Time keepalive = seconds(5);  // replicas close a connection that has been idle for so long
    Time connect = milliseconds(120);
    Time stream_silence = seconds(3);  // between two parts of a streamed answer
  };
  // Names that the settings give to what the routing policy knows by number. The index is the number.
  struct Names {
    std::vector<std::string> classes;
    std::vector<std::string> tenants;
    std::vector<std::string> zones;
    std::vector<std::string> kinds;
    std::vector<std::string> report_fields;  // of load reports within answers; empty: answers carry none
  };

  std::string name;  // of this router
  Listeners listeners;
  Peers peers;
  Discovery discovery;
  Limits limits;
  Timeouts timeouts;
  Names names;
  Settings settings;          // of the routing policy
  std::string settings_text;  // flattened; fields_needing_restart() compares it
  OperatorFile operator_file;
};

// When a configuration is read. At the start GW_DISCOVERY has precedence over the file. When the file is read
// again, its `discovery` has precedence, because the environment still has the address of the start.
enum class ReadOccasion { startup, reload };

// Reads the configuration from the file `path` or, if that is empty, from the one that GW_CONFIG names.
// GW_NAME, GW_LISTEN, GW_OPS and GW_DISCOVERY have precedence over the file. An empty `operator_path` means
// that there is no operator's file. Throws BadConfig: a line for the first error of the JSON file, or a line
// for each error of the operator's file.
[[nodiscard]] Config read_config(const std::string& path, const std::string& operator_path,
                                 ReadOccasion occasion = ReadOccasion::startup);

// Returns the names of the fields that differ and only take effect at the next start, joined with ", "; empty
// if there are none.
[[nodiscard]] std::string fields_needing_restart(const Config& old, const Config& fresh);

}  // namespace thornwick::config
