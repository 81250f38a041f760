#include "budgets/admission_controller.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace thornwick::budgets {

AdmissionController::AdmissionController(std::unique_ptr<core::Decider> inner, QuotaService& quota_service,
                                         FairShare* fair_share)
    : core::DeciderDecorator(std::move(inner)), quota_service_(quota_service), fair_share_(fair_share) {}

void AdmissionController::on_request(Time now, const Request& request) {
  now_ = now;
  OpenRequest open;
  open.request = request;
  open.subject = {request.tenant, request.model, request.priority_class};
  const Units max_cost = max_cost_of(request, quota_service_.price_of(request.model));
  if (!admit_to_fair_share(request, max_cost)) return;
  const Grant grant = quota_service_.accounts.reserve(open.subject, max_cost, now);
  if (grant.denial) {
    adjust_fair_share(open, -in_tokens(max_cost));
    reject(request.id, *grant.denial);
    return;
  }
  open.reservation = grant.id;
  open.request.weight_factor = std::min(request.weight_factor, grant.weight_factor);
  const Request admitted = open.request;
  open_.put(request.id, open);
  inner_->on_request(now, admitted);
}

// Returns false if the request was rejected because its member is ahead of its fair share.
bool AdmissionController::admit_to_fair_share(const Request& request, Units max_cost) {
  if (fair_share_ == nullptr) return true;
  const auto admission = fair_share_->admit(now_, request.tenant, in_tokens(max_cost));
  if (admission.admitted) return true;
  local_actions_.push_back({.kind = ActionKind::reject,
                            .id = request.id,
                            .time = admission.retry_after,
                            .refusal = RefusalReason::limit_exceeded});
  return false;
}

void AdmissionController::adjust_fair_share(const OpenRequest& open, double tokens) {
  if (fair_share_ != nullptr) fair_share_->adjust_cost(open.subject.member, tokens);
}

void AdmissionController::reject(RequestId id, const Denial& denial) {
  auto allowance = std::make_shared<Allowance>();
  allowance->rejection = Allowance::Rejection::limit_exceeded;
  allowance->limit = in_tokens(denial.limit);
  allowance->remaining = in_tokens(denial.remaining);
  allowance->reset_in = denial.reset_after;
  allowance->subject = denial.account;
  local_actions_.push_back({.kind = ActionKind::reject,
                            .id = id,
                            .time = denial.retry_after ? std::max<Time>(1, *denial.retry_after) : 0,
                            .allowance = std::move(allowance),
                            .refusal = RefusalReason::limit_exceeded});
}

std::shared_ptr<const Allowance> AdmissionController::allowance_of(const QuotaSubject& subject) {
  const QuotaStatus status = quota_service_.accounts.quota_status(subject, now_);
  if (!status.has_hard_limit) return {};
  auto allowance = std::make_shared<Allowance>();
  allowance->limit = in_tokens(status.limit);
  allowance->remaining = in_tokens(status.remaining);
  allowance->reset_in = status.reset_after;
  allowance->subject = status.account;
  return allowance;
}

std::vector<Action> AdmissionController::take_actions() {
  std::vector<Action> actions = std::exchange(local_actions_, {});
  for (auto& action : inner_->take_actions()) on_inner_action(std::move(action), actions);
  return actions;
}

void AdmissionController::on_inner_action(Action action, std::vector<Action>& actions) {
  OpenRequest* open = open_.find(action.id);
  const bool final = action.kind == ActionKind::reject || action.kind == ActionKind::fail;
  if (open != nullptr && action.kind == ActionKind::send) {
    send(*open, std::move(action), actions);
    return;
  }
  if (open != nullptr && final) {
    if (fair_share_ != nullptr && action.kind == ActionKind::reject) fair_share_->on_scarcity(now_);
    conclude(action.id, *open);
  }
  actions.push_back(std::move(action));
}

void AdmissionController::send(OpenRequest& open, Action action, std::vector<Action>& actions) {
  if (open.reservation_spent) {
    if (const std::optional<Denial> denial = reserve_for_retry(open)) {
      abandon_retry(open.attempts_sent, action, *denial);
      std::vector<Action> rejections = std::exchange(local_actions_, {});
      std::move(rejections.begin(), rejections.end(), std::back_inserter(actions));
      return;
    }
  }
  ++open.attempts_sent;
  open.attempt_in_flight = true;
  action.allowance = allowance_of(open.subject);
  actions.push_back(std::move(action));
}

