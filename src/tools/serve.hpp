// `thornwick serve`: runs a router until a signal ends it.
#pragma once

#include <string>

namespace thornwick::tools {

struct ServeOptions {
  std::string config;         // path of the platform's configuration; empty: that of $GW_CONFIG
  std::string operator_file;  // path; empty: none
};

// Takes over from the process that serves at the same address, if there is one, and serves on GLib's default
// main loop. SIGTERM and SIGINT begin a graceful shutdown, after which this function returns; SIGHUP reads
// the configuration again; SIGUSR1 logs the counters. Throws BadConfig or net::NetError if the router cannot
// start.
void serve(const ServeOptions& options);

}  // namespace thornwick::tools
