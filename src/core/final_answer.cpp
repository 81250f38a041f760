#include "core/final_answer.hpp"

namespace thornwick::core {

FinalAnswer permitted_answer(FinalAnswer wanted, const ActiveRequest& request,
                             const ClassSettings& request_class, Time now) {
  if (wanted.status != CompletionStatus::rejected || request.attempts.may_reject(request_class))
    return wanted;
  return {.status = failure_at(now, request.incoming_request.request), .retry_after = wanted.retry_after};
}

CompletionStatus failure_at(Time now, const Request& request) {
  return now >= request.deadline ? CompletionStatus::timed_out : CompletionStatus::failed;
}

void deliver(Reply& reply, const FinalAnswer& answer) {
  switch (answer.status) {
    case CompletionStatus::served: return reply.finish();
    case CompletionStatus::interrupted: return reply.abort_answer();
    case CompletionStatus::failed: return reply.fail(FailureReason::upstream, answer.retry_after);
    case CompletionStatus::timed_out: return reply.fail(FailureReason::timed_out, answer.retry_after);
    case CompletionStatus::rejected:
      if (answer.rejection != nullptr) return reply.reject_over_limit(*answer.rejection, answer.retry_after);
      return reply.reject(answer.retry_after);
    case CompletionStatus::client_disconnected: return;
  }
}

}  // namespace thornwick::core
