// The actions that a routing policy decides, for the router to carry out.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "thornwick/types.hpp"

namespace thornwick {

enum class ActionKind {
  send,             // send the request to a replica
  reject,           // answer the client that nothing was done, so that a repeat does no harm
  fail,             // answer the client without that assurance
  cancel,           // cancel an attempt
  set_timer,        // call on_timer at a given time
  watch_endpoints,  // subscribe to the endpoint list
  fetch_endpoints,  // request the endpoint list once
  probe,            // probe a replica
  message_peer      // send a message to one or all peers
};

// The state of the limits that a request counts against (src/budgets/): that of the tightest limit, for the
// client. Or the reason for which no replica could be asked at all (src/models/).
struct Allowance {
  enum class Rejection { none, limit_exceeded, context_exceeded, no_replica };
  Rejection rejection = Rejection::none;
  double limit = 0, remaining = 0;  // tokens
  Time reset_in = 0;                // microseconds until the whole limit is available again
  std::string subject;              // name of the account that is limited, or of the model
};

// Why a policy ends a request without an answer, for the log.
enum class RefusalReason {
  none,                 // no reason given
  overload,             // load shedding
  no_replica,           // no replica, or no other one, may be asked
  attempt_not_allowed,  // limit on attempts, effect of the class, or a replica that is not ready
  too_late,             // the latency objective has passed, and an answer would be worth nothing
  deadline_exceeded,    // the deadline of the request has passed
  limit_exceeded        // a budget or the model catalogue; see the allowance
};

// One action. Fields that its kind does not name are unused.
struct Action {
  ActionKind kind = ActionKind::send;
  RequestId id = 0;
  ReplicaId replica = 0;
  std::uint8_t attempt = 0;  // cancel: the number of the attempt
  Time time = 0;  // send: time-out, 0: until the deadline; set_timer: time point; reject, fail: Retry-After
  std::uint32_t token = 0;   // set_timer: argument of on_timer; message_peer: rank of the peer
  std::string message = {};  // message_peer
  std::uint16_t model = 0;   // send: number in the catalogue of the model to serve; 0: the one requested
  std::shared_ptr<const Allowance> allowance = {};  // send, reject, fail; nullptr: no limit applies
  RefusalReason refusal = RefusalReason::none;      // reject, fail
};

}  // namespace thornwick