// A retry must be covered like the first attempt, because the charge for the earlier attempt has used up the
// reservation.
std::optional<Denial> AdmissionController::reserve_for_retry(OpenRequest& open) {
  Accounts& accounts = quota_service_.accounts;
  accounts.settle(std::exchange(open.reservation, 0), 0, now_);
  const Units max_cost = max_cost_of(open.request, quota_service_.price_of(open.request.model));
  Grant grant = accounts.reserve(open.subject, max_cost, now_);
  if (grant.denial) return std::move(grant.denial);
  open.reservation = grant.id;
  adjust_fair_share(open, in_tokens(accounts.reserved(grant.id)));
  open.reservation_spent = false;
  return std::nullopt;
}

// Makes the inner decider forget the request and the attempt that it decided to send.
void AdmissionController::abandon_retry(std::uint8_t attempt, const Action& send, const Denial& denial) {
  open_.erase(send.id);
  inner_->on_client_disconnected(now_, send.id);
  inner_->on_attempt_result(
      now_, {.id = send.id, .attempt = attempt, .replica = send.replica, .outcome = Outcome::not_sent});
  reject(send.id, denial);
}

void AdmissionController::on_attempt_result(Time now, const AttemptResult& result) {
  now_ = now;
  OpenRequest* open = open_.find(result.id);
  if (open != nullptr && open->attempt_in_flight) {
    open->attempt_in_flight = false;
    charge(*open, result);
    if (fair_share_ != nullptr && result.outcome == Outcome::full) fair_share_->on_scarcity(now);
    if (result.concluded || open->concluded) close(result.id, *open);
  }
  inner_->on_attempt_result(now, result);
}

void AdmissionController::charge(OpenRequest& open, const AttemptResult& result) {
  if (never_ran(result.outcome)) return;  // the reservation covers the next attempt
  Charge charge;
  charge.request_id = result.id;
  charge.attempt = result.attempt;
  charge.replica = result.replica;
  charge.subject = open.subject;
  charge.tokens = charged_tokens(open.request, result);
  charge.units = cost_of(charge.tokens.prompt, charge.tokens.cached, charge.tokens.generated,
                         quota_service_.price_of(open.request.model));
  if (fair_share_ != nullptr) {
    const Units reserved = quota_service_.accounts.reserved(open.reservation);
    adjust_fair_share(open, in_tokens(charge.units) - in_tokens(reserved));
    if (charge.tokens.reported) fair_share_->on_served(now_, in_tokens(charge.units));
  }
  if (quota_service_.on_charge) quota_service_.on_charge(charge);
  quota_service_.accounts.settle(std::exchange(open.reservation, 0), charge.units, now_);
  open.reservation_spent = true;
}

// If an attempt is in flight, the request is closed after that attempt ended and was charged.
void AdmissionController::conclude(RequestId id, OpenRequest& open) {
  open.concluded = true;
  if (!open.attempt_in_flight) close(id, open);
}

// No further attempt will be sent: releases the rest of the reservation.
void AdmissionController::close(RequestId id, const OpenRequest& open) {
  Accounts& accounts = quota_service_.accounts;
  if (open.reservation != 0) adjust_fair_share(open, -in_tokens(accounts.reserved(open.reservation)));
  accounts.settle(open.reservation, 0, now_);
  open_.erase(id);
}

void AdmissionController::on_client_disconnected(Time now, RequestId id) {
  now_ = now;
  if (OpenRequest* open = open_.find(id)) conclude(id, *open);
  inner_->on_client_disconnected(now, id);
}

void AdmissionController::on_endpoints(Time now, EndpointUpdate scope, std::span<const Endpoint> entries) {
  now_ = now;
  inner_->on_endpoints(now, scope, entries);
}

void AdmissionController::on_first_token(Time now, RequestId id, std::uint8_t attempt, ReplicaId replica,
                                         Time elapsed) {
  now_ = now;
  inner_->on_first_token(now, id, attempt, replica, elapsed);
}

void AdmissionController::on_timer(Time now, std::uint32_t token) {
  now_ = now;
  inner_->on_timer(now, token);
}

}  // namespace thornwick::budgets
