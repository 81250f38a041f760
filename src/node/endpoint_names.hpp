// Names of replicas for logs and catalogues, looked up in the endpoint table.
#pragma once

#include <string>

#include "models/placement.hpp"
#include "net/endpoint_table.hpp"

namespace thornwick::node {

// The replica's uid, or its number in digits where it is no longer known.
inline std::string uid_of(const net::EndpointTable& endpoints, ReplicaId replica) {
  const net::EndpointEntry* entry = endpoints.find(replica);
  return entry == nullptr ? std::to_string(replica) : entry->uid;
}

// What a catalogue matches replicas by. Empty where the replica is no longer known.
inline models::ReplicaIdentity replica_names(const net::EndpointTable& endpoints, ReplicaId replica) {
  const net::EndpointEntry* entry = endpoints.find(replica);
  if (entry == nullptr) return {};
  return {entry->uid, entry->model, entry->group};
}

}  // namespace thornwick::node
