// The final answer of a request. permitted_answer() is the one place that decides whether a request may be
// rejected: every final answer of the core passes it, whichever part of the router decided on the answer.
#pragma once

#include <memory>

#include "core/active_request.hpp"
#include "core/events.hpp"
#include "core/interfaces.hpp"
#include "thornwick/settings.hpp"

namespace thornwick::core {

// How a request ends, and the content of its final answer.
struct FinalAnswer {
  CompletionStatus status = CompletionStatus::served;
  Time retry_after = 0;  // rejected, failed and timed_out: microseconds; 0: none is advised
  // Rejected: the limit that the request exceeds; null if it was rejected for another reason.
  std::shared_ptr<const Allowance> rejection = {};
};

// Returns `wanted`, or the failure that takes its place: a rejection assures the client that a repeat does no
// harm, which the attempts of the request and the effect of its class have to permit
// (thornwick/repeat_rule.hpp). No attempt of the request may be in flight. `now` is a time of the core's
// clock.
[[nodiscard]] FinalAnswer permitted_answer(FinalAnswer wanted, const ActiveRequest& request,
                                           const ClassSettings& request_class, Time now);

// Returns how a request ends that fails at the time `now`: timed out from its deadline on, or else failed.
[[nodiscard]] CompletionStatus failure_at(Time now, const Request& request);

// Makes the final call of the reply; none if the client has disconnected.
void deliver(Reply& reply, const FinalAnswer& answer);

}  // namespace thornwick::core
