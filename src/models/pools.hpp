// The decider of an installation with several models: one pool with its own decider for each model. Decides
// which model serves a request and when another one takes its place, and passes what is learned of a replica
// to all pools that have it. The pools' deciders choose the replica, the retry and the rejection; here it is
// decided whether a rejection is final.
//
// Guarantees for each request, over all models together: at most `max_attempts` attempts, never two at once,
// and none after the first event of an answer.
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

namespace thornwick::models {

// Requests, unless said otherwise.
struct Metrics {
  std::map<FallbackReason, std::uint64_t> fallbacks;  // that another model took, by reason
  // That no other model took, though there was one to ask:
  std::uint64_t declined_by_client = 0;         // the client accepts no other
  std::uint64_t fallback_budget_exhausted = 0;  // too many were taken by other models lately
  std::uint64_t pool_refused = 0;       // the other pool was cold, full, or had its share of foreign requests
  std::uint64_t too_little_time = 0;    // the client waits for too short a time
  std::uint64_t no_attempts_left = 0;   // no attempt was left
  std::uint64_t placement_changes = 0;  // changes of which replica has which adapter
};

class Pools final : public core::Decider {
 public:
  struct Options {
    Settings settings;  // of every pool's decider; each gets a seed of its own
    Catalogue catalogue;
    std::function<ReplicaIdentity(ReplicaId)> identity_of;
    // Makes the decider of a model's pool.
    std::function<std::unique_ptr<core::Decider>(const Settings&, Time, ModelId)> make_decider;
  };
  Pools(Options options, Time now);

  // Another catalogue with the old one's numbers (see with_stable_ids). Open requests go on where they are.
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
  // Ready replicas that serve a model now, by id.
  std::vector<ReplicaId> replicas_of(ModelId model) const { return pools_.at(model)->ready_replicas(); }
  // Requests without a final answer, or with an attempt in flight.
  std::size_t open() const { return open_.size(); }

 private:
  enum class Origin { own_model, other_model };
  struct Attempt {
    Pool* pool = nullptr;
    std::uint8_t number = 0;  // as the pool's decider counts
    ReplicaId replica = 0;
  };
  struct OpenRequest {
    Request request;
    Pool* pool = nullptr;  // that has it now
    std::vector<Attempt> attempts;
    FallbackQueue fallbacks;
    bool attempt_in_flight = false;
    bool concluded = false;  // it has its final answer, or its client has gone
  };
  struct Timer {
    Pool* pool = nullptr;
    std::uint32_t token = 0;  // of the pool's decider
  };

  // Pools and their replicas.
  void make_missing_pools(Time now);
  void set_adapters();
  ModelId base_of(ModelId model) const;
  std::vector<Endpoint> members_of(ModelId model) const;
  void update_members(Time now, Pool& pool, EndpointUpdate scope);
  void update_placements(Time now);
  void mark_touched(Pool& pool);
  void notify_sharing(ReplicaId replica, const Pool* except,
                      const std::function<void(core::Decider&)>& notify);

  // Requests.
  bool is_known(ModelId model) const { return model != 0 && model <= options_.catalogue.models.size(); }
  [[nodiscard]] bool try_model(OpenRequest& open, ModelId model, Origin origin);
  [[nodiscard]] bool try_fallbacks(OpenRequest& open);
  void reject(RequestId id, const Request& request, Allowance::Rejection why);

  // Actions of the pools' deciders.
  void on_action(Pool& pool, Action action, std::vector<Action>& actions);
  void on_send(Pool& pool, Action action, std::vector<Action>& actions);
  void on_given_up(Pool& pool, Action action, std::vector<Action>& actions);
  void on_cancel(const Pool& pool, Action action, std::vector<Action>& actions);
  void on_set_timer(Pool& pool, Action action, std::vector<Action>& actions);

  Options options_;
  std::map<ModelId, std::unique_ptr<Pool>> pools_;
  std::map<ModelId, Placement> placements_;  // of adapters, by their base model
  std::map<ReplicaId, Endpoint> replicas_;   // all that discovery lists, those that drain included
  absl::flat_hash_map<ReplicaId, std::vector<Pool*>> sharing_;  // the pools that a replica is in
  core::OpenRequests<OpenRequest> open_;
  absl::flat_hash_map<std::uint32_t, Timer> timers_;
  std::uint32_t last_timer_ = 0;
  std::vector<Pool*> touched_;       // whose deciders may have new actions
  std::vector<Action> own_actions_;  // besides the deciders'
  FallbackBudget fallback_budget_;
  Metrics metrics_;
  Time now_ = 0;  // of the latest call
  Time placements_updated_at_ = 0;
};

}  // namespace thornwick::models
