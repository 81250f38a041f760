// Decides which replicas of a base model's pool load which adapter. Every router computes the placement from
// names and ids alone, so that the routers agree without messages: each adapter takes the first replicas in
// an order derived from its name (rendezvous hashing, Thaler and Ravishankar 1998), as many as its share of
// the work requires, and no replica gets more than a fixed number of adapters. A replica that gets an
// additional adapter has to load it and counts as cold for that adapter meanwhile.
//
// Times are in microseconds; work is in tokens.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "models/catalogue.hpp"

namespace thornwick::models {

struct PlacementOptions {
  std::size_t adapters_per_replica = 4;
  // An adapter gets replicas for this multiple of its share of the work.
  double spare_factor = 1.5;
  Time half_life = seconds(10);  // of the exponentially decayed demand
  Time keep_for = seconds(60);   // time that a replica beyond the target keeps the adapter
};

class Placement {
 public:
  explicit Placement(const PlacementOptions& options) : options_(options) {}

  // Sets the adapters, in the order of the catalogue. An adapter that remains keeps its replicas.
  struct Adapter {
    ModelId id = 0;
    std::string name;
    std::size_t min_replicas = 1;
    std::size_t max_replicas = 1'000'000;
  };
  void set_adapters(const std::vector<Adapter>& adapters);
  // Sets the pool's ready replicas.
  void set_replicas(Time now, const std::vector<ReplicaId>& replicas);

  // Records work that was requested of an adapter (0: of the base model itself).
  void record_demand(Time now, ModelId adapter, double work);
  // Recomputes the placement; returns true if it has changed.
  bool update(Time now);

  struct Loaded {
    ReplicaId replica = 0;
    Time loaded_at = 0;  // 0: loaded before this router started
  };
  // Sorted by replica id; empty for an unknown adapter. Valid until the next call of a non-const member.
  const std::vector<Loaded>& replicas_of(ModelId adapter) const;
  // The number of adapters that a replica has loaded.
  std::size_t adapter_count(ReplicaId replica) const;

 private:
  struct AdapterState {
    Adapter adapter;
    double demand = 0;
    std::vector<Loaded> replicas;
    std::map<ReplicaId, Time> surplus_since;
  };
  // The number of adapters that each replica has in the new placement.
  using AdapterCounts = std::map<ReplicaId, std::size_t>;

  void decay(Time now);
  std::size_t target_count(const AdapterState& state) const;
  std::vector<ReplicaId> replica_order(const AdapterState& state) const;
  // The target replicas of each adapter, sorted.
  std::vector<std::vector<ReplicaId>> choose(AdapterCounts& counts) const;
  void keep_surplus_replicas(Time now, AdapterState& state, std::vector<ReplicaId>& chosen,
                             AdapterCounts& counts) const;
  bool update_replicas(Time now, AdapterState& state, const std::vector<ReplicaId>& chosen) const;

  PlacementOptions options_;
  std::vector<ReplicaId> replicas_;  // sorted
  std::vector<AdapterState> adapters_;
  double total_demand_ = 0;
  Time decayed_at_ = 0;
  bool has_listed_replicas_ = false;  // since the start of this router
};

}  // namespace thornwick::models
