#include "core/request_manager.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace thornwick::core {
namespace {

// Returns the policy's limit of attempts, or the highest number that an attempt can have if that is lower.
std::uint32_t attempt_limit(const Settings& settings) {
  constexpr std::uint32_t highest_number = std::numeric_limits<decltype(AttemptId::number)>::max();
  return std::min(settings.max_attempts, highest_number);
}

// Returns the outcome of an attempt in view of its stream: an answer without its terminal event, or with an
// error event, is not complete, even if the transport reports a complete response.
Outcome checked_outcome(Outcome outcome, AttemptState state) {
  if (outcome != Outcome::served) return outcome;
  if (state == AttemptState::failed) return Outcome::error;
  return state == AttemptState::complete ? Outcome::served : Outcome::reset;
}

bool is_rejection(const std::shared_ptr<const Allowance>& allowance) {
  return allowance != nullptr && allowance->rejection != Allowance::Rejection::none;
}

}  // namespace

RequestManager::RequestManager(const Settings& settings, const Dependencies& dependencies,
                               std::unique_ptr<Decider> decider)
    : dependencies_(dependencies),
      decider_(decider ? std::move(decider) : make_routing_policy(settings, dependencies.clock.now())),
      classes_(settings.classes),
      max_attempts_(attempt_limit(settings)),
      retry_after_(settings.retry_after ? settings.max_retry_after / 2 : 0),
      timers_(dependencies.clock) {
  apply_actions();
}

ActiveRequest* RequestManager::find_request(RequestId id) {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : &found->second;
}

// A request of an unknown class must not run twice, as nothing is known of its effect.
const ClassSettings& RequestManager::class_of(std::uint8_t priority_class) const {
  static constexpr ClassSettings kUnknownClass{.effect = Effect::unsafe};
  return priority_class < classes_.size() ? classes_[priority_class] : kUnknownClass;
}

const ClassSettings& RequestManager::class_of(const ActiveRequest& request) const {
  return class_of(request.incoming_request.request.priority_class);
}

bool RequestManager::may_reject_after_unknown_attempts(std::uint8_t priority_class) const {
  return may_repeat_at_any_replica(class_of(priority_class));
}

// Returns null if the attempt is not in flight any more, because its late events are ignored.
ActiveRequest* RequestManager::find_current(AttemptId attempt) {
  ActiveRequest* request = find_request(attempt.request_id);
  if (request == nullptr || !request->attempt_in_flight() || request->attempt != attempt) return nullptr;
  return request;
}

RequestId RequestManager::admit(IncomingRequest incoming_request, Reply& reply) {
  const Time arrived = now();
  const RequestId id = ++last_id_;
  ActiveRequest& request = requests_[id];
  request.reply = &reply;
  request.incoming_request = std::move(incoming_request);
  Request& description = request.incoming_request.request;
  description.id = id;
  if (dependencies_.affinity_table != nullptr)
    description.cache_hint = dependencies_.affinity_table->find_hint(arrived, description);
  request.summary.arrived_at = arrived;
  request.summary.request = description;
  request.summary.external_id = request.incoming_request.external_id;
  ++counters_.admitted;
  // Whatever the routing policy does, the final answer is sent within kDeadlineSlack after the deadline.
  request.deadline_timer = timers_.set(description.deadline + kDeadlineSlack,
                                       {.kind = TimerKind::request_deadline, .attempt = {id, 0}});
  decider_->on_request(arrived, description);
  apply_actions();
  return id;
}

void RequestManager::client_disconnected(RequestId request_id) {
  ActiveRequest* request = find_request(request_id);
  if (request == nullptr) return;
  decider_->on_client_disconnected(now(), request_id);
  if (request->attempt_in_flight()) abandon_attempt(*request, Outcome::cancelled, RequestProgress::concluded);
  conclude(request_id, {.status = CompletionStatus::client_disconnected});
  apply_actions();
}

// Avoids work whose result nobody reads. The event loop may not have reported a closed connection yet,
// because unread bytes precede the end of file or because it is handling another event.
bool RequestManager::client_is_waiting(AttemptId attempt) {
  const ActiveRequest* request = find_current(attempt);
  if (request == nullptr) return false;
  if (request->reply->client_connected()) return true;
  client_disconnected(attempt.request_id);
  return false;
}

