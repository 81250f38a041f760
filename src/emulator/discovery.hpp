// The discovery service of an emulated day: the endpoints that it has registered, and the delays after which
// it registers changes.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <deque>
#include <vector>

#include "emulator/scenario.hpp"

namespace thornwick::emulator {

struct EndpointChange {
  Endpoint endpoint;
  std::uint32_t replica = 0;  // index into the day's replicas
};

class DiscoveryService {
 public:
  // Draws the delays.
  DiscoveryService(const Scenario& scenario, std::uint64_t seed);

  // Delays, in seconds, until a change is registered: of a replica that drains or has ended, of a replica
  // that cannot be reached, and of a replica that has started.
  double removal_delay_s() const { return removal_delay_s_; }
  double unreachable_delay_s() const { return unreachable_delay_s_; }
  double addition_delay_s() const { return addition_delay_s_; }

  // Registers an endpoint without a delay.
  void add(const Endpoint& endpoint) { registered_[endpoint.id] = endpoint; }

  // Stores a change that has happened and is not registered yet. Returns the change's index.
  [[nodiscard]] std::uint64_t record(const EndpointChange& change);

  // The returned reference stays valid until the end of the day.
  const EndpointChange& change(std::uint64_t index) const { return changes_[index]; }

  // Registers a recorded change.
  void apply(std::uint64_t index);

  // Returns the registered endpoints in the order of their ids.
  std::vector<Endpoint> endpoints() const;

 private:
  double removal_delay_s_ = 0;
  double unreachable_delay_s_ = 0;
  double addition_delay_s_ = 0;
  std::deque<EndpointChange> changes_;
  absl::flat_hash_map<ReplicaId, Endpoint> registered_;
};

}  // namespace thornwick::emulator
