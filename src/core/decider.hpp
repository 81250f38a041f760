// A decider makes the decisions of the core. It is the routing policy, one of the decorators around it, or,
// in the emulator, a baseline policy to compare it with. thornwick/routing_policy.hpp defines its events and
// actions and the rules for them.
#pragma once

#include <memory>
#include <span>
#include <utility>
#include <vector>

#include "thornwick/routing_policy.hpp"

namespace thornwick::core {

// The `time` of a send action that the core must not launch. Decorators set it to veto a send. The attempt
// takes a number like any other, and its outcome is `not_sent`.
inline constexpr Time kNotSent = -1;

// Receives events and returns the actions that it decides on. Not thread-safe. A decider does no I/O and
// never calls back from an event: its actions wait for take_actions(). The core carries out a send or a
// rejection only if the attempts of the request permit it (thornwick/repeat_rule.hpp): a send that they do
// not permit gets the outcome `not_sent`, and such a rejection becomes a failure. So a decider may reject a
// request of whose attempts it does not know.
class Decider {
 public:
  virtual ~Decider() = default;
  virtual void on_endpoints(Time now, EndpointUpdate scope, std::span<const Endpoint> entries) = 0;
  virtual void on_request(Time now, const Request& request) = 0;
  virtual void on_first_token(Time now, RequestId id, std::uint8_t attempt, ReplicaId replica,
                              Time elapsed) = 0;
  virtual void on_attempt_result(Time now, const AttemptResult& result) = 0;
  virtual void on_client_disconnected(Time now, RequestId id) = 0;
  virtual void on_timer(Time now, std::uint32_t token) = 0;
  virtual void on_probe_result(Time now, ReplicaId replica, bool alive, std::span<const float> report) = 0;
  virtual void on_peer_message(Time now, std::uint32_t peer, std::span<const std::uint8_t> message) = 0;
  // The policy of another pool has sent a request to this replica (see RoutingPolicy::on_shared_send).
  virtual void on_shared_send(ReplicaId) {}
  // learned_state() returns the state to hand over to a successor process, where learn() adopts it. A decider
  // that combines several policies hands over nothing.
  virtual LearnedState learned_state() const { return {}; }
  virtual void learn(const LearnedState&) {}
  // Returns the ready replicas that are ejected at this time because they failed.
  virtual std::vector<ReplicaId> ejected(Time) const { return {}; }
  // Returns the actions decided since the last call, in the order in which they are to be carried out.
  virtual std::vector<Action> take_actions() = 0;
};

// Base of deciders that wrap another one: forwards every call. Derived classes override what they change.
class DeciderDecorator : public Decider {
 public:
  explicit DeciderDecorator(std::unique_ptr<Decider> inner) : inner_(std::move(inner)) {}

  void on_endpoints(Time now, EndpointUpdate scope, std::span<const Endpoint> entries) override {
    inner_->on_endpoints(now, scope, entries);
  }
  void on_request(Time now, const Request& request) override { inner_->on_request(now, request); }
  void on_first_token(Time now, RequestId id, std::uint8_t attempt, ReplicaId replica,
                      Time elapsed) override {
    inner_->on_first_token(now, id, attempt, replica, elapsed);
  }
  void on_attempt_result(Time now, const AttemptResult& result) override {
    inner_->on_attempt_result(now, result);
  }
  void on_client_disconnected(Time now, RequestId id) override { inner_->on_client_disconnected(now, id); }
  void on_timer(Time now, std::uint32_t token) override { inner_->on_timer(now, token); }
  void on_probe_result(Time now, ReplicaId replica, bool alive, std::span<const float> report) override {
    inner_->on_probe_result(now, replica, alive, report);
  }
  void on_peer_message(Time now, std::uint32_t peer, std::span<const std::uint8_t> message) override {
    inner_->on_peer_message(now, peer, message);
  }
  void on_shared_send(ReplicaId replica) override { inner_->on_shared_send(replica); }
  LearnedState learned_state() const override { return inner_->learned_state(); }
  void learn(const LearnedState& learned_state) override { inner_->learn(learned_state); }
  std::vector<ReplicaId> ejected(Time now) const override { return inner_->ejected(now); }
  std::vector<Action> take_actions() override { return inner_->take_actions(); }

 protected:
  std::unique_ptr<Decider> inner_;
};

// Returns a decider that is the routing policy alone. Throws std::invalid_argument if the settings contradict
// each other.
[[nodiscard]] std::unique_ptr<Decider> make_routing_policy(const Settings& settings, Time now);

}  // namespace thornwick::core
