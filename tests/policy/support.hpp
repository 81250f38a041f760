// Helpers for the tests of the routing policy: settings, a policy with a clock, and queries on its actions.
#pragma once

#include <algorithm>
#include <set>
#include <vector>

#include "thornwick/routing_policy.hpp"

namespace thornwick::testing {

inline constexpr Time kSecond = seconds(1);

// Settings with one class of safe requests. Attempts can be cancelled and requests hedged.
inline Settings plain_settings() {
  Settings settings;
  settings.seed = 7;
  settings.classes.push_back(
      {.priority_weight = 1, .latency_objective = seconds(2), .deadline = seconds(10)});
  settings.may_cancel = true;
  settings.hedging = true;
  settings.max_attempts = 4;
  settings.initial_capacity = 0.2;
  settings.warm_up = seconds(10);
  settings.drain_grace = 500'000;
  return settings;
}

// Returns the replica of the first send action; 0 if there is none.
inline ReplicaId sent_replica(const std::vector<Action>& actions) {
  for (const Action& action : actions) {
    if (action.kind == ActionKind::send) return action.replica;
  }
  return 0;
}

// A routing policy with a clock that the test advances. Collects the policy's actions after each event, and
// stores its timers.
class PolicyFixture {
 public:
  explicit PolicyFixture(const Settings& settings = plain_settings(), Time start = seconds(1000))
      : now(start), router(settings, start) {
    take_actions();
  }

  // Delivers an update of the endpoint list.
  void list(std::vector<Endpoint> entries, EndpointUpdate scope = EndpointUpdate::full) {
    router.on_endpoints(now, scope, entries);
    take_actions();
  }

  // Lists the replicas 10, 20, 30, ... with equal zones and weights.
  void list_equal_replicas(int count) {
    std::vector<Endpoint> entries;
    for (int i = 1; i <= count; ++i) entries.push_back({.id = static_cast<ReplicaId>(10 * i)});
    list(entries);
  }

  // Delivers a request, with a new id and a deadline after 8 s unless they are set. Returns the actions that
  // follow.
  std::vector<Action> arrive(Request request) {
    if (request.id == 0) request.id = ++last_id;
    if (request.deadline == 0) request.deadline = now + seconds(8);
    last = request;
    router.on_request(now, request);
    return take_actions();
  }
  std::vector<Action> arrive_with_size(double prompt, double limit = 100) {
    return arrive({.prompt_tokens = prompt, .max_tokens = limit});
  }

  // Ends an attempt with this outcome after one second. Returns the actions that follow.
  std::vector<Action> end_attempt(RequestId id, std::uint8_t attempt, ReplicaId replica, Outcome outcome,
                                  bool concluded = false) {
    router.on_attempt_result(now, {.id = id,
                                   .attempt = attempt,
                                   .replica = replica,
                                   .outcome = outcome,
                                   .elapsed = kSecond,
                                   .concluded = concluded});
    return take_actions();
  }
  std::vector<Action> first_token(RequestId id, std::uint8_t attempt, ReplicaId replica) {
    router.on_first_token(now, id, attempt, replica, 0);
    return take_actions();
  }

  // Delivers a complete answer to a request: the first token and the end of the stream.
  void serve(RequestId id, ReplicaId replica, std::uint8_t attempt = 0) {
    first_token(id, attempt, replica);
    end_attempt(id, attempt, replica, Outcome::served, true);
  }

  // Advances the clock, and fires every timer that expires meanwhile. Returns the actions that follow.
  std::vector<Action> advance(Time by) {
    std::vector<Action> collected;
    const Time until = now + by;
    while (!timers.empty() && timers.begin()->first <= until) {
      const auto [expires_at, token] = *timers.begin();
      timers.erase(timers.begin());
      now = std::max(now, expires_at);
      router.on_timer(now, token);
      const auto actions = take_actions();
      collected.insert(collected.end(), actions.begin(), actions.end());
    }
    now = until;
    return collected;
  }

  // Returns the actions decided since the last call, and stores the timers that they set.
  std::vector<Action> take_actions() {
    auto actions = router.take_actions();
    for (const Action& action : actions) {
      if (action.kind == ActionKind::set_timer) timers.emplace(std::max(action.time, now + 1), action.token);
    }
    return actions;
  }

  // Serves enough requests for the retry budget to allow retries.
  void fill_retry_budget() {
    for (int i = 0; i < 25; ++i) {
      const auto replica = sent_replica(arrive_with_size(100));
      serve(last.id, replica);
    }
  }

  // Delivers and serves `count` requests with sizes spread evenly over [low, high), so that the policy learns
  // to divide requests by size.
  void learn_sizes(int count, double low, double high) {
    for (int i = 0; i < count; ++i) {
      const double size = low + (high - low) * ((i * 37) % count) / count;
      for (const Action& action : arrive_with_size(size, 0)) {
        if (action.kind == ActionKind::send) serve(action.id, action.replica);
      }
      advance(20'000);
    }
    advance(kSecond);
  }

  Time now;
  RoutingPolicy router;
  RequestId last_id = 0;
  Request last;
  std::multiset<std::pair<Time, std::uint32_t>> timers;
};

// Returns the actions of this kind, in order.
inline std::vector<Action> actions_of_kind(const std::vector<Action>& actions, ActionKind kind) {
  std::vector<Action> found;
  std::copy_if(actions.begin(), actions.end(), std::back_inserter(found),
               [&](const Action& action) { return action.kind == kind; });
  return found;
}

// Returns how many of the actions are final answers to requests.
inline std::size_t final_answer_count(const std::vector<Action>& actions) {
  return actions_of_kind(actions, ActionKind::reject).size() +
         actions_of_kind(actions, ActionKind::fail).size();
}

}  // namespace thornwick::testing
