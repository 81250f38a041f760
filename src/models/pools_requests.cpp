// The part of Pools that handles requests: the choice of the model, fallbacks, attempts and results.
#include <algorithm>
#include <iterator>
#include <optional>
#include <utility>

#include "models/pools.hpp"

namespace thornwick::models {
namespace {

constexpr RequestId kNoRequest = 0;  // the id that deciders of other pools get
constexpr Time kNoReplicaRetryAfter = seconds(1);

// Tokens of prompt and answer together.
double tokens_of(const Request& request) { return std::max(1.0, request.prompt_tokens + request.max_tokens); }

bool exceeds_context(const Model& model, const Request& request) {
  return model.context_tokens > 0 && tokens_of(request) > model.context_tokens;
}

bool exceeds_answer_limit(const Model& model, const Request& request) {
  return model.max_answer_tokens > 0 && request.max_tokens > model.max_answer_tokens;
}

}  // namespace

void Pools::on_request(Time now, const Request& request) {
  now_ = now;
  update_placements(now);
  OpenRequest new_request;
  new_request.request = request;
  OpenRequest& open = open_.put(request.id, std::move(new_request));
  fallback_budget_.add_request();
  if (!is_known(request.model)) {
    reject(request.id, request, Allowance::Rejection::no_replica);
    return;
  }
  const auto placement = placements_.find(base_of(request.model));
  if (placement != placements_.end()) placement->second.record_demand(now, request.model, tokens_of(request));
  if (try_model(open, request.model, Origin::requested_model) || try_fallbacks(open)) return;
  const bool too_long = exceeds_context(options_.catalogue.at(request.model), request);
  reject(request.id, request,
         too_long ? Allowance::Rejection::context_exceeded : Allowance::Rejection::no_replica);
}

// Passes the request to the pool of a model. Returns false if that model cannot serve it; its fallbacks are
// then queued.
bool Pools::try_model(OpenRequest& open, ModelId model_id, Origin origin) {
  const Catalogue& catalogue = options_.catalogue;
  const Model& model = catalogue.at(model_id);
  const double tokens = tokens_of(open.request);
  open.fallbacks.mark_tried(model_id);
  Pool& pool = *pools_.at(model_id);
  const bool too_long = exceeds_context(model, open.request) || exceeds_answer_limit(model, open.request);
  if (too_long || !pool.has_ready_replica()) {
    open.fallbacks.push_fallbacks_of(catalogue, model_id,
                                     too_long ? FallbackReason::too_long : FallbackReason::no_ready_replica);
    return false;
  }
  if (origin == Origin::requested_model) {
    pool.slow_start().on_primary_request(now_, tokens);
  } else if (!pool.slow_start().try_admit(now_, tokens)) {
    ++metrics_.pool_refused;
    open.fallbacks.push_fallbacks_of(catalogue, model_id, FallbackReason::overloaded);
    return false;
  }
  open.pool = &pool;
  Request forwarded = open.request;
  forwarded.model = model_id;
  forwarded.attempts_before = static_cast<std::uint8_t>(open.attempts.size());
  pool.decider().on_request(now_, forwarded);
  queue_pool(pool);
  return true;
}

// Passes the request to the next fallback that may and can serve it. Returns false if there is none.
bool Pools::try_fallbacks(OpenRequest& open) {
  if (open.fallbacks.empty()) return false;
  if (open.request.no_fallback) {
    ++metrics_.declined_by_client;
    return false;
  }
  if (open.attempts.size() >= options_.settings.max_attempts) {
    ++metrics_.no_attempts_left;
    return false;
  }
  if (!may_run_at_another_model(open)) {
    ++metrics_.may_have_run;
    return false;
  }
  while (const std::optional<FallbackCandidate> candidate = open.fallbacks.pop()) {
    if (open.request.deadline - now_ <= candidate->min_remaining_time) {
      ++metrics_.too_little_time;
      continue;
    }
    if (!fallback_budget_.spend()) {
      ++metrics_.fallback_budget_exhausted;
      return false;
    }
    if (try_model(open, candidate->model, Origin::fallback)) {
      ++metrics_.fallbacks[candidate->reason];
      return true;
    }
    fallback_budget_.refund();
  }
  return false;
}

// Returns whether the attempts so far permit one at a replica of another model. The decider of that model's
// pool does not know them, nor in which zone or cell they ran.
bool Pools::may_run_at_another_model(const OpenRequest& open) const {
  const std::vector<ClassSettings>& classes = options_.settings.classes;
  if (open.request.priority_class >= classes.size()) return true;
  return open.history.may_send_anywhere(classes[open.request.priority_class], now_);
}

// Rejects a request without asking a decider.
void Pools::reject(RequestId id, const Request& request, Allowance::Rejection reason) {
  auto allowance = std::make_shared<Allowance>();
  allowance->rejection = reason;
  if (is_known(request.model)) {
    const Model& model = options_.catalogue.at(request.model);
    allowance->subject = model.name;
    allowance->limit = model.context_tokens;
  }
  const Settings& settings = options_.settings;
  Time retry_after = 0;
  if (reason == Allowance::Rejection::no_replica && settings.retry_after) {
    retry_after = std::clamp<Time>(kNoReplicaRetryAfter, 1, std::max<Time>(1, settings.max_retry_after));
  }
  local_actions_.push_back({.kind = ActionKind::reject,
                            .id = id,
                            .time = retry_after,
                            .allowance = std::move(allowance),
                            .refusal = RefusalReason::limit_exceeded});
  open_.erase(id);
}

std::vector<Action> Pools::take_actions() {
  std::vector<Action> actions = std::exchange(local_actions_, {});
  while (!pools_with_actions_.empty()) {
    Pool& pool = *pools_with_actions_.back();
    pools_with_actions_.pop_back();
    pool.set_pending_actions(false);
    for (auto& action : pool.decider().take_actions()) on_action(pool, std::move(action), actions);
    std::vector<Action> rejections = std::exchange(local_actions_, {});
    std::move(rejections.begin(), rejections.end(), std::back_inserter(actions));
  }
  return actions;
}

void Pools::on_action(Pool& pool, Action action, std::vector<Action>& actions) {
  switch (action.kind) {
    case ActionKind::send: return on_send(pool, std::move(action), actions);
    case ActionKind::reject:
    case ActionKind::fail: return on_rejection_or_failure(pool, std::move(action), actions);
    case ActionKind::cancel: return on_cancel(pool, std::move(action), actions);
    case ActionKind::set_timer: return on_set_timer(pool, std::move(action), actions);
    case ActionKind::watch_endpoints:
    case ActionKind::fetch_endpoints:
      // All pools share one endpoint list, so only the first pool requests it.
      if (&pool == pools_.begin()->second.get()) actions.push_back(std::move(action));
      return;
    case ActionKind::probe:
    case ActionKind::message_peer: return actions.push_back(std::move(action));
  }
}

void Pools::on_send(Pool& pool, Action action, std::vector<Action>& actions) {
  OpenRequest* open = open_.find(action.id);
  if (open == nullptr) return;
  const auto number =
      static_cast<std::uint8_t>(std::count_if(open->attempts.begin(), open->attempts.end(),
                                              [&](const Attempt& other) { return other.pool == &pool; }));
  open->attempts.push_back({.pool = &pool, .number = number});
  open->history.add({.id = action.replica, .listed = false}, now_);
  open->attempt_in_flight = true;
  action.model = pool.model();
  notify_pools_of(action.replica, &pool,
                  [&](core::Decider& decider) { decider.on_shared_send(action.replica); });
  actions.push_back(std::move(action));
}

// The core numbers attempts per request; the action has the number that the pool's decider uses.
void Pools::on_cancel(const Pool& pool, Action action, std::vector<Action>& actions) {
  OpenRequest* open = open_.find(action.id);
  if (open == nullptr) return;
  const auto attempt = std::find_if(open->attempts.begin(), open->attempts.end(), [&](const Attempt& other) {
    return other.pool == &pool && other.number == action.attempt;
  });
  if (attempt == open->attempts.end()) return;
  action.attempt = static_cast<std::uint8_t>(attempt - open->attempts.begin());
  actions.push_back(std::move(action));
}

void Pools::on_set_timer(Pool& pool, Action action, std::vector<Action>& actions) {
  do {
    ++last_timer_token_;
  } while (timers_.contains(last_timer_token_));
  timers_[last_timer_token_] = {&pool, action.token};
  action.token = last_timer_token_;
  actions.push_back(std::move(action));
}

// Handles a rejection or failure by a pool's decider. A rejection is final unless another model accepts the
// request.
void Pools::on_rejection_or_failure(Pool& pool, Action action, std::vector<Action>& actions) {
  OpenRequest* open = open_.find(action.id);
  if (open == nullptr || open->pool != &pool) return;
  const bool over_budget =
      action.allowance && action.allowance->rejection == Allowance::Rejection::limit_exceeded;
  if (!over_budget) pool.slow_start().on_rejection(now_);
  if (action.kind == ActionKind::reject) {
    const FallbackReason reason = over_budget ? FallbackReason::over_budget : FallbackReason::overloaded;
    open->fallbacks.push_fallbacks_of(options_.catalogue, pool.model(), reason);
    // An attempt in flight is cancelled before the fallback sends another.
    const bool was_in_flight = open->attempt_in_flight;
    const auto last_attempt =
        static_cast<std::uint8_t>(open->attempts.empty() ? 0 : open->attempts.size() - 1);
    if (try_fallbacks(*open)) {
      if (was_in_flight) {
        actions.push_back({.kind = ActionKind::cancel, .id = action.id, .attempt = last_attempt});
      }
      return;
    }
  }
  open->concluded = true;
  if (!open->attempt_in_flight) open_.erase(action.id);
  actions.push_back(std::move(action));
}

void Pools::on_first_token(Time now, RequestId id, std::uint8_t attempt, ReplicaId replica, Time elapsed) {
  now_ = now;
  const OpenRequest* open = open_.find(id);
  if (open == nullptr || attempt >= open->attempts.size()) return;
  const Attempt sent = open->attempts[attempt];
  sent.pool->decider().on_first_token(now, id, sent.number, replica, elapsed);
  queue_pool(*sent.pool);
  notify_pools_of(replica, sent.pool, [&](core::Decider& decider) {
    decider.on_first_token(now, kNoRequest, 0, replica, elapsed);
  });
}

void Pools::on_attempt_result(Time now, const AttemptResult& result) {
  now_ = now;
  OpenRequest* open = open_.find(result.id);
  if (open == nullptr || result.attempt >= open->attempts.size()) return;
  open->history.record_outcome(result.attempt, result.outcome);
  const Attempt sent = open->attempts[result.attempt];
  if (result.attempt + 1u == open->attempts.size()) open->attempt_in_flight = false;
  if (result.outcome == Outcome::full) sent.pool->slow_start().on_rejection(now);
  if (result.concluded || (open->concluded && !open->attempt_in_flight)) open_.erase(result.id);
  AttemptResult forwarded = result;
  forwarded.attempt = sent.number;
  sent.pool->decider().on_attempt_result(now, forwarded);
  queue_pool(*sent.pool);
  forwarded.id = kNoRequest;
  forwarded.attempt = 0;
  notify_pools_of(result.replica, sent.pool,
                  [&](core::Decider& decider) { decider.on_attempt_result(now, forwarded); });
}

void Pools::on_client_disconnected(Time now, RequestId id) {
  now_ = now;
  OpenRequest* open = open_.find(id);
  if (open == nullptr) return;
  Pool* pool = open->pool;
  open->concluded = true;
  if (!open->attempt_in_flight) open_.erase(id);
  if (pool == nullptr) return;
  pool->decider().on_client_disconnected(now, id);
  queue_pool(*pool);
}

void Pools::on_timer(Time now, std::uint32_t token) {
  now_ = now;
  update_placements(now);
  const auto found = timers_.find(token);
  if (found == timers_.end()) return;
  const Timer timer = found->second;
  timers_.erase(found);
  timer.pool->decider().on_timer(now, timer.token);
  queue_pool(*timer.pool);
}

}  // namespace thornwick::models
