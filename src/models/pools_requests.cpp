// The way of a request through the pools: its model, fallbacks, attempts and results.
#include <algorithm>
#include <iterator>
#include <optional>
#include <utility>

#include "models/pools.hpp"

namespace thornwick::models {
namespace {

constexpr RequestId kNoRequest = 0;  // stands for a request of another pool's decider
constexpr Time kNoReplicaRetryAfter = seconds(1);

// Tokens of prompt and answer together.
double work_of(const Request& request) { return std::max(1.0, request.prompt_tokens + request.max_tokens); }

bool exceeds_context(const Model& model, const Request& request) {
  return model.context_tokens > 0 && work_of(request) > model.context_tokens;
}

bool exceeds_answer_limit(const Model& model, const Request& request) {
  return model.max_answer_tokens > 0 && request.max_tokens > model.max_answer_tokens;
}

}  // namespace

// ---------------------------------------------------------------- a request comes

void Pools::on_request(Time now, const Request& request) {
  now_ = now;
  update_placements(now);
  OpenRequest fresh;
  fresh.request = request;
  OpenRequest& open = open_.put(request.id, std::move(fresh));
  fallback_budget_.request();
  if (!is_known(request.model)) {
    reject(request.id, request, Allowance::Rejection::no_replica);
    return;
  }
  const auto placement = placements_.find(base_of(request.model));
  if (placement != placements_.end()) placement->second.asked(now, request.model, work_of(request));
  if (try_model(open, request.model, Origin::own_model) || try_fallbacks(open)) return;
  const bool too_long = exceeds_context(options_.catalogue.at(request.model), request);
  reject(request.id, request,
         too_long ? Allowance::Rejection::context_exceeded : Allowance::Rejection::no_replica);
}

// Hands the request to a model's pool. False: the model cannot serve it, and its fallbacks are queued.
bool Pools::try_model(OpenRequest& open, ModelId model_number, Origin origin) {
  const Catalogue& catalogue = options_.catalogue;
  const Model& model = catalogue.at(model_number);
  const double work = work_of(open.request);
  open.fallbacks.mark_tried(model_number);
  Pool& pool = *pools_.at(model_number);
  const bool too_long = exceeds_context(model, open.request) || exceeds_answer_limit(model, open.request);
  if (too_long || !pool.has_ready_replica()) {
    open.fallbacks.push_fallbacks_of(catalogue, model_number,
                                     too_long ? FallbackReason::too_long : FallbackReason::no_ready_replica);
    return false;
  }
  if (origin == Origin::own_model) {
    pool.slow_start().own(now_, work);
  } else if (!pool.slow_start().admits(now_, work)) {
    ++metrics_.pool_refused;
    open.fallbacks.push_fallbacks_of(catalogue, model_number, FallbackReason::overloaded);
    return false;
  }
  open.pool = &pool;
  Request forwarded = open.request;
  forwarded.model = model_number;
  forwarded.attempts_before = static_cast<std::uint8_t>(open.attempts.size());
  pool.decider().on_request(now_, forwarded);
  mark_touched(pool);
  return true;
}

// Hands the request to the next model that may and can take it. False: there is none.
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
  while (const std::optional<FallbackCandidate> candidate = open.fallbacks.pop()) {
    if (open.request.deadline - now_ <= candidate->min_remaining_time) {
      ++metrics_.too_little_time;
      continue;
    }
    if (!fallback_budget_.spend()) {
      ++metrics_.fallback_budget_exhausted;
      return false;
    }
    if (try_model(open, candidate->model, Origin::other_model)) {
      ++metrics_.fallbacks[candidate->why];
      return true;
    }
    fallback_budget_.refund();
  }
  return false;
}

// A rejection that no decider was asked about.
void Pools::reject(RequestId id, const Request& request, Allowance::Rejection why) {
  auto allowance = std::make_shared<Allowance>();
  allowance->rejection = why;
  if (is_known(request.model)) {
    const Model& model = options_.catalogue.at(request.model);
    allowance->subject = model.name;
    allowance->limit = model.context_tokens;
  }
  const Settings& settings = options_.settings;
  Time retry_after = 0;
  if (why == Allowance::Rejection::no_replica && settings.retry_after) {
    retry_after = std::clamp<Time>(kNoReplicaRetryAfter, 1, std::max<Time>(1, settings.max_retry_after));
  }
  own_actions_.push_back({.kind = ActionKind::reject,
                          .id = id,
                          .time = retry_after,
                          .allowance = std::move(allowance),
                          .refusal = RefusalReason::limit_exceeded});
  open_.erase(id);
}

// ---------------------------------------------------------------- actions of the pools' deciders