bool RequestManager::repeat_is_allowed(AttemptId attempt) {
  const ActiveRequest* request = find_current(attempt);
  return request != nullptr && now() < request->send_limit;
}

void RequestManager::client_congested(RequestId request_id) {
  const ActiveRequest* request = find_request(request_id);
  if (request == nullptr || !request->attempt_in_flight()) return;
  dependencies_.upstream.pause_reading(request->attempt);
}

void RequestManager::client_caught_up(RequestId request_id) {
  const ActiveRequest* request = find_request(request_id);
  if (request == nullptr || !request->attempt_in_flight()) return;
  dependencies_.upstream.resume_reading(request->attempt);
}

void RequestManager::attempt_event(AttemptId attempt, const StreamEvent& event) {
  ActiveRequest* request = find_current(attempt);
  if (request == nullptr) return;
  const bool answer_had_started = request->answer_started();
  if (event.kind == EventKind::comment && !answer_had_started) return request->hold_comment(event);
  // Nothing was passed on to the client, so the attempt has failed and another one may follow.
  if (event.kind == EventKind::error && !answer_had_started) return attempt_ended(attempt, Outcome::error);
  if (event.kind == EventKind::usage || event.has_usage) {
    request->summary.usage = event.usage;
    request->has_usage = true;
  }
  if (event.kind == EventKind::delta) request->answer_characters += static_cast<double>(event.text.size());
  request->answer_characters += static_cast<double>(event.final_text.size());
  request->attempt_state = state_after(request->attempt_state, event.kind);
  if (!answer_had_started && request->answer_started()) begin_answer(*request);
  forward_event(*request, event);
  apply_actions();
}

void RequestManager::forward_event(ActiveRequest& request, const StreamEvent& event) {
  ++request.summary.events;
  request.summary.bytes += event.raw_frame.size();
  request.reply->send_event(event);
}

// Called with the first event that is passed on. No other attempt is made after it.
void RequestManager::begin_answer(ActiveRequest& request) {
  const Time started = now();
  request.summary.first_event_at = started;
  request.incoming_request.payload.reset();  // the body, which takes most of the memory, is not needed again
  if (dependencies_.affinity_table != nullptr) {
    request.expectation = dependencies_.affinity_table->on_answer_started(
        started, request.incoming_request.request, request.replica);
  }
  decider_->on_first_token(started, request.attempt.request_id, request.attempt.number, request.replica,
                           started - request.attempt_sent_at);
  request.reply->begin_answer(request.model, request.allowance.get());
  for (const StreamEvent& comment : std::exchange(request.leading_comments, {}))
    forward_event(request, comment);
}

void RequestManager::attempt_ended(AttemptId attempt, Outcome outcome, std::span<const float> report) {
  ActiveRequest* request = find_current(attempt);
  if (request == nullptr) return;
  outcome = checked_outcome(outcome, request->attempt_state);
  const bool served = outcome == Outcome::served;
  const RequestProgress progress =
      request->answer_started() ? RequestProgress::concluded : RequestProgress::continues;
  if (!served) dependencies_.upstream.abandon(attempt);
  request->attempt_state = AttemptState::none;
  if (served) learn_cache_use(*request);
  report_result(*request, outcome, progress, report);
  if (progress == RequestProgress::concluded)
    conclude(attempt.request_id,
             {.status = served ? CompletionStatus::served : CompletionStatus::interrupted});
  apply_actions();
}

void RequestManager::learn_cache_use(const ActiveRequest& request) {
  if (dependencies_.affinity_table == nullptr) return;
  const Usage& usage = request.summary.usage;
  dependencies_.affinity_table->on_answer_complete(
      now(), request.incoming_request.request, request.replica, request.expectation,
      static_cast<double>(usage.cached_tokens), static_cast<double>(usage.generated_tokens));
}

void RequestManager::report_result(ActiveRequest& request, Outcome outcome, RequestProgress progress,
                                   std::span<const float> load) {
  const Time ended = now();
  const Usage& usage = request.summary.usage;
  ++counters_.outcomes[outcome];
  request.attempts.record_outcome(request.attempts.size() - 1, outcome);
  decider_->on_attempt_result(ended, {.id = request.attempt.request_id,
                                      .attempt = request.attempt.number,
                                      .replica = request.replica,
                                      .outcome = outcome,
                                      .elapsed = ended - request.attempt_sent_at,
                                      .concluded = progress == RequestProgress::concluded,
                                      .cached_tokens = static_cast<double>(usage.cached_tokens),
                                      .prompt_tokens = static_cast<double>(usage.prompt_tokens),
                                      .generated_tokens = static_cast<double>(usage.generated_tokens),
                                      .has_usage = request.has_usage,
                                      .answer_characters = request.answer_characters,
                                      .report = load});
}

