#include "node/counters_report.hpp"

#include <array>
#include <string_view>
#include <utility>

#include "net/memory_account.hpp"

namespace thornwick::node {
namespace {

struct FallbackName {
  models::FallbackReason reason;
  std::string_view name;
};

constexpr std::array<std::pair<net::MemoryUse, std::string_view>, net::kMemoryUses> kMemoryUseNames = {
    {{net::MemoryUse::connections, "connections"},
     {net::MemoryUse::heads, "heads"},
     {net::MemoryUse::bodies, "bodies"},
     {net::MemoryUse::answers, "answers"},
     {net::MemoryUse::names, "names"}}};

}  // namespace

void print_request_counters(const core::RequestManager& core, std::ostream& out) {
  // The names are in the order of AttemptOutcome.
  static constexpr std::string_view outcome_names[] = {"served",         "error", "full",      "timed_out",
                                                       "connect_failed", "reset", "cancelled", "not_sent"};
  const auto& counters = core.counters();
  out << "taken=" << counters.admitted << " open=" << core.open_requests()
      << " attempts=" << counters.attempts << " served=" << counters.served << " shed=" << counters.rejected
      << " failed=" << counters.failed << " timed_out=" << counters.timed_out
      << " broken=" << counters.interrupted << " gone=" << counters.client_disconnected
      << " failed_not_rejected=" << counters.rejections_not_permitted;
  for (const auto& [outcome, count] : counters.outcomes)
    out << " attempt_" << outcome_names[static_cast<int>(outcome)] << "=" << count;
}

void print_downstream_counters(const DownstreamFronts& fronts, std::ostream& out) {
  for (const auto& front : fronts.servers()) {
    const auto& counters = front->counters();
    out << " accepted=" << counters.accepted << " bad=" << counters.invalid_requests
        << " health=" << counters.health_checks << " crowded=" << counters.overload_rejections
        << " mute=" << counters.timed_out << " evicted=" << counters.evicted
        << " clients=" << front->connection_count();
  }
}

void print_upstream_counters(const net::UpstreamPool& upstream, std::ostream& out) {
  const auto& counters = upstream.counters();
  out << " opened=" << counters.opened << " reused=" << counters.reused
      << " lines=" << upstream.connection_count() << " silent=" << counters.stalled_streams
      << " no_descriptor=" << counters.no_descriptor << " drained_meanwhile=" << counters.replica_draining
      << " probes=" << counters.probes << " spoilt=" << counters.malformed_answers
      << " unclean=" << counters.unexpected_bytes;
}

void print_memory_counters(std::ostream& out) {
  const net::MemoryAccount& account = net::memory_account();
  out << " memory_limit=" << account.limit() << " memory_peak=" << account.peak();
  for (const auto& [use, name] : kMemoryUseNames) out << " memory_" << name << "=" << account.held(use);
}

void print_discovery_counters(const net::EndpointTable& endpoints, std::ostream& out) {
  const auto& counters = endpoints.counters();
  out << " list_calls=" << counters.calls << " list_failures=" << counters.failures
      << " list_entries=" << counters.entries_applied << " list_bad=" << counters.invalid_entries
      << " list_old=" << counters.stale_lists;
}

void print_model_counters(const models::Pools& pools, std::ostream& out) {
  static constexpr FallbackName reasons[] = {{models::FallbackReason::no_ready_replica, "missing"},
                                             {models::FallbackReason::overloaded, "overloaded"},
                                             {models::FallbackReason::over_budget, "over_budget"},
                                             {models::FallbackReason::too_long, "too_long"}};
  const auto& metrics = pools.metrics();
  for (const auto& [reason, name] : reasons) {
    const auto found = metrics.fallbacks.find(reason);
    out << " fallback_" << name << "=" << (found == metrics.fallbacks.end() ? 0 : found->second);
  }
  out << " fallback_forbidden=" << metrics.declined_by_client
      << " fallback_no_budget=" << metrics.fallback_budget_exhausted
      << " fallback_not_borne=" << metrics.pool_refused << " fallback_no_time=" << metrics.too_little_time
      << " fallback_no_attempts=" << metrics.no_attempts_left
      << " fallback_may_have_run=" << metrics.may_have_run << " adapter_moves=" << metrics.placement_changes;
}

}  // namespace thornwick::node
