// What a router's policy wants done.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "thornwick/types.hpp"

namespace thornwick {

enum class ActionKind {
  send,    // the request to a replica
  reject,  // answer the client that nothing was done and a repeat does no harm
  fail,    // answer the client without that assurance
  cancel,  // an attempt
  set_timer,
  watch_endpoints,  // subscribe to the endpoint list
  fetch_endpoints,
  probe,
  message_peer
};

// What is left of the limits that a request counts against (src/budgets/): the tightest of them, for its
// client. Or why no replica could be asked at all (src/models/).
struct Allowance {
  enum class Rejection { none, limit_exceeded, context_exceeded, no_replica };
  Rejection rejection = Rejection::none;
  double limit = 0, remaining = 0;  // tokens
  Time reset_in = 0;                // microseconds until all of it is there again
  std::string subject;              // whose limit it is, in a few words
};

// Why a policy ends a request without an answer, for the log.
enum class RefusalReason {
  none,                 // not given
  overload,             // load shedding
  no_replica,           // nobody may be asked, or nobody else
  attempt_not_allowed,  // a repeat is not allowed: attempts, effect of the class, or the replica drains
  too_late,             // an answer would be worth nothing any more
  deadline_exceeded,    // its deadline is over
  limit_exceeded        // a budget or the model catalogue; see the allowance
};

// One action. Fields that its kind does not name are unused.
struct Action {
  ActionKind kind = ActionKind::send;
  RequestId id = 0;
  ReplicaId replica = 0;
  std::uint8_t attempt = 0;  // cancel: which attempt
  Time time = 0;             // send: time-out (0: until due); set_timer: when; reject, fail: advised absence
  std::uint32_t token = 0;   // set_timer: handed back by on_timer; message_peer: the peer's rank
  std::string message = {};  // message_peer
  std::uint16_t model = 0;  // send: what the replica is to serve, by its number in the catalogue; 0: as asked
  std::shared_ptr<const Allowance> allowance = {};  // send, reject, fail; none: no limit applies
  RefusalReason refusal = RefusalReason::none;      // reject, fail
};

}  // namespace thornwick
