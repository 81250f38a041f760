#include "core/replica_locations.hpp"

namespace thornwick::core {

void ReplicaLocations::on_endpoints(EndpointUpdate scope, std::span<const Endpoint> entries) {
  if (scope == EndpointUpdate::failed) return;
  if (scope != EndpointUpdate::delta) locations_.clear();
  for (const Endpoint& entry : entries) {
    if (entry.state == EndpointState::removed) {
      locations_.erase(entry.id);
    } else {
      locations_[entry.id] = location_of(entry);
    }
  }
}

ReplicaLocation ReplicaLocations::find(ReplicaId replica) const {
  const auto found = locations_.find(replica);
  return found == locations_.end() ? ReplicaLocation{.id = replica, .listed = false} : found->second;
}

}  // namespace thornwick::core
