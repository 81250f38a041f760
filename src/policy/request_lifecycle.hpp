// The life of a request: arrival, sending, outcomes of its attempts, reviews as time passes, and its end.
//
// Guarantees: every request gets one final answer, from a replica or from this router; a request that may
// have had an effect is repeated only where repeats are discarded; nothing is sent to a replica that is
// draining or gone; the limits on attempts and on copies of a request hold.
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

// Carries each request in work from its arrival to its final answer.
class RequestLifecycle {
 public:
  // The parts of the policy that the life of a request goes through; they outlive this.
  struct Parts {
    PolicyState& state;
    ReplicaHealth& health;
    Overload& overload;
    PeerObservations& peers;
    WorkDistribution& work;
    Placement& placement;
  };
  explicit RequestLifecycle(const Parts& parts)
      : state_(parts.state),
        health_(parts.health),
        overload_(parts.overload),
        peers_(parts.peers),
        work_(parts.work),
        placement_(parts.placement) {}

  // A request arrives. One with an unknown class or the id of a request in work is ignored.
  void on_request(Time now, const Request& request);
  // The first token of an answer has reached the client.
  void on_first_token(Time now, RequestId id, ReplicaId replica);
  // An attempt has ended, of this module's requests or of another's (id 0).
  void on_attempt_result(Time now, const AttemptResult& result);
  // A review of a request is due.
  void on_timer(Time now, std::uint32_t token);

 private:
  Time objective_of(const Request& request) const {
    return latency_objective_of(state_.settings.classes[request.priority_class], request);
  }

  void route(Time now, PendingRequest& pending);
  void send(Time now, PendingRequest& pending, Replica& replica);
  // Whether an attempt at that replica is allowed: within the limits on attempts and hedged requests, the
  // replica ready, the deadline not over, and no repeat that may do harm.
  bool may_send(Time now, const PendingRequest& pending, const Replica& replica) const;
  // Whether an attempt at `next` may follow an earlier one: the earlier one is over or hedging is allowed,
  // and it cannot have had an effect that the other would repeat.
  bool may_repeat(Time now, const PendingRequest& pending, const Attempt& earlier, const Replica& next) const;
  // Whether the second replica discards the repeat of a keyed request that went to the first.
  static bool share_deduplication(DedupScope scope, const Replica& earlier, const Replica& next);

  // Whether a failed attempt took only a small part of the latency objective, so that it cost no replica
  // much.
  static bool is_quick(const AttemptResult& result, Time latency_objective);
  void learn_from_answer_time(Time now, const PendingRequest& pending);
  // `pending` is nullptr if the request is another module's or has ended. A time-out at the client's deadline
  // is not counted: review_silent_attempt() has judged the replica by then.
  void learn_from_failure(Time now, const AttemptResult& result, Replica& replica,
                          const PendingRequest* pending);

  // Follows a failed attempt with another one, or ends the request. A request that a replica rejected as full
  // goes to an adjacent replica, once. Any other failure gets a second attempt at another replica within the
  // retry budget; a quick failure does not use the budget, because it cost no replica much.
  void try_again(Time now, PendingRequest& pending, const AttemptResult& result);
  void move_to_adjacent(Time now, PendingRequest& pending, ReplicaId last);
  // Sends a second attempt if the retry budget allows; returns whether it did. The budget makes second
  // attempts a fixed part of the requests, which guards against retry storms.
  bool send_second_attempt(Time now, PendingRequest& pending, ReplicaId last);

  // Sets the timer of a review of the request: at `when`, or at its deadline if that is earlier.
  void set_review(const PendingRequest& pending, Time when) {
    state_.actions.set_timer(std::min(when, pending.request.deadline), reviews_.add(pending.request.id));
  }
  void review(Time now, PendingRequest& pending);
  // Judges the replica of an attempt without an answer: if it has answered nothing else since the attempt was
  // sent, that is a failure, and if it is ejected for it the request is hedged where that is allowed. Guards
  // against replicas that accept requests and answer none.
  void review_silent_attempt(Time now, PendingRequest& pending);

  // Rejects or fails the request and forgets it: `pending` is dangling afterwards.
  void end(PendingRequest& pending, RefusalReason reason);
  // Whether the request may be answered with a rejection, which assures the client that a repeat does no
  // harm.
  bool may_reject(const PendingRequest& pending) const;
  void cancel(const PendingRequest& pending, std::size_t attempt);

  PolicyState& state_;
  ReplicaHealth& health_;
  Overload& overload_;
  PeerObservations& peers_;
  WorkDistribution& work_;
  Placement& placement_;
  double retry_budget_ = 0;  // second attempts that may be sent
  ReviewTimers reviews_;
};

}  // namespace thornwick
