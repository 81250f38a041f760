// Limits how many requests all routers together send to a replica that has just started. The limit is divided
// among the routers without messages between them. Decorates the decider; does no I/O.
//
// Guarantee: in each window of `overload_after`, the shares of all routers sum to at most N + 1, where N is
// the number of requests that the settings allow a cold replica in that window:
//
//     N = overload_multiple x present capacity x overload_after
//
// Capacity is in requests a second: the sum of the tenants' quotas, divided among the replicas by listed
// weight. The present capacity of a cold replica rises linearly from initial_capacity, the least that the
// settings promise, to its full capacity after warm_up. Without quotas the capacity is unknown, and nothing
// is limited.
//
// Method:
// - Each router has the same fixed share, N / group_size rounded down, and may send that many requests in any
//   window, whenever its requests arrive.
// - The routers take turns for the remainder (all of N if the fixed share is below one). The time since the
//   replica's start, which is the same at every router, is divided into windows. Each window gives out half
//   of the remainder, so that a window that overlaps two of them has no more than the remainder. The sends
//   given out are numbered consecutively over all windows, and number s belongs to router s mod group_size.
// - A router that has just started may have forgotten what it sent, and sends nothing in the window in which
//   it started.
// - In a group so large that a router's turn comes less often than every kMaxWindowsPerTurn windows, there
//   are no turns, because routers have too few requests to use them: with turns, 300 routers used 7 % of what
//   a cold replica could take (docs/standing.md). The shares of the routing policy, whose mean is under half
//   of N, then set the limit. A router sends at most one request in a window, so that neither its retries nor
//   a burst of its clients add to the sum.
//
// A send that the budget does not cover gets the outcome `not_sent` at once, and the decider chooses another
// replica.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <unordered_map>

#include "core/decider.hpp"

namespace thornwick::core {

// Not thread-safe, like every decider.
class SlowStartBudget final : public DeciderDecorator {
 public:
  // The maximum number of windows between two turns of a router. If there were more, there are no turns.
  static constexpr double kMaxWindowsPerTurn = 4;

  // `now` is when this router started.
  SlowStartBudget(std::unique_ptr<Decider> inner, const Settings& settings, Time now);

  void on_endpoints(Time now, EndpointUpdate scope, std::span<const Endpoint> entries) override;
  void on_request(Time now, const Request& request) override;
  void on_first_token(Time now, RequestId id, std::uint8_t attempt, ReplicaId replica, Time elapsed) override;
  void on_attempt_result(Time now, const AttemptResult& result) override;
  void on_timer(Time now, std::uint32_t token) override;
  std::vector<Action> take_actions() override;

  // Returns how many requests the settings allow all routers together to send to this replica, in a window
  // that begins `age` after the replica's start. Returns infinity for a replica that is warm or whose
  // capacity is unknown.
  double allowed_sends(const Endpoint& replica, Time age) const;

 private:
  // What this router has sent to a cold replica.
  struct SlowStart {
    Time started = 0;                 // when the replica started
    std::deque<Time> recent_sends;    // sends in the last window
    long turn_window = -1;            // the latest window in which a turn was used
    std::uint64_t sends_in_turn = 0;  // the sends in that window that used a turn
  };

  void update_ready(EndpointUpdate scope, std::span<const Endpoint> entries);
  bool try_send(Time now, ReplicaId id);
  SlowStart& slow_start_of(const Endpoint& replica);
  bool try_send_within_share(Time now, SlowStart& slow_start, std::uint64_t share) const;
  bool try_send_in_turn(const Endpoint& replica, long window, SlowStart& slow_start) const;
  long window_at(const Endpoint& replica, Time when) const;
  double remainder_of(double sends) const;
  std::uint64_t turns_before(const Endpoint& replica, long window) const;

  Settings settings_;
  double total_quota_ = 0;  // requests a second, summed over all tenants
  Time router_started_at_;
  Time now_;  // time of the latest event; the actions that the event caused are taken at once
  std::map<ReplicaId, Endpoint> ready_;
  double total_weight_ = 0;  // sum over all ready replicas
  std::unordered_map<ReplicaId, SlowStart> slow_starts_;
};

}  // namespace thornwick::core
