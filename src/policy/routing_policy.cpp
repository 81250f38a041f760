// Creates the modules of the routing policy, and passes each event to the module that handles it. To
// understand the policy, start with request_lifecycle.cpp.
#include "thornwick/routing_policy.hpp"

#include "policy/discovery.hpp"
#include "policy/interval_cuts.hpp"
#include "policy/learned_state.hpp"
#include "policy/overload.hpp"
#include "policy/peer_observations.hpp"
#include "policy/placement.hpp"
#include "policy/policy_state.hpp"
#include "policy/replica_health.hpp"
#include "policy/request_lifecycle.hpp"
#include "policy/work_distribution.hpp"

namespace thornwick {

// Neither copied nor moved, because the modules hold references to each other and to the shared data.
struct RoutingPolicy::State {
  State(const Settings& settings, Time now) : data(settings), discovery(data, now) {}

  PolicyState data;
  Discovery discovery;
  ReplicaHealth health{data};
  Overload overload{data};
  PeerObservations peers{data, health, overload};
  WorkDistribution work{data};
  IntervalCuts cuts{data, health, work};
  Placement placement{data, health, work, cuts};
  RequestLifecycle lifecycle{{data, health, overload, peers, work, placement}};
};

RoutingPolicy::RoutingPolicy(const Settings& settings, Time now)
    : state_(std::make_unique<State>(settings, now)) {}
RoutingPolicy::~RoutingPolicy() = default;
RoutingPolicy::RoutingPolicy(RoutingPolicy&&) noexcept = default;
RoutingPolicy& RoutingPolicy::operator=(RoutingPolicy&&) noexcept = default;

void RoutingPolicy::on_endpoints(Time now, EndpointUpdate scope, std::span<const Endpoint> entries) {
  state_->discovery.on_endpoints(now, scope, entries);
}

void RoutingPolicy::on_request(Time now, const Request& request) {
  state_->lifecycle.on_request(now, request);
}

void RoutingPolicy::on_first_token(Time now, RequestId id, std::uint8_t, ReplicaId replica, Time) {
  state_->lifecycle.on_first_token(now, id, replica);
}

void RoutingPolicy::on_attempt_result(Time now, const AttemptResult& result) {
  state_->lifecycle.on_attempt_result(now, result);
}

void RoutingPolicy::on_client_disconnected(Time, RequestId id) { state_->data.pending.erase(id); }

void RoutingPolicy::on_shared_send(ReplicaId replica) { state_->data.count_shared_send(replica); }

void RoutingPolicy::on_timer(Time now, std::uint32_t token) {
  state_->discovery.on_timer(token);
  state_->peers.on_timer(token);
  state_->lifecycle.on_timer(now, token);
}

void RoutingPolicy::on_probe_result(Time now, ReplicaId replica, bool alive, std::span<const float>) {
  if (alive) state_->health.on_alive(now, replica);
}

void RoutingPolicy::on_peer_message(Time now, std::uint32_t peer, std::span<const std::uint8_t> message) {
  state_->peers.on_message(now, peer, message);
}

LearnedState RoutingPolicy::learned_state() const { return export_learned_state(state_->data); }

void RoutingPolicy::restore_learned_state(const LearnedState& learned_state) {
  import_learned_state(state_->data, learned_state,
                       {.max_samples = WorkDistribution::max_samples(),
                        .max_prefixes = WorkDistribution::max_prefixes(),
                        .min_speed_factor = ReplicaHealth::min_speed_factor(),
                        .max_load_shedding = Overload::max_load_shedding()});
}

std::vector<ReplicaId> RoutingPolicy::ejected(Time now) const { return state_->data.ejected(now); }

std::vector<Action> RoutingPolicy::take_actions() { return state_->data.actions.take(); }

}  // namespace thornwick
