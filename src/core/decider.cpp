#include "core/decider.hpp"

namespace thornwick::core {
namespace {

// Forwards every call to a RoutingPolicy, which has no virtual functions.
class RoutingPolicyDecider final : public Decider {
 public:
  RoutingPolicyDecider(const Settings& settings, Time now) : policy_(settings, now) {}

  void on_endpoints(Time now, EndpointUpdate scope, std::span<const Endpoint> entries) override {
    policy_.on_endpoints(now, scope, entries);
  }
  void on_request(Time now, const Request& request) override { policy_.on_request(now, request); }
  void on_first_token(Time now, RequestId id, std::uint8_t attempt, ReplicaId replica,
                      Time elapsed) override {
    policy_.on_first_token(now, id, attempt, replica, elapsed);
  }
  void on_attempt_result(Time now, const AttemptResult& result) override {
    policy_.on_attempt_result(now, result);
  }
  void on_client_disconnected(Time now, RequestId id) override { policy_.on_client_disconnected(now, id); }
  void on_timer(Time now, std::uint32_t token) override { policy_.on_timer(now, token); }
  void on_probe_result(Time now, ReplicaId replica, bool alive, std::span<const float> report) override {
    policy_.on_probe_result(now, replica, alive, report);
  }
  void on_peer_message(Time now, std::uint32_t peer, std::span<const std::uint8_t> message) override {
    policy_.on_peer_message(now, peer, message);
  }
  void on_shared_send(ReplicaId replica) override { policy_.on_shared_send(replica); }
  LearnedState learned_state() const override { return policy_.learned_state(); }
  void learn(const LearnedState& learned_state) override { policy_.restore_learned_state(learned_state); }
  std::vector<ReplicaId> ejected(Time now) const override { return policy_.ejected(now); }
  std::vector<Action> take_actions() override { return policy_.take_actions(); }

 private:
  RoutingPolicy policy_;
};

}  // namespace

std::unique_ptr<Decider> make_routing_policy(const Settings& settings, Time now) {
  return std::make_unique<RoutingPolicyDecider>(settings, now);
}

}  // namespace thornwick::core
