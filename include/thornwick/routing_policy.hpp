// The thornwick routing policy: it takes events with the time, and decides actions. This header is the whole
// interface of the installed library; it includes the settings, events, actions and the learned state.
//
// One RoutingPolicy makes the decisions of one request router. Call it for each event with the current time,
// and collect the decided actions with take_actions() after each event. It does no input or output, keeps no
// global state and reads no clock, so equal events always yield equal actions. It is not thread-safe.
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

// Makes the decisions of one router. Events that refer to an unknown request or replica are ignored.
class RoutingPolicy {
 public:
  // Throws std::invalid_argument if a setting is invalid.
  RoutingPolicy(const Settings& settings, Time now);
  ~RoutingPolicy();
  RoutingPolicy(RoutingPolicy&&) noexcept;
  RoutingPolicy& operator=(RoutingPolicy&&) noexcept;

  // The endpoint list has changed, or a call of discovery has failed.
  void on_endpoints(Time now, EndpointUpdate scope, std::span<const Endpoint> entries);
  // A request has arrived. Its id must not be that of another request in progress.
  void on_request(Time now, const Request& request);
  // The first token of an answer has arrived from a replica, `elapsed` after the attempt was sent.
  void on_first_token(Time now, RequestId id, std::uint8_t attempt, ReplicaId replica, Time elapsed);
  // An attempt has ended.
  void on_attempt_result(Time now, const AttemptResult& result);
  // The client has disconnected and needs no answer.
  void on_client_disconnected(Time now, RequestId id);
  // A timer that an action has set has expired. `token` is that of the action.
  void on_timer(Time now, std::uint32_t token);
  // Another module has sent a request to a replica that also serves other pools. The end of that attempt is
  // reported with on_attempt_result (and its first token with on_first_token) for the id 0, which no request
  // has.
  void on_shared_send(ReplicaId replica);
  // A probe of a replica has ended.
  void on_probe_result(Time now, ReplicaId replica, bool alive, std::span<const float> report);
  // A message has arrived from the peer with that rank. A malformed message is ignored.
  void on_peer_message(Time now, std::uint32_t peer, std::span<const std::uint8_t> message);

  // Returns what was learned, for a successor.
  LearnedState learned_state() const;
  // Takes over what a predecessor has learned. To be called once the endpoint list is known. Values out of
  // range, and records of replicas that are not listed, are skipped.
  void restore_learned_state(const LearnedState& learned_state);
  // Returns the ids of the listed, ready replicas that get no requests now because they failed.
  std::vector<ReplicaId> ejected(Time now) const;

  // Returns the actions decided since the last call, in the order in which they must be carried out.
  std::vector<Action> take_actions();

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace thornwick
