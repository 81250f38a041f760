// `thornwick serve`: runs a router until a signal ends it.
#pragma once

#include <string>

namespace thornwick::tools {

struct ServeOptions {
  std::string config;         // path of the platform's configuration; empty: the path in $GW_CONFIG
  std::string operator_file;  // path of the operator's file; empty: none
};

// Runs a router on GLib's default main loop, after taking over from the process that serves at the same
// address, if there is one. SIGTERM and SIGINT begin a graceful shutdown, after which this function returns;
// SIGHUP reloads the configuration; SIGUSR1 logs the counters. Throws BadConfig or net::NetError if the
// router cannot start.
void serve(const ServeOptions& options);

}  // namespace thornwick::tools
