// Derives all waits between a change at discovery and its effect on this router's sends, and states how late
// that effect can be. core/discovery_schedule.hpp applies the waits. No state, no I/O.
//
// The time available is the deadline: the longest time from the moment at which the protocol expects a change
// to be known until the router has applied it. From then on no attempt is written to a replica that drains,
// not even one that was chosen before (net/upstream_connection.cpp checks the list again before it writes).
//
// - Where a local agent has the list, whatever the agent has counts as known at once, whether or not it could
//   be fetched. The deadline is the grace that the settings give after a drain (Settings::drain_grace), less
//   kMaxSendDelay.
// - Where routers call a shared server, a change counts as known `informed_within` after the server had it
//   and could be reached. The grace comes on top and is left for late answers; only a grace below
//   kMaxSendDelay makes the deadline shorter.
//
// The waits of an agent are multiples of an eighth of the deadline. The slowest way to a change:
//
//     the latest answer came without a wait, and the next call begins later           1/8  min_call_spacing
//     that call falls silent: it was to wait for a change, and was then due           3/8  watch
//                                                                                     1/8  silence
//     the call after it gets no answer, or half of one                                2/8  unanswered
//     the call after that is answered                                                 1/8  answer
//
// An agent that has an older list than the router, because it was restarted, takes as long: its first answer
// comes after at most 5/8, the one after the next is at least `older_list_delay` (1/8) later and is applied.
//
// At the end of an outage, the answer may take 6/8 of the deadline, because calls overlap and none is given
// up before it is that old.
//
// The waits of a shared server depend on how many routers call it, because all routers together begin no more
// than kMaxCallsPerSecond calls a second. In a small group two tries fit into the deadline after a rejected
// call; in a medium group (from 31 routers on, up to 54 with informed_within = 6 s) one try fits.
//
// What holds where the sum does not fit:
// - A grace below 250 ms: an agent is not called more often than every 25 ms. Sends may then begin up to
//   latest_effect() + kMaxSendDelay after the agent had the change.
// - A large group: the rate limit takes precedence, latest_effect() exceeds the deadline, and drains are
//   reported between routers (core/drain_tracker.hpp).
// - Answers that take longer than `answer`: the effect may be later by as much.
// - A shared server that answers too late, so that calls wait in its queue: the pauses grow as
//   core/discovery_schedule.hpp says, because a late list is better than none.
#pragma once

#include <cstdint>

#include "thornwick/time.hpp"

namespace thornwick::core {

// The longest time for which the router may be held up between the choice of a replica and the write of the
// attempt. A drain that arrives in that time is noticed after it.
constexpr Time kMaxSendDelay = milliseconds(150);
// The maximum rate of calls of all routers together. A shared discovery was measured to answer 14 to 20 calls
// a second (docs/questions.md).
constexpr double kMaxCallsPerSecond = 12.8;

// What the waits are derived from. Times are microseconds.
struct DiscoveryTerms {
  // The protocol regards every router as informed this long after a change of a shared server.
  Time informed_within = seconds(6);
  // Settings::drain_grace: the time from a change until nothing more may be sent. 0: the settings state none,
  // and 500 ms are assumed.
  Time drain_grace = 0;
  // Settings::max_poll_interval, which bounds the pauses between the calls of a large group.
  Time max_poll_interval = seconds(10);
  // The number of routers that call the same server; at least 1.
  std::uint32_t routers = 1;
  // Whether calls go to an agent on this machine, to which discovery pushes the list. Such calls cost
  // discovery nothing.
  bool uses_local_agent = false;
};

// A random wait is uniform between these bounds, in microseconds.
struct WaitRange {
  Time min = 0;
  Time max = 0;
};

// All times in microseconds.
struct DiscoveryWaits {
  Time deadline = 0;  // see above; not positive if the grace leaves nothing

  WaitRange first_call = {};  // from the start of the process to the first call
  // How long a call that follows a complete answer waits for a change of the list.
  Time watch = 0;
  // From the end of `watch` to the next call, if there is no answer by then.
  WaitRange silence = {};
  // From the beginning of a call that asks for the present list to the next call, if there is no answer.
  WaitRange unanswered = {};
  WaitRange rejected = {};      // from the beginning of a call that was rejected soon to the next call
  WaitRange broken_watch = {};  // from the moment at which a watch breaks to the next call
  Time answer = 0;              // how long an answer may take so that latest_effect() holds
  // The next call after an answer without a change begins at least this long after the answer, and at least
  // `min_call_spacing` after the beginning of the answered call.
  Time pause_after_answer = 0;
  Time min_call_spacing = 0;
  // A list that is older than the one in use is applied only after nothing but older lists has come for this
  // long, because a single one may be an answer that was overtaken. Not used for a shared server.
  Time older_list_delay = 0;
  // The longest time between the beginnings of two calls during an outage: an agent is silent, and a shared
  // server rejects calls; a small group may also find a server silent.
  Time outage_repeat = 0;
  // How many calls may be lost after a watch that fell silent so that latest_effect() holds.
  int lost_calls = 0;

  // Returns the longest time from a change until the router has applied it: if the watch has fallen silent,
  // or, counted from its end, after an outage, whichever is longer.
  Time latest_effect() const;
  // Returns whether latest_effect() is within the deadline.
  bool meets_deadline() const { return latest_effect() <= deadline; }
};

// Returns the waits for these terms.
DiscoveryWaits derive_discovery_waits(const DiscoveryTerms& terms);

}  // namespace thornwick::core
