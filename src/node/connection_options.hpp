// How the process's descriptors and memory are divided between clients and replicas, and the socket options
// that follow from it. Reads net::descriptors(), so its limit has to be set before.
#pragma once

#include "config/config.hpp"
#include "net/downstream_server.hpp"
#include "net/upstream_pool.hpp"

namespace thornwick::node {

// Options of the connection pool to replicas. `config` is referred to afterwards and has to outlive the pool;
// the `sent` callback is left to the caller. Throws BadConfig for an unknown dialect.
net::UpstreamPool::Options upstream_options(const config::Config& config);

// Options that all client listeners share. `config` is referred to afterwards and has to outlive the servers;
// address, dialect, lifecycle and callbacks into other parts are left to the caller.
net::DownstreamServer::Options downstream_options(const config::Config& config);

}  // namespace thornwick::node
