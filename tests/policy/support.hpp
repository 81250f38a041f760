// A router with a fake clock, and shorthand to feed it and to read what it decides.
#pragma once

#include <algorithm>
#include <set>
#include <vector>

#include "thornwick/routing_policy.hpp"

namespace thornwick::testing {

inline constexpr Time kSecond = seconds(1);

inline Settings plain_settings() {
  Settings s;
  s.seed = 7;
  s.classes.push_back({.priority_weight = 1, .latency_objective = seconds(2), .deadline = seconds(10)});
  s.may_cancel = true;
  s.hedging = true;
  s.max_attempts = 4;
  s.initial_capacity = 0.2;
  s.warm_up = seconds(10);
  s.drain_grace = 500'000;
  return s;
}

class Fixture {
 public:
  explicit Fixture(const Settings& settings = plain_settings(), Time start = seconds(1000))
      : now(start), router(settings, start) {
    absorb();
  }

  void list(std::vector<Endpoint> entries, EndpointUpdate scope = EndpointUpdate::full) {
    router.on_endpoints(now, scope, entries);
    absorb();
  }

  // Replicas 10, 20, 30, ... of one zone and weight.
  void list_plain(int count) {
    std::vector<Endpoint> entries;
    for (int i = 1; i <= count; ++i) entries.push_back({.id = static_cast<ReplicaId>(10 * i)});
    list(entries);
  }

  // Returns the actions that follow the arrival.
  std::vector<Action> arrive(Request request) {
    if (request.id == 0) request.id = ++last_id;
    if (request.due == 0) request.due = now + seconds(8);
    last = request;
    router.on_request(now, request);
    return absorb();
  }
  std::vector<Action> arrive_sized(double prompt, double limit = 100) {
    return arrive({.prompt_tokens = prompt, .max_tokens = limit});
  }

  std::vector<Action> result(RequestId id, std::uint8_t attempt, ReplicaId replica, Outcome outcome,
                             bool concluded = false) {
    router.on_attempt_result(now, {.id = id,
                                   .attempt = attempt,
                                   .replica = replica,
                                   .outcome = outcome,
                                   .elapsed = kSecond,
                                   .concluded = concluded});
    return absorb();
  }
  std::vector<Action> first_token(RequestId id, std::uint8_t attempt, ReplicaId replica) {
    router.on_first_token(now, id, attempt, replica, 0);
    return absorb();
  }

  // Serves a request at once: first token, then the end of the stream.
  void serve(RequestId id, ReplicaId replica, std::uint8_t attempt = 0) {
    first_token(id, attempt, replica);
    result(id, attempt, replica, Outcome::served, true);
  }

  // Advances the clock, firing every timer on its way.
  std::vector<Action> advance(Time by) {
    std::vector<Action> seen;
    const Time until = now + by;
    while (!timers.empty() && timers.begin()->first <= until) {
      const auto [when, token] = *timers.begin();
      timers.erase(timers.begin());
      now = std::max(now, when);
      router.on_timer(now, token);
      const auto actions = absorb();
      seen.insert(seen.end(), actions.begin(), actions.end());
    }
    now = until;
    return seen;
  }

  std::vector<Action> absorb() {
    auto actions = router.take_actions();
    for (const auto& a : actions) {
      if (a.kind == ActionKind::set_timer) timers.emplace(std::max(a.time, now + 1), a.token);
    }
    return actions;
  }

  // Serves enough requests that the budget allows second attempts.
  void earn_second_attempts() {
    for (int i = 0; i < 25; ++i) {
      const auto to = sent_replica(arrive_sized(100));
      serve(last.id, to);
    }
  }
  static ReplicaId sent_replica(const std::vector<Action>& actions) {
    for (const auto& a : actions) {
      if (a.kind == ActionKind::send) return a.replica;
    }
    return 0;
  }

  // Feeds sizes, evenly over [low, high], so that they can be told apart; all are served at once.
  void learn_sizes(int count, double low, double high) {
    for (int i = 0; i < count; ++i) {
      const double size = low + (high - low) * ((i * 37) % count) / count;
      for (const auto& a : arrive_sized(size, 0)) {
        if (a.kind == ActionKind::send) serve(a.id, a.replica);
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

inline std::vector<Action> only(const std::vector<Action>& actions, ActionKind kind) {
  std::vector<Action> found;
  std::copy_if(actions.begin(), actions.end(), std::back_inserter(found),
               [&](const Action& a) { return a.kind == kind; });
  return found;
}

inline ReplicaId sent_to(const std::vector<Action>& actions) { return Fixture::sent_replica(actions); }

inline std::size_t finals(const std::vector<Action>& actions) {
  return only(actions, ActionKind::reject).size() + only(actions, ActionKind::fail).size();
}

}  // namespace thornwick::testing
