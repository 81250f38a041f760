// Decides when a router calls discovery, how long each call may wait for a change of the list, and when a
// call is given up. Does no I/O: the caller passes in the time and the random numbers, and
// net/discovery_client.cpp makes the calls.
//
// Guarantee of freshness: the router's list contains everything that discovery knew `informed_within`
// earlier, provided that discovery could be reached, whatever happened to earlier calls. A call that waits
// for a change ends early enough, and the next call begins soon enough, that two tries fit before this
// deadline. While discovery cannot be reached, calls are repeated so often that two of them fit between its
// return and the deadline. If discovery needs the time `l` for an answer, the list may be older by `l`.
//
// Guarantee of load, which takes precedence in a large group: all routers together begin at most
// kMaxCallsPerSecond calls a second on average, even after an event that affects all of them at once (a
// start, an outage, silent subscriptions), and fewer while calls fail because they waited too long. Renewals
// of a subscription do not count: they begin within 200 ms of an answer, and discovery does not queue them.
//
// If both guarantees cannot hold, the list may be late, and a router learns of drains from its peers
// (core/drain_tracker.hpp). This happens where meets_deadline() is false, in a group of more than about
// thirty routers, or if discovery answers fewer calls a second than a third of the number of routers.
//
// Calls overlap: a call without an answer is not given up when the next one is due. The next call begins in
// addition, and the first answer counts. Discovery is therefore called again soon after an outage or a lost
// call, and a discovery whose queue is long still informs its routers. If each call were given up after a
// time shorter than the wait in that queue, a router would never get an answer, because each new call begins
// at the end of the queue.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>

#include "thornwick/routing_policy.hpp"

namespace thornwick::core {

// Times are microseconds on a monotonic clock.
class DiscoverySchedule {
 public:
  // The maximum rate of calls of all routers together. A shared discovery was measured to answer 14 to 20
  // calls a second (docs/questions.md).
  static constexpr double kMaxCallsPerSecond = 12.8;
  // The maximum number of calls of one router that are in flight at the same time. When one more begins, the
  // second oldest is given up: the oldest has waited longest in discovery's queue, and the youngest may have
  // the only working connection.
  static constexpr std::size_t kMaxCallsInFlight = 4;

  struct Options {
    // The protocol regards every router as informed this long after a change.
    Time informed_within = seconds(6);
    // A value of the settings that bounds the pauses between the calls of a large group.
    Time max_poll_interval = seconds(10);
    // The number of routers that call the same discovery.
    std::uint32_t routers = 1;
    // Whether calls go to an agent on this machine, to which discovery pushes the list. Such calls cost
    // nothing, so they are short and frequent: an agent that was silent may not answer a waiting call once it
    // is back.
    bool uses_local_agent = false;
  };
  // Returns random numbers, uniform in [0, 1).
  using RandomSource = std::function<double()>;

  DiscoverySchedule(const Options& options, RandomSource random_source);

  // Returns when the first call begins. The time is random, so that routers that start together do not call
  // together.
  Time first_call_time(Time now) const { return now + random_fraction_of(round_duration_); }

  // The times of one call.
  struct Call {
    Time started_at = 0;
    Time max_wait =
        0;  // how long discovery may wait for a change; 0: it answers at once with the present list
    Time next_call_at = 0;  // when the next call begins if there is no answer by then
    Time give_up_at = 0;    // when the call is given up
  };
  // Begins a call and returns its times. Only the first call after a complete answer waits for a change of
  // the list; every other call asks for the present list.
  [[nodiscard]] Call begin_call(Time now);
  // Reports that a call was answered completely, so that the list is up to date. The caller begins the next
  // call at once.
  void on_call_answered() { next_call_renews_ = true; }
  // Reports that the latest call failed, for whatever reason. Returns when the next call begins.
  [[nodiscard]] Time on_call_failed(Time now, const Call& call);
  // Reports that later calls go to another discovery server, and that all calls in flight have been given up.
  void on_server_changed() { next_call_renews_ = false; }

  // Returns whether two tries fit into informed_within at the rate of calls of this group, so that the
  // guarantee of freshness holds.
  bool meets_deadline() const;

 private:
  Time random_fraction_of(Time span) const;
  Time next_call_after_silence(Time started_at, Time max_wait) const;
  Time random_time_after(Time started_at, double min_fraction, double max_fraction, Time period) const;

  Options options_;
  RandomSource random_source_;
  Time round_duration_ = 0;    // the time that all routers need for one call each
  Time period_ = 0;            // from the beginning of a call that fails to the beginning of the next
  Time congested_period_ = 0;  // the period while calls are not answered in time
  bool next_call_renews_ =
      false;  // whether the latest call was answered, so that the next one renews the subscription
};

}  // namespace thornwick::core