// The connection is closed before the routing policy learns of it, so that no two attempts of a request are
// in flight at once. A request that was not written completely has not run, for instance because its
// connection was not established in time. It is reported as not sent, so that a request that must not run
// twice can be repeated.
void RequestManager::abandon_attempt(ActiveRequest& request, Outcome outcome, RequestProgress progress) {
  const bool written = dependencies_.upstream.abandon(request.attempt);
  request.attempt_state = AttemptState::none;
  report_result(request, written ? outcome : Outcome::not_sent, progress, {});
}

void RequestManager::probe_ended(ReplicaId replica, bool alive, std::span<const float> report) {
  decider_->on_probe_result(now(), replica, alive, report);
  apply_actions();
}

void RequestManager::on_endpoints(EndpointUpdate scope, std::span<const Endpoint> entries) {
  locations_.on_endpoints(scope, entries);
  if (dependencies_.affinity_table != nullptr) dependencies_.affinity_table->on_endpoints(scope, entries);
  decider_->on_endpoints(now(), scope, entries);
  apply_actions();
}

void RequestManager::on_peer_message(std::uint32_t rank, std::span<const std::uint8_t> message) {
  decider_->on_peer_message(now(), rank, message);
  apply_actions();
}

void RequestManager::wake() {
  const Time woken = now();
  while (const auto timer = timers_.take_due(woken)) on_timer_expired(*timer);
  timers_.request_wake_up();
}

void RequestManager::on_timer_expired(const TimerEntry& timer) {
  switch (timer.kind) {
    case TimerKind::policy: decider_->on_timer(now(), timer.token); break;
    case TimerKind::attempt_timeout: on_attempt_timeout(timer.attempt); break;
    case TimerKind::request_deadline: on_request_deadline(timer.attempt.request_id); break;
  }
  apply_actions();
}

void RequestManager::on_attempt_timeout(AttemptId attempt) {
  ActiveRequest* request = find_request(attempt.request_id);
  if (request == nullptr) return;
  request->attempt_timer.reset();
  if (request->attempt != attempt || request->attempt_state != AttemptState::awaiting_first_event) return;
  abandon_attempt(*request, Outcome::timed_out, RequestProgress::continues);
}

void RequestManager::on_request_deadline(RequestId id) {
  ActiveRequest* request = find_request(id);
  if (request == nullptr) return;
  request->deadline_timer.reset();
  if (request->answer_started()) return;
  decider_->on_client_disconnected(now(), id);
  if (request->attempt_in_flight()) abandon_attempt(*request, Outcome::timed_out, RequestProgress::concluded);
  // A request that never ran is rejected rather than failed, so that its client may repeat it.
  const CompletionStatus status =
      request->attempts.may_have_run() ? CompletionStatus::timed_out : CompletionStatus::rejected;
  conclude(id, {.status = status, .retry_after = retry_after_});
}

// An action may cause an event before this function returns, for instance if an attempt cannot be launched.
// The event reaches the policy during the outer call, which continues until no action remains.
void RequestManager::apply_actions() {
  if (applying_actions_) return;
  applying_actions_ = true;
  for (auto actions = decider_->take_actions(); !actions.empty(); actions = decider_->take_actions()) {
    for (const Action& action : actions) apply(action);
  }
  applying_actions_ = false;
}

void RequestManager::apply(const Action& action) {
  switch (action.kind) {
    case ActionKind::send: return apply_send(action);
    case ActionKind::reject:
    case ActionKind::fail: return apply_refusal(action);
    case ActionKind::cancel: return apply_cancel(action);
    case ActionKind::set_timer:
      timers_.set(std::max(action.time, now()), {.token = action.token, .attempt = {}});
      return;
    case ActionKind::watch_endpoints: return dependencies_.discovery.subscribe();
    case ActionKind::fetch_endpoints: return dependencies_.discovery.fetch();
    case ActionKind::probe: return dependencies_.upstream.probe(action.replica);
    case ActionKind::message_peer: return dependencies_.peers.send(action.token, action.message);
  }
}

