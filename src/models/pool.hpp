// A pool: the replicas that serve one model, and the decider that chooses among them.
#pragma once

#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "core/decider.hpp"
#include "models/slow_start_controller.hpp"

namespace thornwick::models {

// The endpoint updates for a pool's decider, and the replicas that the pool has gained and lost.
struct PoolChange {
  std::vector<Endpoint> updates;
  std::vector<ReplicaId> joined;
  std::vector<ReplicaId> removed;
};

class Pool {
 public:
  Pool(ModelId model, std::unique_ptr<core::Decider> decider, SlowStartController slow_start)
      : model_(model), decider_(std::move(decider)), slow_start_(std::move(slow_start)) {}

  ModelId model() const { return model_; }
  core::Decider& decider() { return *decider_; }
  // Limits the fallback work that the pool accepts from other models.
  SlowStartController& slow_start() { return slow_start_; }

  // Whether the decider was called since its actions were last taken.
  bool has_pending_actions() const { return pending_actions_; }
  void set_pending_actions(bool pending) { pending_actions_ = pending; }

  // Replaces the pool's replicas. With scope `delta` the updates are the differences; otherwise they are all
  // replicas.
  [[nodiscard]] PoolChange replace_members(const std::vector<Endpoint>& members, EndpointUpdate scope);
  bool has_ready_replica() const;
  // Sorted by id.
  std::vector<ReplicaId> ready_replicas() const;

 private:
  ModelId model_;
  std::unique_ptr<core::Decider> decider_;
  SlowStartController slow_start_;
  bool pending_actions_ = false;
  std::map<ReplicaId, Endpoint> members_;  // as last passed to the decider
};

}  // namespace thornwick::models
