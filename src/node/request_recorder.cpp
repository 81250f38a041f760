#include "node/request_recorder.hpp"

#include <optional>
#include <string>
#include <string_view>

#include "logging/log.hpp"

namespace thornwick::node {
namespace {

// Returns the state under which the metrics count the request. Returns no value if the client has
// disconnected, because the metrics do not count such requests.
std::optional<metrics::RequestState> metrics_state(core::CompletionStatus status) {
  switch (status) {
    case core::CompletionStatus::served: return metrics::RequestState::answered;
    case core::CompletionStatus::rejected: return metrics::RequestState::deferred;
    case core::CompletionStatus::client_disconnected: return std::nullopt;
    default: return metrics::RequestState::errored;
  }
}

// Returns why the policy chose the last replica, as far as the request shows the reason.
std::string_view choice_reason(const core::RequestSummary& summary) {
  const CacheHint& cache_hint = summary.request.cache_hint;
  if (summary.attempts > 1) return "retry";
  return cache_hint.has_replica && cache_hint.replica == summary.last_replica ? "cached-prompt" : "load";
}

std::string_view name_of(core::CompletionStatus status) {
  switch (status) {
    case core::CompletionStatus::served: return "served";
    case core::CompletionStatus::rejected: return "rejected";
    case core::CompletionStatus::failed: return "failed";
    case core::CompletionStatus::timed_out: return "timed out";
    case core::CompletionStatus::interrupted: return "interrupted";
    case core::CompletionStatus::client_disconnected: break;
  }
  return "cancelled by the client";
}

std::string_view name_of(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::none: return "not rejected by the policy";
    case RefusalReason::overload: return "load shedding";
    case RefusalReason::no_replica: return "no replica available";
    case RefusalReason::attempt_not_allowed: return "no further attempt allowed";
    case RefusalReason::too_late: return "too late to be useful";
    case RefusalReason::deadline_exceeded: return "deadline exceeded";
    case RefusalReason::limit_exceeded: break;
  }
  return "limit reached";
}

void log_served(const core::RequestSummary& summary, const std::string& replica) {
  using logging::field;
  logging::debug("request")
          .with("request_number", summary.request.id)
          .with("attempt", summary.attempts)
          .with("request", summary.external_id)
      << "served by " << field("replica", replica)
      << ", prompt=" << field("prompt", summary.usage.prompt_tokens)
      << " cached=" << field("cached", summary.usage.cached_tokens) << " expected_cached="
      << field("expected_cached", static_cast<std::uint64_t>(summary.request.cache_hint.expected_tokens))
      << " reason=" << field("reason", choice_reason(summary));
}

}  // namespace

std::string RequestRecorder::replica_name(const core::RequestSummary& summary) const {
  if (summary.attempts == 0) return "none";
  const net::EndpointEntry* endpoint = endpoints_.find(summary.last_replica);
  return endpoint == nullptr ? "removed" : endpoint->uid;
}

// Logs a request that was not served: at most one line a second for each status at level info, and the other
// requests at level debug.
void RequestRecorder::log_without_answer(const core::RequestSummary& summary) {
  using logging::field;
  const std::string_view status = name_of(summary.status);
  const bool within_rate_limit = log_limiter_.allows(net::now_us(), status);
  if (!within_rate_limit && !logging::is_debug_enabled()) return;
  const Time took_ms = (summary.ended_at - summary.arrived_at) / milliseconds(1);
  logging::Line(within_rate_limit ? logging::Level::info : logging::Level::debug, "request")
          .with("request_number", summary.request.id)
      << "request " << field("request", summary.external_id) << " ended: " << field("ending", status) << ", "
      << field("reason", name_of(summary.refusal)) << ", attempts=" << field("attempts", summary.attempts)
      << " last_replica=" << field("replica", replica_name(summary)) << " took " << field("took_ms", took_ms)
      << " ms";
}

void RequestRecorder::record(const core::RequestSummary& summary) {
  if (const auto state = metrics_state(summary.status))
    metrics_.count_request(summary.request.priority_class, *state);
  if (summary.status != core::CompletionStatus::served) log_without_answer(summary);
  const bool debug_logged = logging::is_debug_enabled();
  if (flow_exporter_ == nullptr && !debug_logged) return;
  if (debug_logged && summary.status == core::CompletionStatus::served)
    log_served(summary, replica_name(summary));
  if (flow_exporter_ == nullptr) return;
  const net::EndpointEntry* endpoint =
      summary.attempts == 0 ? nullptr : endpoints_.find(summary.last_replica);
  flow_exporter_->add(summary, endpoint == nullptr ? std::string_view() : endpoint->uid);
}

}  // namespace thornwick::node
