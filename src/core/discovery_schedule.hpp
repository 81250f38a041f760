// Decides when a router calls discovery, how long each call may wait for a change of the list, and when a
// call is given up. Does no I/O: the clock and the random numbers are passed in; net/discovery_client.cpp
// makes the calls.
//
// Guarantee of freshness: the router's list holds everything that discovery knew and could be asked for
// `informed_within` earlier, whatever happened to earlier calls. A call that waits for a change ends early
// enough, and the next call begins soon enough, that two tries fit before this deadline. While discovery
// cannot be reached, calls are repeated so often that two of them fit after its return. If discovery needs
// the time `l` for an answer, the list may be older by `l`.
//
// Guarantee of load, which takes precedence in a large group: all routers together begin at most
// kCallsPerSecond calls a second in the mean, even after an event that meets all of them at once (a start, an
// outage, silence), and fewer while calls fail because they waited too long. Renewals of a subscription do
// not count: they begin within 200 ms of an answer, and discovery does not queue them.
//
// Where both cannot hold, the list may be late, and a router learns of drains from its peers
// (core/drain_tracker.hpp). This is the case where in_time() is false, in a group of more than about thirty
// routers, or if discovery answers fewer calls a second than a third of the number of routers.
//
// Calls overlap: a call without an answer is not given up when the next one is due. The next call begins
// beside it, and the first answer counts. After an outage or a lost call discovery is therefore asked again
// soon, and a discovery whose queue is long still informs its routers. Giving each call up after a time that
// is shorter than that queue would leave a router without any answer, because each new call begins at the
// queue's end.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>

#include "thornwick/routing_policy.hpp"

namespace thornwick::core {

// Times are microseconds on a monotonic clock.
class DiscoverySchedule {
 public:
  // The limit for all routers together. A shared discovery was measured to answer 14 to 20 calls a second
  // (docs/questions.md).
  static constexpr double kCallsPerSecond = 12.8;
  // Calls of one router that are in flight at the same time. When one more begins, the second oldest is given
  // up: the oldest has waited longest in discovery's queue, and the youngest may have the only good
  // connection.
  static constexpr std::size_t kMaxCallsInFlight = 4;

  struct Options {
    // The time after a change at which the protocol takes every router to be informed.
    Time informed_within = seconds(6);
    // From the settings; bounds the pauses between the calls of a large group.
    Time max_poll_interval = seconds(10);
    // The number of routers that call the same discovery.
    std::uint32_t routers = 1;
    // Whether calls go to an agent on this machine, to which discovery pushes the list. They cost nothing, so
    // they are short and frequent: an agent that was silent may not answer a waiting call once it is back.
    bool uses_local_agent = false;
  };
  // Returns random numbers, uniform in [0, 1).
  using Chance = std::function<double()>;

  DiscoverySchedule(const Options& options, Chance chance);

  // When the first call begins. The time is random, so that routers that start together do not call together.
  Time first_call_time(Time now) const { return now + random_part_of(spread_); }

  struct Call {
    Time started_at = 0;
    Time max_wait = 0;      // how long discovery may wait for a change; 0: it answers with the list as it is
    Time next_call_at = 0;  // when the next call begins if there is no answer by then
    Time give_up_at = 0;    // when the call is given up
  };
  // Begins a call and returns its times. A call waits for a change of the list only if it is the first one
  // after a complete answer; every other call asks for the list as it is.
  [[nodiscard]] Call begin_call(Time now);
  // Reports that a call was answered completely, so that the list is up to date. The caller begins the next
  // call at once.
  void on_call_answered() { renewing_ = true; }
  // Reports that the latest call failed, for whatever reason. Returns when the next call begins.
  [[nodiscard]] Time on_call_failed(Time now, const Call& call);
  // Reports that calls go to another discovery server from now on, and that the calls that are out have been
  // given up.
  void on_server_changed() { renewing_ = false; }

  // Whether two tries fit into informed_within at the pace of this group, so that the first guarantee holds.
  bool in_time() const;

 private:
  Time random_part_of(Time span) const;
  Time after_silence(Time begun, Time wait) const;
  Time from_beginning(Time begun, double min_part, double max_part, Time period) const;

  Options options_;
  Chance chance_;
  Time spread_ = 0;            // the time that all routers need for one call each
  Time period_ = 0;            // from the beginning of a call that fails to the beginning of the next
  Time congested_period_ = 0;  // the same, while calls are not answered in time
  bool renewing_ = false;      // the latest call was answered, so the next one renews the subscription
};

}  // namespace thornwick::core