std::vector<Action> Pools::take_actions() {
  std::vector<Action> actions = std::exchange(own_actions_, {});
  while (!touched_.empty()) {
    Pool& pool = *touched_.back();
    touched_.pop_back();
    pool.set_touched(false);
    for (auto& action : pool.decider().take_actions()) on_action(pool, std::move(action), actions);
    std::vector<Action> own = std::exchange(own_actions_, {});
    std::move(own.begin(), own.end(), std::back_inserter(actions));
  }
  return actions;
}

void Pools::on_action(Pool& pool, Action action, std::vector<Action>& actions) {
  switch (action.kind) {
    case ActionKind::send: return on_send(pool, std::move(action), actions);
    case ActionKind::reject:
    case ActionKind::fail: return on_given_up(pool, std::move(action), actions);
    case ActionKind::cancel: return on_cancel(pool, std::move(action), actions);
    case ActionKind::set_timer: return on_set_timer(pool, std::move(action), actions);
    case ActionKind::watch_endpoints:
    case ActionKind::fetch_endpoints:
      // The list is the same for all: one of them asks for it.
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
  open->attempts.push_back({&pool, number, action.replica});
  open->attempt_in_flight = true;
  action.model = pool.model();
  notify_sharing(action.replica, &pool,
                 [&](core::Decider& decider) { decider.on_shared_send(action.replica); });
  actions.push_back(std::move(action));
}

// Attempts are numbered by the request for the core, by the pool's decider in its action.
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
    ++last_timer_;
  } while (timers_.contains(last_timer_));
  timers_[last_timer_] = {&pool, action.token};
  action.token = last_timer_;
  actions.push_back(std::move(action));
}

// A pool's decider rejects or fails a request. A rejection is final unless another model takes the request.
void Pools::on_given_up(Pool& pool, Action action, std::vector<Action>& actions) {
  OpenRequest* open = open_.find(action.id);
  if (open == nullptr || open->pool != &pool) return;
  const bool over_budget =
      action.allowance && action.allowance->rejection == Allowance::Rejection::limit_exceeded;
  if (!over_budget) pool.slow_start().rejected(now_);
  if (action.kind == ActionKind::reject) {
    const FallbackReason why = over_budget ? FallbackReason::over_budget : FallbackReason::overloaded;
    open->fallbacks.push_fallbacks_of(options_.catalogue, pool.model(), why);
    // An attempt in flight is ended before another one begins.
    const bool was_in_flight = open->attempt_in_flight;
    const auto last = static_cast<std::uint8_t>(open->attempts.empty() ? 0 : open->attempts.size() - 1);
    if (try_fallbacks(*open)) {
      if (was_in_flight) {
        actions.push_back({.kind = ActionKind::cancel, .id = action.id, .attempt = last});
      }
      return;
    }
  }
  open->concluded = true;
  if (!open->attempt_in_flight) open_.erase(action.id);
  actions.push_back(std::move(action));
}

// ---------------------------------------------------------------- events after a send

void Pools::on_first_token(Time now, RequestId id, std::uint8_t attempt, ReplicaId replica, Time elapsed) {
  now_ = now;
  const OpenRequest* open = open_.find(id);
  if (open == nullptr || attempt >= open->attempts.size()) return;
  const Attempt sent = open->attempts[attempt];
  sent.pool->decider().on_first_token(now, id, sent.number, replica, elapsed);
  mark_touched(*sent.pool);
  notify_sharing(replica, sent.pool, [&](core::Decider& decider) {
    decider.on_first_token(now, kNoRequest, 0, replica, elapsed);
  });
}

void Pools::on_attempt_result(Time now, const AttemptResult& result) {
  now_ = now;
  OpenRequest* open = open_.find(result.id);
  if (open == nullptr || result.attempt >= open->attempts.size()) return;
  const Attempt sent = open->attempts[result.attempt];
  if (result.attempt + 1u == open->attempts.size()) open->attempt_in_flight = false;
  if (result.outcome == Outcome::full) sent.pool->slow_start().rejected(now);
  if (result.concluded || (open->concluded && !open->attempt_in_flight)) open_.erase(result.id);
  AttemptResult forwarded = result;
  forwarded.attempt = sent.number;
  sent.pool->decider().on_attempt_result(now, forwarded);
  mark_touched(*sent.pool);
  forwarded.id = kNoRequest;
  forwarded.attempt = 0;
  notify_sharing(result.replica, sent.pool,
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
  mark_touched(*pool);
}

void Pools::on_timer(Time now, std::uint32_t token) {
  now_ = now;
  update_placements(now);
  const auto found = timers_.find(token);
  if (found == timers_.end()) return;
  const Timer timer = found->second;
  timers_.erase(found);
  timer.pool->decider().on_timer(now, timer.token);
  mark_touched(*timer.pool);
}

}  // namespace thornwick::models
