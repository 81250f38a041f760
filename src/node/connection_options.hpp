// Divides the process's descriptors and memory between clients and replicas. Reads net::descriptors(), whose
// limit has to be set before.
#pragma once

#include "config/config.hpp"
#include "net/downstream_server.hpp"
#include "net/upstream_pool.hpp"

namespace thornwick::node {

// Returns the options of the connection pool to replicas, without the callback `sent`. They refer to
// `config`, which has to outlive the pool. Throws BadConfig for an unknown dialect.
net::UpstreamPool::Options upstream_options(const config::Config& config);

// Returns the options that all servers for clients share, without address, dialect, lifecycle and callbacks.
// They refer to `config`, which has to outlive the servers.
net::DownstreamServer::Options downstream_options(const config::Config& config);

}  // namespace thornwick::node
