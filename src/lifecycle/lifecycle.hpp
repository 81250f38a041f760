// The phases of the router's process from its start to its exit, and what each phase allows: what readiness
// reports, and whether connections and requests are accepted, kept open and closed.
//
// No I/O and no clock: the caller passes in times of a monotonic clock. docs/lifecycle.md describes the
// phases for operators.
#pragma once

#include <optional>

#include "thornwick/time.hpp"

namespace thornwick::lifecycle {

// In ascending order of precedence: of several phases that hold at once, such as drained and shutting down
// after a SIGTERM during a drain, the last one is the phase of the process.
enum class Phase {
  starting,       // no endpoint list is known yet
  serving,        // normal operation
  drained,        // an operator keeps traffic away from this router
  shutting_down,  // the process finishes its requests in flight, then exits
  handed_over     // a successor process serves at the same address
};

// The lifecycle of one router process. Events change its phase; queries return what the current phase allows.
class Lifecycle {
 public:
  explicit Lifecycle(Time started_at) : started_at_(started_at) {}

  // Events. Each event is allowed in any phase. Repeating one has no effect: the time of the first one
  // counts.

  // An endpoint list is known.
  void set_endpoints_known() { endpoints_known_ = true; }
  // An operator begins a drain. Returns false, without effect, if the process is shutting down or has handed
  // over.
  bool begin_drain(Time now);
  // An operator ends the drain. Returns false, without effect, if the process is shutting down or has handed
  // over.
  bool end_drain();
  // A graceful shutdown begins, for instance after SIGTERM.
  void terminate(Time now);
  // This process starts beside a predecessor, which accepts connections until end_succession().
  void begin_succession() { predecessor_accepts_ = true; }
  // The predecessor accepts no more connections, has exited, or does not answer.
  void end_succession() { predecessor_accepts_ = false; }
  // A successor process has taken over the listening sockets.
  void hand_over(Time now);
  // The successor process has died: the phase is again what it would be without the handover.
  void cancel_handover();

  // Queries.

  Phase phase() const;
  // Returns whether a drain is in effect, even if a later phase takes precedence over it.
  bool drained() const { return drained_at_.has_value(); }

  // Returns whether a load balancer may send clients to this router.
  bool ready(Time now) const;
  // Returns whether this process can serve requests, regardless of a drain.
  bool can_serve(Time now) const;
  // Returns whether this process accepts new connections.
  bool accepts_connections() const { return !handed_over_at_.has_value() && !predecessor_accepts_; }
  // Returns whether a connection stays open after an answer.
  bool keeps_connections() const { return phase() <= Phase::serving; }
  // Returns whether a request that arrives now is admitted. Otherwise it is rejected at once.
  bool admits_requests(Time now) const;
  // Returns whether connections that are between two requests have to be closed.
  bool closes_idle_connections(Time now) const;
  // Returns whether connections that have not carried any request yet have to be closed.
  bool closes_unused_connections(Time now) const;

 private:
  Time started_at_;
  bool endpoints_known_ = false;
  bool predecessor_accepts_ = false;
  // When each of these began; empty while it does not hold.
  std::optional<Time> drained_at_;
  std::optional<Time> terminated_at_;
  std::optional<Time> handed_over_at_;
};

// Returns the phase's name in log lines and in the answers of the admin endpoint.
const char* name_of(Phase phase);

}  // namespace thornwick::lifecycle
