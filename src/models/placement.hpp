// Which replicas of a base model's pool have which adapter loaded. Every router
// computes it from names and ids alone, so that routers agree without messages:
// each adapter takes the first replicas of an order that its name gives
// (rendezvous hashing, Thaler and Ravishankar 1998), as many as its share of
// the work needs, and no replica gets more than a fixed number of adapters. A
// replica that gets an adapter anew has to load it, and counts as cold for that
// adapter meanwhile.
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
  double spare = 1.5;            // an adapter gets replicas for this multiple of its share
                                 // of the work
  Time half_life = seconds(10);  // of remembered demand
  Time keep_for = seconds(60);   // a replica that is no longer wanted keeps the
                                 // adapter for so long
};

class Placement {
 public:
  explicit Placement(const PlacementOptions& options) : options_(options) {}

  // Adapters by number, in the catalogue's order. Those that stay keep their
  // replicas.
  struct Adapter {
    ModelId number = 0;
    std::string name;
    std::size_t min_replicas = 1;
    std::size_t max_replicas = 1'000'000;
  };
  void set_adapters(const std::vector<Adapter>& adapters);
  // The pool's ready replicas.
  void set_replicas(Time now, const std::vector<ReplicaId>& replicas);

  // Work asked of an adapter (0: of the base model itself).
  void asked(Time now, ModelId adapter, double work);
  // Recomputes which replicas have which adapter; true if that has changed.
  bool update(Time now);

  struct Loaded {
    ReplicaId replica = 0;
    Time since = 0;  // 0: from the start on
  };
  // By replica id; none for an unknown adapter. Valid until the next call that
  // is not const.
  const std::vector<Loaded>& replicas_of(ModelId adapter) const;
  // How many adapters a replica has loaded.
  std::size_t loaded_on(ReplicaId replica) const;

 private:
  struct Set {
    Adapter adapter;
    double demand = 0;
    std::vector<Loaded> replicas;
    std::map<ReplicaId, Time> unwanted_since;
  };
  using AdapterCounts = std::map<ReplicaId,
                                 std::size_t>;  // adapters that a replica has in the new sets

  void fade(Time now);
  std::size_t wanted(const Set& set) const;
  std::vector<ReplicaId> order_for(const Set& set) const;
  // The wanted replicas of each set, sorted.
  std::vector<std::vector<ReplicaId>> choose(AdapterCounts& counts) const;
  void keep_unwanted(Time now, Set& set, std::vector<ReplicaId>& chosen, AdapterCounts& counts) const;
  bool load(Time now, Set& set, const std::vector<ReplicaId>& chosen) const;

  PlacementOptions options_;
  std::vector<ReplicaId> replicas_;  // sorted
  std::vector<Set> sets_;
  double all_demand_ = 0;
  Time faded_at_ = 0;
  bool began_ = false;  // some replicas have been listed
};

}  // namespace thornwick::models
