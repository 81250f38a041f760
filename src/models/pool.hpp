// The replicas that can take each other's place for one model, and the decider that chooses among them.
#pragma once

#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "core/decider.hpp"
#include "models/slow_start_controller.hpp"

namespace thornwick::models {

// The endpoint updates that a pool's decider has to get, and which replicas the pool has gained and lost.
struct MembershipChange {
  std::vector<Endpoint> updates;
  std::vector<ReplicaId> joined;
  std::vector<ReplicaId> left;
};

class Pool {
 public:
  Pool(ModelId model, std::unique_ptr<core::Decider> decider, SlowStartController slow_start)
      : model_(model), decider_(std::move(decider)), slow_start_(std::move(slow_start)) {}

  ModelId model() const { return model_; }
  core::Decider& decider() { return *decider_; }
  // Bounds what the pool takes over from other models.
  SlowStartController& slow_start() { return slow_start_; }

  // Whether the decider was called since its actions were taken.
  bool is_touched() const { return touched_; }
  void set_touched(bool touched) { touched_ = touched; }

  // The pool's replicas from now on. With `delta` the updates are what has changed, else all replicas.
  [[nodiscard]] MembershipChange replace_members(const std::vector<Endpoint>& members, EndpointUpdate scope);
  bool has_ready_replica() const;
  // By id.
  std::vector<ReplicaId> ready_replicas() const;

 private:
  ModelId model_;
  std::unique_ptr<core::Decider> decider_;
  SlowStartController slow_start_;
  bool touched_ = false;
  std::map<ReplicaId, Endpoint> members_;  // as the decider knows them
};

}  // namespace thornwick::models
