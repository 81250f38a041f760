// Prints the counters line: name=value for each counter of the router's components, in a fixed order.
#pragma once

#include <ostream>

#include "core/request_manager.hpp"
#include "models/pools.hpp"
#include "net/endpoint_table.hpp"
#include "net/upstream_pool.hpp"
#include "node/downstream_fronts.hpp"

namespace thornwick::node {

// Each function writes the counters of one component, without a newline.
void print_request_counters(const core::RequestManager& core, std::ostream& out);
void print_downstream_counters(const DownstreamFronts& fronts, std::ostream& out);
void print_upstream_counters(const net::UpstreamPool& upstream, std::ostream& out);
void print_memory_counters(std::ostream& out);
void print_discovery_counters(const net::EndpointTable& endpoints, std::ostream& out);
void print_model_counters(const models::Pools& pools, std::ostream& out);

}  // namespace thornwick::node
