// The decider of an installation with several models: each model has a pool with its own decider. Pools
// decides which model serves a request and when a fallback takes over, and passes what one pool learns about
// a replica to all pools that contain the replica. The pools' deciders choose replicas, retries and
// rejections; Pools decides whether a rejection is final.
//
// Guarantees for each request, over all models together: at most `max_attempts` attempts, never two at once,
// none after the first event of an answer, and no fallback to another model once an attempt may have run
// unless all replicas still discard the repeat (thornwick/repeat_rule.hpp).
#pragma once

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <map>
#include <memory>
#include <span>
#include <vector>

#include "core/decider.hpp"
#include "core/open_requests.hpp"
#include "models/fallback_queue.hpp"
#include "models/placement.hpp"
#include "models/pool.hpp"
#include "models/slow_start_controller.hpp"
#include "thornwick/repeat_rule.hpp"

namespace thornwick::models {

// Counts of requests, unless stated otherwise.
struct Metrics {
  std::map<FallbackReason, std::uint64_t> fallbacks;  // that another model accepted, by reason
  // Requests that fell back to no other model although one was configured:
  std::uint64_t declined_by_client = 0;         // the client accepts no other model
  std::uint64_t fallback_budget_exhausted = 0;  // too many recent requests went to other models
  std::uint64_t pool_refused = 0;       // the other pool was cold or full, or had its limit of fallback work
  std::uint64_t too_little_time = 0;    // too little time remained until the deadline
  std::uint64_t no_attempts_left = 0;   // max_attempts was reached
  std::uint64_t may_have_run = 0;       // an attempt may have run, and a repeat is not discarded everywhere
  std::uint64_t placement_changes = 0;  // changes of the placement of adapters, not requests
};

class Pools final : public core::Decider {
 public:
  struct Options {
    Settings settings;  // for the pools' deciders; each pool has a different seed
    Catalogue catalogue;
    std::function<ReplicaIdentity(ReplicaId)> identity_of;
    // Creates the decider of a model's pool.
    std::function<std::unique_ptr<core::Decider>(const Settings&, Time, ModelId)> make_decider;
  };
  Pools(Options options, Time now);

  // Replaces the catalogue; the new one must have the ids of the old one (see with_stable_ids). Open requests
  // continue in their pools.
  void replace_catalogue(Time now, const Catalogue& catalogue);

  void on_endpoints(Time now, EndpointUpdate scope, std::span<const Endpoint> entries) override;
  void on_request(Time now, const Request& request) override;
  void on_first_token(Time now, RequestId id, std::uint8_t attempt, ReplicaId replica, Time elapsed) override;
  void on_attempt_result(Time now, const AttemptResult& result) override;
  void on_client_disconnected(Time now, RequestId id) override;
  void on_timer(Time now, std::uint32_t token) override;
  void on_probe_result(Time now, ReplicaId replica, bool alive, std::span<const float> report) override;
  void on_peer_message(Time now, std::uint32_t peer, std::span<const std::uint8_t> message) override;
  std::vector<Action> take_actions() override;

  const Metrics& metrics() const { return metrics_; }
  // The ready replicas that serve a model now, sorted by id.
  std::vector<ReplicaId> replicas_of(ModelId model) const { return pools_.at(model)->ready_replicas(); }
  // Number of requests without a final answer or with an attempt in flight.
  std::size_t open_requests() const { return open_.size(); }

 private:
  enum class Origin { requested_model, fallback };
  struct Attempt {
    Pool* pool = nullptr;
    std::uint8_t number = 0;  // of the attempt, as counted by the pool's decider
  };
  struct OpenRequest {
    Request request;
    Pool* pool = nullptr;  // that currently handles the request
    std::vector<Attempt> attempts;
    AttemptHistory history;  // of the same attempts
    FallbackQueue fallbacks;
    bool attempt_in_flight = false;
    bool concluded = false;  // the request has its final answer, or its client disconnected
  };
  struct Timer {
    Pool* pool = nullptr;
    std::uint32_t token = 0;  // of the pool's decider
  };

  // Pools and their replicas. queue_pool() notes that a pool's decider may have new actions.
  void make_missing_pools(Time now);
  void set_adapters();
  ModelId base_of(ModelId model) const;
  std::vector<Endpoint> members_of(ModelId model) const;
  void update_members(Time now, Pool& pool, EndpointUpdate scope);
  void update_placements(Time now);
  void queue_pool(Pool& pool);
  void notify_pools_of(ReplicaId replica, const Pool* except,
                       const std::function<void(core::Decider&)>& notify);

  // Requests.
  bool is_known(ModelId model) const { return model != 0 && model <= options_.catalogue.models.size(); }
  [[nodiscard]] bool try_model(OpenRequest& open, ModelId model, Origin origin);
  [[nodiscard]] bool try_fallbacks(OpenRequest& open);
  bool may_run_at_another_model(const OpenRequest& open) const;
  void reject(RequestId id, const Request& request, Allowance::Rejection reason);

  // Actions of the pools' deciders.
  void on_action(Pool& pool, Action action, std::vector<Action>& actions);
  void on_send(Pool& pool, Action action, std::vector<Action>& actions);
  void on_rejection_or_failure(Pool& pool, Action action, std::vector<Action>& actions);
  void on_cancel(const Pool& pool, Action action, std::vector<Action>& actions);
  void on_set_timer(Pool& pool, Action action, std::vector<Action>& actions);

  Options options_;
  std::map<ModelId, std::unique_ptr<Pool>> pools_;
  std::map<ModelId, Placement> placements_;  // of adapters, by their base model
  std::map<ReplicaId, Endpoint> replicas_;   // all that discovery lists, including draining ones
  absl::flat_hash_map<ReplicaId, std::vector<Pool*>> pools_by_replica_;  // the pools that contain a replica
  core::OpenRequests<OpenRequest> open_;
  absl::flat_hash_map<std::uint32_t, Timer> timers_;
  std::uint32_t last_timer_token_ = 0;
  std::vector<Pool*> pools_with_actions_;  // pools whose deciders may have new actions
  std::vector<Action> local_actions_;      // of Pools, not of the pools' deciders
  FallbackBudget fallback_budget_;
  Metrics metrics_;
  Time now_ = 0;  // time of the latest call
  Time placements_updated_at_ = 0;
};

}  // namespace thornwick::models