// Each send takes an attempt number, even if it is not launched, because the policy numbers its sends this
// way.
void RequestManager::apply_send(const Action& action) {
  ActiveRequest* request = find_request(action.id);
  if (request == nullptr) return;
  const Time sent = now();
  const AttemptId attempt{action.id, request->next_attempt_number++};
  if (!may_launch(*request, attempt, action, sent)) return report_not_sent(attempt, action.replica, sent);
  if (!request->reply->client_connected()) {
    client_disconnected(action.id);
    return report_not_sent(attempt, action.replica, sent);
  }
  launch(*request, attempt, action, sent);
}

bool RequestManager::may_launch(const ActiveRequest& request, AttemptId attempt, const Action& action,
                                Time sent) const {
  const Request& description = request.incoming_request.request;
  return !request.attempt_in_flight() && attempt.number < max_attempts_ && sent < description.deadline &&
         action.time != kNotSent &&
         request.attempts.may_send(class_of(request), locations_.find(action.replica), sent);
}

void RequestManager::launch(ActiveRequest& request, AttemptId attempt, const Action& action, Time sent) {
  const Time due = request.incoming_request.request.deadline;
  const Time until = action.time > 0 ? std::min(sent + action.time, due) : due;
  request.attempt = attempt;
  request.attempt_state = AttemptState::awaiting_first_event;
  request.leading_comments.clear();
  request.replica = action.replica;
  request.model = action.model;
  request.allowance = action.allowance;
  request.attempt_sent_at = sent;
  request.send_limit = request.attempts.repeat_limit(class_of(request));
  request.attempts.add(locations_.find(action.replica), sent);
  request.summary.last_replica = action.replica;
  request.summary.model = action.model;
  ++request.summary.attempts;
  ++counters_.attempts;
  timers_.cancel(request.attempt_timer);
  request.attempt_timer = timers_.set(until, {.kind = TimerKind::attempt_timeout, .attempt = attempt});
  dependencies_.upstream.launch(attempt, action.replica, request.incoming_request.payload, until,
                                action.model);
}

void RequestManager::report_not_sent(AttemptId attempt, ReplicaId replica, Time when) {
  ++counters_.outcomes[Outcome::not_sent];
  decider_->on_attempt_result(when, {.id = attempt.request_id,
                                     .attempt = attempt.number,
                                     .replica = replica,
                                     .outcome = Outcome::not_sent});
}

// Carries out an action in which a decider ends a request without an answer.
void RequestManager::apply_refusal(const Action& action) {
  ActiveRequest* request = find_request(action.id);
  if (request == nullptr || request->answer_started()) return;
  if (request->attempt_in_flight()) abandon_attempt(*request, Outcome::cancelled, RequestProgress::concluded);
  request->summary.refusal = action.refusal;
  if (action.kind == ActionKind::fail) {
    const CompletionStatus failure = failure_at(now(), request->incoming_request.request);
    return conclude(action.id, {.status = failure, .retry_after = action.time});
  }
  conclude(action.id, {.status = CompletionStatus::rejected,
                       .retry_after = action.time,
                       .rejection = is_rejection(action.allowance) ? action.allowance : nullptr});
}

void RequestManager::apply_cancel(const Action& action) {
  ActiveRequest* request = find_current({action.id, action.attempt});
  if (request == nullptr || request->answer_started()) return;
  abandon_attempt(*request, Outcome::cancelled, RequestProgress::continues);
}

// Every request ends here.
void RequestManager::conclude(RequestId id, const FinalAnswer& wanted) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) return;
  ActiveRequest request = std::move(found->second);
  const FinalAnswer answer = permit(wanted, request);
  timers_.cancel(request.deadline_timer);
  timers_.cancel(request.attempt_timer);
  requests_.erase(found);  // first: the reply may bring the client's next request
  counters_.count(answer.status);
  request.summary.status = answer.status;
  request.summary.may_have_run = request.attempts.may_have_run();
  request.summary.ended_at = now();
  if (dependencies_.on_request_end) dependencies_.on_request_end(request.summary);
  deliver(*request.reply, answer);
}

FinalAnswer RequestManager::permit(const FinalAnswer& wanted, const ActiveRequest& request) {
  FinalAnswer answer = permitted_answer(wanted, request, class_of(request), now());
  if (answer.status != wanted.status) ++counters_.rejections_not_permitted;
  return answer;
}

}  // namespace thornwick::core
