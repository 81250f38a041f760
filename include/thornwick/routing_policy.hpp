// The thornwick routing policy: events and a clock in, actions out. This header is the whole interface of the
// installed library; it includes the settings, events, actions and the learned state.
//
// One RoutingPolicy makes the decisions of one request router. Feed it events with a clock; after each event,
// collect what it wants done with take_actions(). It does no input or output, keeps no global state and
// reads no clock of its own, so equal events always yield equal actions. It is not thread-safe.
#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <vector>

#include "thornwick/actions.hpp"
#include "thornwick/events.hpp"
#include "thornwick/learned_state.hpp"
#include "thornwick/settings.hpp"
#include "thornwick/types.hpp"

namespace thornwick {

// Events that refer to an unknown request or replica are ignored.
class RoutingPolicy {
 public:
  // Throws std::invalid_argument where settings make no sense.
  RoutingPolicy(const Settings& settings, Time now);
  ~RoutingPolicy();
  RoutingPolicy(RoutingPolicy&&) noexcept;
  RoutingPolicy& operator=(RoutingPolicy&&) noexcept;

  // The endpoint list has changed, or a call for it has failed.
  void on_endpoints(Time now, EndpointUpdate scope, std::span<const Endpoint> entries);
  // A request has arrived. Its id must not be that of a request in work.
  void on_request(Time now, const Request& request);
  // The first token of an answer has come from a replica.
  void on_first_token(Time now, RequestId id, std::uint8_t attempt, ReplicaId replica, Time elapsed);
  // An attempt has ended.
  void on_attempt_result(Time now, const AttemptResult& result);
  // The client no longer wants an answer.
  void on_client_disconnected(Time now, RequestId id);
  // A timer that an action has set is due.
  void on_timer(Time now, std::uint32_t token);
  // A replica that serves other pools too has been sent a request by another module. How that ends comes as
  // on_attempt_result (and on_first_token) for the id 0, which is no request's.
  void on_shared_send(ReplicaId replica);
  // A probe of a replica has ended.
  void on_probe_result(Time now, ReplicaId replica, bool alive, std::span<const float> report);
  // A message of the peer with that rank. One that cannot be read is ignored.
  void on_peer_message(Time now, std::uint32_t peer, std::span<const std::uint8_t> message);

  // What was learned, for a successor.
  LearnedState learned_state() const;
  // Takes over a predecessor's, once the endpoint list is known. Values out of range, and what concerns
  // replicas that are not listed, are passed over.
  void learn(const LearnedState& learned_state);
  // The listed, ready replicas that get nothing now because they failed.
  std::vector<ReplicaId> ejected(Time now) const;

  // The actions decided since the last call, in the order they are to be carried out.
  std::vector<Action> take_actions();

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace thornwick
