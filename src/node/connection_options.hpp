// Divides the descriptors and the memory of the process between connections to clients and to replicas. The
// limit of net::descriptors() must be set before these functions are called.
#pragma once

#include "config/config.hpp"
#include "net/downstream_server.hpp"
#include "net/upstream_pool.hpp"

namespace thornwick::node {

// Returns the options of the connection pool to replicas, without the callback `on_attempt_sent`. The options
// refer to `config`, which must outlive the pool. Throws BadConfig for an unknown dialect.
net::UpstreamPool::Options upstream_options(const config::Config& config);

// Returns the options that all servers for clients share, without address, dialect, lifecycle and callbacks.
// The options refer to `config`, which must outlive the servers.
net::DownstreamServer::Options downstream_options(const config::Config& config);

}  // namespace thornwick::node
