// What the platform tells a router, and what its operator adds: the configuration in JSON, the environment
// and the operator's file. Settings pass on as the path=value lines that the adapter reads too.
#pragma once

#include <simdjson.h>

#include <string>
#include <vector>

#include "config/operator_file.hpp"
#include "thornwick/routing_policy.hpp"

namespace thornwick::config {

// Nested JSON as path=value lines: lists of plain values joined with commas, lists of objects with a count.
std::string flatten(simdjson::dom::element json);

struct Config {
  std::string name, listen, discovery, peer_listen, peers_all;
  std::string ops;  // where operators call; empty: nowhere
  std::vector<std::string> peers;
  std::size_t sockets = 1024, memory_mb = 192;
  std::size_t most_clients = 0;  // connections of clients at a front; 0: a part of the descriptors
  Settings settings;
  std::string settings_text;  // as flattened, to tell whether a file read again changes them
  // What the settings say that is no decision's business.
  std::vector<std::string> classes, tenants, zones, kinds, report_fields;
  Time keepalive = seconds(5), dial_limit = milliseconds(120), silence_limit = seconds(3);
  std::string known;  // JSON: discovery's list, as this router last held it
  OperatorFile added;
};

// GW_NAME, GW_LISTEN and GW_DISCOVERY win over the file that GW_CONFIG (or `path`) names. When the file is
// read again, its `discovery` wins: the environment still holds the address of the program's start.
// Throws BadConfig with one plain line.
enum class Reading { at_start, again };
Config read_config(const std::string& path, const std::string& operator_path,
                   Reading reading = Reading::at_start);

// The fields that differ and only take effect at the next start, by name; empty if there are none.
std::string needs_restart(const Config& old, const Config& fresh);

}  // namespace thornwick::config
