// The clients of an emulated day: sessions, and requests with their tries until the outcome is final.
#include <algorithm>
#include <cmath>
#include <utility>

#include "emulator/day_simulation.hpp"

namespace thornwick::emulator {

// Handles the arrival of a candidate session. Sessions arrive as a Poisson process whose rate changes with
// bursts: candidates are drawn at the highest rate and thinned to the current rate.
void DaySimulation::on_session_arrived() {
  const double gap = demand_->draw_gap(max_rate_factor_);
  if (static_cast<double>(now_) + gap < static_cast<double>(day_end_))
    schedule(now_ + std::max<Time>(1, std::llround(gap)), EventType::session_arrived);
  const bool accepted = demand_->accept_candidate(rate_factor() / max_rate_factor_);
  if (!accepted || now_ == 0) return;
  const Handle handle = sessions_.create();
  *sessions_.find(handle) = demand_->draw_session();
  send_next_turn(handle);
}

// Sends the next request of a session. Sessions continue whatever the outcomes of their requests, so that the
// demand does not depend on the policy.
void DaySimulation::send_next_turn(Handle handle) {
  if (now_ > day_end_) return sessions_.erase(handle);
  Session& session = *sessions_.find(handle);
  const PlannedRequest plan = demand_->draw_request(session, now_);
  if (session.remaining_turns > 0) {
    schedule(now_ + demand_->draw_think_time(plan), EventType::session_turn_due, handle);
  } else {
    sessions_.erase(handle);
  }
  if (planned_ != nullptr) {
    planned_->push_back(plan);
  } else {
    send_request(plan);
  }
}

void DaySimulation::send_request(const PlannedRequest& plan) {
  const Handle handle = requests_.create();
  ClientRequest& request = *requests_.find(handle);
  request.day = this;
  request.handle = handle;
  request.plan = plan;
  ++result_.turns;
  ++result_.classes[plan.class_index].turns;
  result_.requested_work += plan.work;
  send_try(handle);
}

// Chooses a router as a load balancer in front of the routers does: a random one of the client's zone, or of
// all zones if none of the client's zone is up.
EmulatedRouter& DaySimulation::choose_router(std::uint16_t zone) {
  const auto draw_of = [this](auto eligible) -> EmulatedRouter* {
    std::vector<EmulatedRouter*> candidates;
    for (const auto& router : routers_) {
      if (router->up && eligible(*router)) candidates.push_back(router.get());
    }
    return candidates.empty() ? nullptr : candidates[client_random_.below(candidates.size())];
  };
  EmulatedRouter* router = draw_of([zone](const EmulatedRouter& each) { return each.zone == zone; });
  if (router == nullptr) router = draw_of([](const EmulatedRouter&) { return true; });
  return router == nullptr ? *routers_.front() : *router;
}

void DaySimulation::send_try(Handle handle) {
  ClientRequest* sent = requests_.find(handle);
  if (sent == nullptr) return;
  const PlannedRequest& plan = sent->plan;
  ++result_.tries;
  ++sent->tries;
  sent->executions.clear();
  EmulatedRouter& router = choose_router(plan.zone);
  sent->router = router.index;
  Request request;
  request.priority_class = static_cast<std::uint8_t>(plan.class_index);
  request.tenant = plan.member;
  const double deadline_ms = scenario_.classes[plan.class_index].deadline_ms;
  request.deadline =
      std::min(now_ + static_cast<Time>(scenario_.try_timeout_fraction * 1000 * deadline_ms), plan.deadline);
  request.prompt_tokens = plan.prompt;
  request.prefix_tokens = plan.prefix_tokens;
  request.max_tokens = plan.max_tokens;
  request.work_hint = plan.hint;
  request.session = plan.session;
  request.prefix = plan.prefix;
  request.client_repeat = sent->tries > 1;
  request.resumed = sent->resumed;
  if (client_random_.happens(scenario_.cancel_probability)) {
    const auto latest = static_cast<double>(request.deadline - now_);
    schedule(now_ + std::llround(client_random_.between(0, latest)), EventType::client_cancelled, handle);
  }
  // The ClientRequest is the payload. The pointer does not own the request, which outlives the core's use of
  // the payload.
  std::shared_ptr<const core::Payload> payload(std::shared_ptr<void>{}, sent);
  // The outcome may come before admit() returns. Then the request is erased, or its next try has begun.
  const int this_try = sent->tries;
  sent->request_id = 1;
  const RequestId id = router.core->admit({request, std::move(payload)}, *sent);
  sent = requests_.find(handle);
  if (sent != nullptr && sent->tries == this_try && sent->request_id != 0) sent->request_id = id;
}

// Cancels a request, unless its first token has arrived or no try is open.
void DaySimulation::cancel_request(Handle handle) {
  ClientRequest* request = requests_.find(handle);
  if (request == nullptr || request->request_id == 0 || request->first_at > 0) return;
  const RequestId request_id = std::exchange(request->request_id, 0);
  routers_[request->router]->core->client_disconnected(request_id);
  give_up(*request);
}

void ClientRequest::send_event(const core::StreamEvent& event) {
  if (first_at == 0 && event.kind != core::EventKind::comment) first_at = day->now();
}
void ClientRequest::finish() { day->on_answered(*this); }
void ClientRequest::abort_answer() { day->on_interrupted(*this); }
void ClientRequest::reject(Time retry_after) { day->on_rejected(*this, retry_after); }
void ClientRequest::fail(core::FailureReason, Time retry_after) { day->on_failed(*this, retry_after); }

void DaySimulation::on_answered(ClientRequest& request) {
  const PlannedRequest& plan = request.plan;
  const RequestClass& request_class = scenario_.classes[plan.class_index];
  const double fraction = earned_fraction(request_class, plan.objective_at, plan.deadline, request.first_at,
                                          now_, plan.generated);
  ClassResult& result = result_.classes[plan.class_index];
  request.answered = true;
  ++result.served;
  if (fraction == 1) ++result.in_time;
  result.first_token_us.add(request.first_at - plan.at);
  result.answer_us.add(now_ - plan.at);
  result_.wasted_work -= plan.work;
  if (request_class.alpha > 0) {
    const double service_time = plan.work / scenario_.kinds.front().speed.low;
    const double waiting_time = std::max(0.0, static_cast<double>(now_ - plan.at) - service_time);
    result_.wait_sum += waiting_time;
    result_.slowdown_sum += waiting_time / service_time;
    ++result_.slowdowns;
  }
  end_request(request, fraction);
}

void DaySimulation::on_rejected(ClientRequest& request, Time retry_after) {
  check_rejection(request);
  retry_or_give_up(request, TryEnding::rejected, retry_after);
}

void DaySimulation::on_failed(ClientRequest& request, Time retry_after) {
  retry_or_give_up(request, TryEnding::failed, retry_after);
}

void DaySimulation::on_interrupted(ClientRequest& request) {
  request.resumed = true;
  retry_or_give_up(request, TryEnding::interrupted, 0);
}

// Returns whether a client repeats its request after such an end: always if nothing can run twice, within the
// window if all replicas discard the repeat, and otherwise only after a rejection. An answer that was
// interrupted is resumed, not repeated.
bool DaySimulation::may_retry(const ClientRequest& request, TryEnding ending, Time retry_at) const {
  const RequestClass& request_class = scenario_.classes[request.plan.class_index];
  if (ending != TryEnding::failed || request_class.effect == Effect::safe) return true;
  if (request_class.effect == Effect::unsafe || request_class.dedup_scope != DedupScope::all) return false;
  return static_cast<double>(retry_at - request.plan.at) < 1000 * request_class.dedup_window_ms;
}

// Lets the client retry after a backoff, or gives up if it may not retry or no retry or no time remains.
void DaySimulation::retry_or_give_up(ClientRequest& request, TryEnding ending, Time retry_after) {
  request.request_id = 0;
  Time backoff = std::llround(backoff_us_);
  if (retry_after > 0 && client_random_.happens(scenario_.honor_probability))
    backoff = std::max(backoff, retry_after);
  const bool retries_remain = static_cast<std::size_t>(request.tries) <= scenario_.retries;
  if (!retries_remain || now_ + backoff >= request.plan.deadline) return give_up(request);
  if (!may_retry(request, ending, now_ + backoff)) return give_up(request);
  request.first_at = 0;
  schedule(now_ + backoff, EventType::retry_due, request.handle);
}

void DaySimulation::give_up(ClientRequest& request) {
  ++result_.classes[request.plan.class_index].given_up;
  end_request(request, 0);
}

void DaySimulation::end_request(ClientRequest& request, double earned_fraction) {
  const PlannedRequest& plan = request.plan;
  auto& outcomes = result_.classes[plan.class_index].outcomes;
  if (is_scored(scenario_, plan.at) && outcomes.size() < ClassResult::kMaxOutcomes)
    outcomes.push_back({plan.prompt, plan.session, request.answered});
  add_weight(result_, scenario_, plan.at, plan.class_index, plan.member, plan.priority_weight,
             earned_fraction);
  requests_.erase(request.handle);
}

}  // namespace thornwick::emulator
