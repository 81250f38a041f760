#include "policy/request_lifecycle.hpp"

namespace thornwick {

constexpr double kRetriesPerRequest = 0.1;  // second attempts that each request adds to the retry budget
constexpr double kMaxRetryBudget = 5;       // second attempts
constexpr double kReviewFraction = 0.8;     // fraction of the time to the objective until the first review
constexpr double kQuickFraction = 0.1;      // a failure within this fraction of the objective is quick

bool RequestLifecycle::is_quick(const AttemptResult& result, Time latency_objective) {
  return static_cast<double>(result.elapsed) < kQuickFraction * static_cast<double>(latency_objective);
}

void RequestLifecycle::on_request(Time now, const Request& request) {
  if (request.priority_class >= state_.settings.classes.size() || state_.pending.contains(request.id)) return;
  PendingRequest& pending = state_.pending[request.id];
  pending.request = request;
  pending.arrived_at = now;
  pending.work = request.work_hint > 0 ? request.work_hint : size_of(request);
  pending.useful_until = std::min(request.deadline, now + objective_of(request));
  work_.record(pending);
  if (overload_.must_shed(request)) return end(pending, RefusalReason::overload);
  retry_budget_ = std::min(kMaxRetryBudget, retry_budget_ + kRetriesPerRequest);
  route(now, pending);
}

void RequestLifecycle::route(Time now, PendingRequest& pending) {
  const PlacementChoice choice = placement_.choose(now, pending);
  if (choice.kind == PlacementChoice::Kind::send) return send(now, pending, *choice.replica);
  if (choice.kind == PlacementChoice::Kind::reject) return end(pending, RefusalReason::no_replica);
  set_review(pending, now + IntervalCuts::refresh_period());
}

void RequestLifecycle::send(Time now, PendingRequest& pending, Replica& replica) {
  if (!may_send(now, pending, replica)) return end(pending, RefusalReason::attempt_not_allowed);
  pending.attempts.add(location_of(replica.listing), now);
  ++replica.in_flight;
  state_.actions.send(pending.request.id, replica.listing.id);
  const Time delay = static_cast<Time>(kReviewFraction * static_cast<double>(pending.useful_until - now));
  const bool first = pending.attempts.size() == 1;
  set_review(pending, first ? now + std::max<Time>(delay, 1) : pending.useful_until);
}

bool RequestLifecycle::may_send(Time now, const PendingRequest& pending, const Replica& replica) const {
  if (replica.listing.state != EndpointState::ready || now >= pending.request.deadline) return false;
  const std::size_t attempts = pending.attempts.size() + pending.request.attempts_before;
  if (attempts >= state_.settings.max_attempts) return false;
  if (pending.attempts.has_outstanding() && !state_.settings.hedging) return false;
  return pending.attempts.may_send(class_of(pending), location_of(replica.listing), now);
}

void RequestLifecycle::on_first_token(Time now, RequestId id, ReplicaId replica) {
  health_.on_alive(now, replica);
  PendingRequest* pending = state_.find_pending(id);
  if (pending == nullptr || pending->started) return;
  pending->started = true;
  learn_from_answer_time(now, *pending);
  for (std::size_t i = 0; i < pending->attempts.size(); ++i) {
    if (pending->attempts[i].replica.id != replica)
      cancel(*pending, i);  // the other attempt is no longer needed
  }
}

void RequestLifecycle::learn_from_answer_time(Time now, const PendingRequest& pending) {
  const AnswerTime time = overload_.on_answer(now - pending.arrived_at, objective_of(pending.request));
  if (pending.attempts.empty()) return;
  Replica& replica = state_.replicas.at(pending.attempts.back().replica.id);
  if (time == AnswerTime::slow) peers_.report(now, replica, Observation::slow);
  if (time == AnswerTime::late) peers_.report(now, replica, Observation::late);
  health_.on_answer(replica, time);
  overload_.on_answer_from(replica, time);
}

void RequestLifecycle::on_attempt_result(Time now, const AttemptResult& result) {
  Replica* replica = state_.find_replica(result.replica);
  if (replica == nullptr) return;
  replica->in_flight = std::max(0, replica->in_flight - 1);
  const bool answered = result.outcome == Outcome::served || result.outcome == Outcome::full;
  if (answered) health_.on_alive(now, result.replica);
  PendingRequest* pending = state_.find_pending(result.id);
  if (pending != nullptr && result.attempt >= pending->attempts.size()) pending = nullptr;
  if (is_failure(result.outcome)) learn_from_failure(now, result, *replica, pending);
  if (pending == nullptr) return;
  pending->attempts.record_outcome(result.attempt, result.outcome);
  if (result.concluded) return void(state_.pending.erase(result.id));
  if (!pending->started) retry_or_end(now, *pending, result);
}

void RequestLifecycle::learn_from_failure(Time now, const AttemptResult& result, Replica& replica,
                                          const PendingRequest* pending) {
  const bool expired = pending == nullptr || now >= pending->request.deadline;
  if (result.outcome == Outcome::timed_out && expired) return;
  const Time objective = pending ? objective_of(pending->request) : state_.longest_latency_objective;
  const bool quick = result.outcome != Outcome::connect_failed && is_quick(result, objective);
  peers_.report(now, replica, quick ? Observation::failed : Observation::unreachable);
  health_.on_failure(now, replica, quick ? FailureCost::quick : FailureCost::slow);
}

void RequestLifecycle::retry_or_end(Time now, PendingRequest& pending, const AttemptResult& result) {
  if (pending.attempts.has_outstanding()) return;
  if (now >= pending.useful_until) return end(pending, RefusalReason::too_late);
  if (result.outcome == Outcome::full) return move_to_adjacent(now, pending, result.replica);
  const bool quick = is_quick(result, objective_of(pending.request));
  if (quick || never_ran(result.outcome)) retry_budget_ += 1;  // the failure cost no replica much
  if (!send_second_attempt(now, pending, result.replica)) end(pending, RefusalReason::no_replica);
}

void RequestLifecycle::move_to_adjacent(Time now, PendingRequest& pending, ReplicaId last_replica) {
  Replica* next = pending.moved_to_adjacent ? nullptr : placement_.other_replica(now, pending, last_replica);
  pending.moved_to_adjacent = true;
  if (next == nullptr || !may_send(now, pending, *next)) return end(pending, RefusalReason::no_replica);
  send(now, pending, *next);
}

bool RequestLifecycle::send_second_attempt(Time now, PendingRequest& pending, ReplicaId last_replica) {
  Replica* next = retry_budget_ < 1 ? nullptr : placement_.other_replica(now, pending, last_replica);
  if (next == nullptr || !may_send(now, pending, *next)) return false;
  retry_budget_ -= 1;
  send(now, pending, *next);
  return true;
}

void RequestLifecycle::on_timer(Time now, std::uint32_t token) {
  const std::optional<RequestId> id = reviews_.take(token);
  PendingRequest* pending = id ? state_.find_pending(*id) : nullptr;
  if (pending != nullptr) review(now, *pending);
}

void RequestLifecycle::review(Time now, PendingRequest& pending) {
  if (pending.started) return;
  const bool late = now >= pending.useful_until;
  if (late) learn_from_answer_time(now, pending);
  if (now >= pending.request.deadline) return end(pending, RefusalReason::deadline_exceeded);
  if (pending.attempts.empty()) return late ? end(pending, RefusalReason::too_late) : route(now, pending);
  if (!late) {
    review_unanswered_attempt(now, pending);
    return set_review(pending, pending.useful_until);
  }
  const ClassSettings& request_class = class_of(pending);
  const bool worthless = request_class.late_weight_fraction <= 0;
  if (worthless && pending.attempts.may_reject(request_class)) return end(pending, RefusalReason::too_late);
  set_review(pending, pending.request.deadline);
}

void RequestLifecycle::review_unanswered_attempt(Time now, PendingRequest& pending) {
  const SentAttempt& attempt = pending.attempts.back();
  Replica& replica = state_.replicas.at(attempt.replica.id);
  if (!attempt.outstanding || replica.last_answer_at >= attempt.sent_at || overload_.is_severe()) return;
  health_.on_failure(now, replica, FailureCost::slow);
  peers_.report(now, replica, Observation::slow);
  if (state_.settings.hedging && now < replica.ejected_until)
    send_second_attempt(now, pending, attempt.replica.id);
}

void RequestLifecycle::end(PendingRequest& pending, RefusalReason reason) {
  const bool may_reject = pending.attempts.may_reject(class_of(pending));
  const ActionKind kind = may_reject ? ActionKind::reject : ActionKind::fail;
  state_.actions.finish(kind, pending.request.id, overload_.draw_retry_after(), reason);
  for (std::size_t i = 0; i < pending.attempts.size(); ++i) cancel(pending, i);
  state_.pending.erase(pending.request.id);
}

void RequestLifecycle::cancel(const PendingRequest& pending, std::size_t attempt) {
  if (!state_.settings.may_cancel || !pending.attempts[attempt].outstanding) return;
  state_.actions.cancel(pending.request.id, attempt);
}

}  // namespace thornwick
