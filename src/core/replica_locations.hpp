// Where the replicas of the endpoint list are, as far as the deduplication of repeats depends on it.
#pragma once

#include <span>
#include <unordered_map>

#include "thornwick/repeat_rule.hpp"
#include "thornwick/routing_policy.hpp"

namespace thornwick::core {

class ReplicaLocations {
 public:
  // Applies an update of the endpoint list.
  void on_endpoints(EndpointUpdate scope, std::span<const Endpoint> entries);
  // Returns the location of a replica; one with `listed` false if the list does not have it.
  ReplicaLocation find(ReplicaId replica) const;

 private:
  std::unordered_map<ReplicaId, ReplicaLocation> locations_;  // of the listed replicas
};

}  // namespace thornwick::core
