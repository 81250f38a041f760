// The lifecycle of a request: arrival, sending, outcomes of its attempts, reviews as time passes, and its
// end.
//
// Guarantees:
// - Every request gets one final answer, from a replica or from this router.
// - A request that may have had an effect is repeated only where repeats are discarded.
// - No request is sent to a draining or removed replica.
// - The limits on attempts and on hedged requests hold.
#pragma once

#include <cstddef>
#include <cstdint>

#include "policy/overload.hpp"
#include "policy/peer_observations.hpp"
#include "policy/placement.hpp"
#include "policy/policy_state.hpp"
#include "policy/replica_health.hpp"
#include "policy/work_distribution.hpp"

namespace thornwick {

// Handles each request in progress from its arrival to its final answer.
class RequestLifecycle {
 public:
  // The modules of the policy that this class uses. They must outlive it.
  struct Modules {
    PolicyState& state;
    ReplicaHealth& health;
    Overload& overload;
    PeerObservations& peers;
    WorkDistribution& work;
    Placement& placement;
  };
  explicit RequestLifecycle(const Modules& modules)
      : state_(modules.state),
        health_(modules.health),
        overload_(modules.overload),
        peers_(modules.peers),
        work_(modules.work),
        placement_(modules.placement) {}

  // A request has arrived. A request with an unknown class or the id of another request in progress is
  // ignored.
  void on_request(Time now, const Request& request);
  // The first token of an answer has reached the client.
  void on_first_token(Time now, RequestId id, ReplicaId replica);
  // An attempt has ended: one of this module's requests, or of another module's (id 0).
  void on_attempt_result(Time now, const AttemptResult& result);
  // A timer has expired. If its token belongs to a review, the request is reviewed.
  void on_timer(Time now, std::uint32_t token);

 private:
  const ClassSettings& class_of(const PendingRequest& pending) const {
    return state_.settings.classes[pending.request.priority_class];
  }
  Time objective_of(const Request& request) const {
    return latency_objective_of(state_.settings.classes[request.priority_class], request);
  }

  void route(Time now, PendingRequest& pending);
  // Sends the request, or ends it if the attempt is not allowed: no request may remain without an answer.
  // Sets the next review.
  void send(Time now, PendingRequest& pending, Replica& replica);
  // Whether the request may be sent to the replica: the replica is ready, the deadline has not passed, the
  // limits on attempts and hedged requests hold, and no repeat can do harm (thornwick/repeat_rule.hpp).
  bool may_send(Time now, const PendingRequest& pending, const Replica& replica) const;

  // Whether a failed attempt took only a small fraction of the latency objective, so that it was little load
  // for the replica.
  static bool is_quick(const AttemptResult& result, Time latency_objective);
  void learn_from_answer_time(Time now, const PendingRequest& pending);
  // Counts the failure for the replica. `pending` is nullptr if the request belongs to another module or has
  // ended. A time-out at the client's deadline is not counted, because review_unanswered_attempt() has judged
  // the replica by then.
  void learn_from_failure(Time now, const AttemptResult& result, Replica& replica,
                          const PendingRequest* pending);

  // Sends the request again after a failed attempt, or ends it. A request that a replica rejected because it
  // was full is sent to an adjacent replica, once. After any other failure, the request is sent to another
  // replica if the retry budget allows; a quick failure does not use the budget, because it was little load
  // for the replica.
  void retry_or_end(Time now, PendingRequest& pending, const AttemptResult& result);
  void move_to_adjacent(Time now, PendingRequest& pending, ReplicaId last_replica);
  // Sends the request to another replica if the retry budget allows. Returns whether it did. The budget
  // limits second attempts to a fixed fraction of the requests, which guards against retry storms.
  bool send_second_attempt(Time now, PendingRequest& pending, ReplicaId last_replica);

  // Sets the timer for a review of the request: at `review_at`, or at the request's deadline if that is
  // earlier.
  void set_review(const PendingRequest& pending, Time review_at) {
    state_.actions.set_timer(std::min(review_at, pending.request.deadline), reviews_.add(pending.request.id));
  }
  // Ends the request if its time is over, routes it if it was not sent yet, and otherwise judges the replica
  // that has not answered.
  void review(Time now, PendingRequest& pending);
  // Judges the replica of an unanswered attempt. If the replica has answered nothing else since the attempt
  // was sent, this counts as a failure; if that ejects the replica, the request is also sent to another one
  // where hedging is allowed. Guards against replicas that accept requests and answer none.
  void review_unanswered_attempt(Time now, PendingRequest& pending);

  // Rejects the request if its attempts permit that, or fails it, and deletes its record: `pending` is
  // dangling afterwards.
  void end(PendingRequest& pending, RefusalReason reason);
  // Cancels the attempt if it is outstanding and the deployment allows it.
  void cancel(const PendingRequest& pending, std::size_t attempt);

  PolicyState& state_;
  ReplicaHealth& health_;
  Overload& overload_;
  PeerObservations& peers_;
  WorkDistribution& work_;
  Placement& placement_;
  double retry_budget_ = 0;  // number of second attempts that may be sent
  ReviewTimers reviews_;
};

}  // namespace thornwick
