// Looks up names of replicas in the endpoint table, for logs and for the catalogue of models.
#pragma once

#include <string>

#include "models/placement.hpp"
#include "net/endpoint_table.hpp"

namespace thornwick::node {

// Returns the replica's uid, or its id in digits if the endpoint table no longer has the replica.
inline std::string uid_of(const net::EndpointTable& endpoints, ReplicaId replica) {
  const net::EndpointEntry* entry = endpoints.find(replica);
  return entry == nullptr ? std::to_string(replica) : entry->uid;
}

// Returns the replica's id, or the one that it would prefer if the endpoint table does not have the replica.
inline ReplicaId id_of(const net::EndpointTable& endpoints, const std::string& uid) {
  return endpoints.id_of(uid).value_or(net::preferred_id(uid));
}

// Returns the names by which the catalogue selects replicas. They are empty if the endpoint table no longer
// has the replica.
inline models::ReplicaIdentity replica_identity(const net::EndpointTable& endpoints, ReplicaId replica) {
  const net::EndpointEntry* entry = endpoints.find(replica);
  if (entry == nullptr) return {};
  return {entry->uid, entry->model, entry->group};
}

}  // namespace thornwick::node
