// Decides when a router calls discovery, how long each call may wait for news, and when it is given up. No
// I/O: the clock and the random numbers are handed in; net/discovery_client.cpp makes the calls.
//
// A call without an answer is not given up when the next one is due: the next one begins beside it, and
// whichever answers first counts. So a discovery that is gone, or that has lost a call, is asked again soon,
// and one that needs long for each answer, because its queue is full, still informs its routers. A limit of a
// call that is shorter than such a queue would never let a router hear of it: each call would be given up,
// and begun anew at the end of the queue.
//
// First guarantee, of time: whatever became of earlier calls, what discovery knows and can be asked for is in
// the router's list within `told_within` of the latest moment at which the list was known to be complete. A
// call that waits for news ends early enough, and the next call comes soon enough, that two tries fit before
// the deadline; while discovery cannot be reached, the tries come so often that two fit after its return.
// Where discovery needs `l` for an answer, the list is that much older.
//
// Second guarantee, of load, which takes precedence in a large group: all routers together begin at most
// kCallsPerS calls a second in the mean, whatever befell them all at once (a start, an outage, silence), and
// fewer while calls fail because they waited too long. Renewals of a subscription do not count: they come
// within 200 ms of an answer, and discovery does not queue them.
//
// Where both cannot hold, the list may be late, and a router learns of drains from its peers
// (core/drain_tracker.hpp). This is so where in_time() is false, in a group of more than about thirty
// routers, or with a discovery that bears fewer calls a second than a third of the number of routers.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>

#include "thornwick/routing_policy.hpp"

namespace thornwick::core {

// Times are microseconds on a monotonic clock.
class DiscoverySchedule {
 public:
  // All routers together. A shared discovery was seen to bear 14 to 20 calls a second (docs/questions.md).
  static constexpr double kCallsPerS = 12.8;
  // Calls of one router that are out at the same time. When one more begins, the second oldest is given up:
  // the oldest has waited longest in discovery's queue, and the youngest may have the only good connection.
  static constexpr std::size_t kMaxCallsOut = 4;

  struct Options {
    Time told_within = seconds(6);         // after this time the protocol takes routers to be informed
    Time max_poll_interval = seconds(10);  // from the settings; bounds the pauses of a large group
    std::uint32_t routers = 1;             // that call the same discovery
    // An agent on this machine has the list: calls cost nothing, and an agent that was silent may not answer
    // the waiting call once it is back.
    bool pushed = false;
  };
  // Returns random numbers, uniform in [0, 1).
  using Chance = std::function<double()>;

  DiscoverySchedule(const Options& options, Chance chance);

  // When the first call begins, so that routers that start together do not call together.
  Time first(Time now) const { return now + random_part_of(spread_); }

  struct Call {
    Time begun = 0;
    Time wait = 0;   // for news; 0: the call asks for what is known now
    Time next = 0;   // when the next call begins, if there is no answer by then
    Time limit = 0;  // when the call is given up
  };
  // A call begins. The first call, and any until the next answer, does not wait for news.
  Call begin(Time now);
  // The answer came complete, so that the list is up to date. The next call follows at once.
  void answered() { renewing_ = true; }
  // The latest call failed, for whatever reason. Returns when the next one begins.
  Time failed(Time now, const Call& call);

  // Calls go to another discovery server from now on. Calls that are out are over.
  void turned() { renewing_ = false; }

  // Whether two tries fit into told_within at the pace of this group, so that the first guarantee holds.
  bool in_time() const;

 private:
  Time random_part_of(Time span) const;
  Time after_silence(Time begun, Time wait) const;
  Time from_beginning(Time begun, double least, double most, Time period) const;

  Options options_;
  Chance chance_;
  Time spread_ = 0;            // in which all routers may call once
  Time period_ = 0;            // from the beginning of a call that fails to that of the next
  Time congested_period_ = 0;  // the same, where calls are not answered in time
  bool renewing_ = false;      // the latest call was answered: the next one renews the subscription
};

}  // namespace thornwick::core
