// Decides when a router calls discovery, how long each call may wait for a change of the list, and when a
// call is given up. Does no I/O: the caller passes in the time and the random numbers, and
// net/discovery_client.cpp makes the calls.
//
// Guarantee of freshness: the router's list contains everything that discovery knew DiscoveryWaits::deadline
// earlier, provided that discovery could be reached, whatever happened to earlier calls, and that
// DiscoveryWaits::meets_deadline() holds. core/discovery_waits.hpp derives all waits from the terms of the
// settings and says what holds where they do not fit.
//
// Guarantee of load for a shared server, which takes precedence in a large group: all routers together begin
// at most kMaxCallsPerSecond calls a second on average, even after an event that affects all of them at once
// (a start, an outage, silent subscriptions), and fewer while calls fail because they waited too long.
// Renewals of a subscription do not count: they begin within 200 ms of an answer, and discovery does not
// queue them.
//
// Calls overlap: a call without an answer is not given up when the next one is due. The next call begins in
// addition, and the first answer counts. Discovery is therefore called again soon after an outage or a lost
// call, and a discovery whose queue is long still informs its routers. If each call were given up after a
// time shorter than the wait in that queue, a router would never get an answer, because each new call begins
// at the end of the queue.
#pragma once

#include <cstddef>
#include <functional>

#include "core/discovery_waits.hpp"

namespace thornwick::core {

// Times are microseconds on a monotonic clock.
class DiscoverySchedule {
 public:
  // The maximum number of calls of one router that are in flight at the same time. When one more begins, the
  // second oldest is given up: the oldest has waited longest in discovery's queue, and the youngest may have
  // the only working connection.
  static constexpr std::size_t kMaxCallsInFlight = 4;

  using Options = DiscoveryTerms;
  // Returns random numbers, uniform in [0, 1).
  using RandomSource = std::function<double()>;

  DiscoverySchedule(const Options& options, RandomSource random_source);

  // The waits that the schedule applies.
  const DiscoveryWaits& waits() const { return waits_; }

  // Returns when the first call begins. The time is random, so that routers that start together do not call
  // a shared server together.
  Time first_call_time(Time now) const { return now + random_wait(waits_.first_call); }

  // The times of one call.
  struct Call {
    Time started_at = 0;
    // How long discovery may wait for a change; 0: it answers at once with the present list.
    Time max_wait = 0;
    Time next_call_at = 0;  // when the next call begins if there is no answer by then
    Time give_up_at = 0;    // when the call is given up
  };
  // Begins a call and returns its times. Only the first call after a complete answer waits for a change of
  // the list; every other call asks for the present list.
  [[nodiscard]] Call begin_call(Time now);
  // Reports that a call was answered completely, so that the list is up to date.
  void on_call_answered() { next_call_renews_ = true; }
  // Returns when the next call begins after the latest call was answered without a change of the list. After
  // a change, the next call begins at once.
  [[nodiscard]] Time next_call_after_unchanged(Time now, const Call& call) const;
  // Reports that the latest call failed, for whatever reason. Returns when the next call begins.
  [[nodiscard]] Time on_call_failed(Time now, const Call& call);
  // Reports that later calls go to another discovery server, and that all calls in flight have been given up.
  void on_server_changed() { next_call_renews_ = false; }

 private:
  Time random_wait(const WaitRange& range) const;

  DiscoveryWaits waits_;
  RandomSource random_source_;
  // Whether the latest call was answered, so that the next one renews the subscription.
  bool next_call_renews_ = false;
};

}  // namespace thornwick::core
