// The core: owns the requests, their attempts and deadlines, and the one final answer of each request. It
// passes events from outside to the routing policy, and carries out the policy's actions through the
// interfaces of core/interfaces.hpp. It knows no wire format and no event loop, and does no I/O.
//
// Guarantees: each admitted request gets exactly one final answer, at the latest kDeadlineSlack after its
// deadline unless its answer has begun, and none after its client has disconnected; at most one attempt of a
// request is in flight at any time; after an attempt that may have run, no other is sent from the request's
// repeat limit on, or to a replica that does not discard the repeat, and the request is not rejected unless
// its class permits it (thornwick/repeat_rule.hpp), whichever decider asks for it; no timer outlives its
// request.
#pragma once

#include <functional>
#include <unordered_map>
#include <vector>

#include "affinity/affinity_table.hpp"
#include "core/active_request.hpp"
#include "core/counters.hpp"
#include "core/decider.hpp"
#include "core/events.hpp"
#include "core/final_answer.hpp"
#include "core/interfaces.hpp"
#include "core/replica_locations.hpp"
#include "core/timer_queue.hpp"
#include "thornwick/routing_policy.hpp"

namespace thornwick::core {

// The objects that the core uses. It does not own them, and all of them have to outlive it.
struct Dependencies {
  Clock& clock;
  UpstreamTransport& upstream;
  Discovery& discovery;
  PeerTransport& peers;
  std::function<void(const RequestSummary&)> on_request_end =
      {};                                             // called right before each request's final answer
  affinity::AffinityTable* affinity_table = nullptr;  // null: the policy decides without cache hints
};

// How long after a request's deadline the core waits for the routing policy before it sends a final answer
// itself. The protocol allows a longer slack after a deadline.
inline constexpr Time kDeadlineSlack = milliseconds(8);

// Not thread-safe: all calls have to come from one thread. Calls about requests and attempts that have ended
// are ignored.
class RequestManager {
 public:
  // If `decider` is null, the routing policy alone decides. Throws std::invalid_argument if the settings
  // contradict each other.
  RequestManager(const Settings& settings, const Dependencies& dependencies,
                 std::unique_ptr<Decider> decider = {});

  // Events from the clients.

  // Admits a request and returns the id that it assigns. `reply` has to stay valid until its final call or
  // client_disconnected(); the final call may be made before this function returns.
  RequestId admit(IncomingRequest incoming_request, Reply& reply);
  // The client has disconnected: the attempt is abandoned, and the reply is not called again.
  void client_disconnected(RequestId request_id);
  // The client reads too slowly: the core stops reading the replica's answer.
  void client_congested(RequestId request_id);
  // The client reads fast enough again: the core resumes reading.
  void client_caught_up(RequestId request_id);

  // Events from the replicas. `report` and `load` are values in the order of Settings::report_fields.

  void attempt_event(AttemptId attempt, const StreamEvent& event);
  void attempt_ended(AttemptId attempt, Outcome outcome, std::span<const float> report = {});
  void probe_ended(ReplicaId replica, bool alive, std::span<const float> report);
  // Returns whether the client still waits for the attempt. The transport checks it before it writes the
  // first byte, which may be long after the launch. If the client has disconnected, the attempt is abandoned
  // when the function returns.
  [[nodiscard]] bool client_is_waiting(AttemptId attempt);
  // Returns whether the attempt may still be sent: the time in which replicas discard a repeat of its request
  // has not passed. The transport checks it before it writes the first byte, as above.
  [[nodiscard]] bool repeat_is_allowed(AttemptId attempt);

  // Returns whether a request that was not admitted may be rejected, although attempts of it may have run
  // that this process knows nothing of. An unknown class counts as unsafe.
  [[nodiscard]] bool may_reject_after_unknown_attempts(std::uint8_t priority_class) const;

  // Events from discovery, the peers and the clock.

  void on_endpoints(EndpointUpdate scope, std::span<const Endpoint> entries);
  void on_peer_message(std::uint32_t rank, std::span<const std::uint8_t> message);
  void wake();

  const Counters& counters() const { return counters_; }
  // Returns the number of requests without a final answer.
  std::size_t open_requests() const { return requests_.size(); }
  // Returns the number of pending timers.
  std::size_t pending_timers() const { return timers_.size(); }
  const Decider& decider() const { return *decider_; }
  // Passes the state that a predecessor handed over to the decider.
  void learn(const LearnedState& learned_state) { decider_->learn(learned_state); }
  // Returns the ready replicas that are ejected now because they failed.
  std::vector<ReplicaId> ejected() const { return decider_->ejected(dependencies_.clock.now()); }

 private:
  // Whether a request continues after the end of an attempt.
  enum class RequestProgress { continues, concluded };

  Time now() const { return dependencies_.clock.now(); }
  ActiveRequest* find_request(RequestId id);
  ActiveRequest* find_current(AttemptId attempt);
  const ClassSettings& class_of(std::uint8_t priority_class) const;
  const ClassSettings& class_of(const ActiveRequest& request) const;

  void forward_event(ActiveRequest& request, const StreamEvent& event);
  void begin_answer(ActiveRequest& request);
  void learn_cache_use(const ActiveRequest& request);
  void report_result(ActiveRequest& request, Outcome outcome, RequestProgress progress,
                     std::span<const float> load);
  void abandon_attempt(ActiveRequest& request, Outcome outcome, RequestProgress progress);

  void on_timer_expired(const TimerEntry& timer);
  void on_attempt_timeout(AttemptId attempt);
  void on_request_deadline(RequestId id);

  void apply_actions();
  void apply(const Action& action);
  void apply_send(const Action& action);
  void apply_refusal(const Action& action);
  void apply_cancel(const Action& action);
  bool may_launch(const ActiveRequest& request, AttemptId attempt, const Action& action, Time sent) const;
  void launch(ActiveRequest& request, AttemptId attempt, const Action& action, Time sent);
  void report_not_sent(AttemptId attempt, ReplicaId replica, Time when);

  void conclude(RequestId id, const FinalAnswer& wanted);
  FinalAnswer permit(const FinalAnswer& wanted, const ActiveRequest& request);

  Dependencies dependencies_;
  std::unique_ptr<Decider> decider_;
  std::vector<ClassSettings> classes_;
  ReplicaLocations locations_;
  std::uint32_t max_attempts_;
  Time retry_after_;  // the wait that rejections and failures of the core itself advise
  std::unordered_map<RequestId, ActiveRequest> requests_;
  TimerQueue timers_;
  Counters counters_;
  RequestId last_id_ = 0;
  bool applying_actions_ = false;
};

}  // namespace thornwick::core
