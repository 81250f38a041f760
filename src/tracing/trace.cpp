#include "tracing/trace.hpp"

#include <fmt/format.h>

#include "logging/log.hpp"

namespace thornwick::tracing {
namespace {

// The names of Outcome, EndpointUpdate and EndpointState in trace lines, in the order of the enumerators.
constexpr const char* kOutcomeNames[] = {"served",         "error", "full",      "timed_out",
                                         "connect_failed", "reset", "cancelled", "not_sent"};
constexpr const char* kScopeNames[] = {"delta", "full", "cached", "failed"};
constexpr const char* kStateNames[] = {"ready", "draining", "gone"};

// Writes a line for each event before it forwards the event, and a line for each action that the wrapped
// decider returns. Times in the lines are microseconds.
class TracingDecider final : public core::DeciderDecorator {
 public:
  TracingDecider(std::unique_ptr<core::Decider> inner, ReplicaUidLookup uid_of)
      : DeciderDecorator(std::move(inner)), uid_of_(std::move(uid_of)) {}

  void on_endpoints(Time now, EndpointUpdate scope, std::span<const Endpoint> entries) override {
    now_ = now;
    write_line("endpoints", " scope=", kScopeNames[static_cast<int>(scope)], " entries=", entries.size());
    for (const Endpoint& entry : entries) {
      write_line("endpoint", " replica=", uid_of_(entry.id),
                 " state=", kStateNames[static_cast<int>(entry.state)], " started=", entry.started_at,
                 " zone=", entry.zone, " kind=", entry.kind, " weight=", entry.weight);
    }
    DeciderDecorator::on_endpoints(now, scope, entries);
  }
  void on_request(Time now, const Request& request) override {
    now_ = now;
    write_line("request", " request=", request.id, " class=", static_cast<int>(request.priority_class),
               " member=", request.tenant, " prompt_tokens=", request.prompt_tokens,
               " prefix_tokens=", request.prefix_tokens, " max_tokens=", request.max_tokens,
               " work=", request.work_hint, " session=", request.session, " prefix=", request.prefix,
               " client_repeat=", request.client_repeat, " resumed=", request.resumed,
               " expected_cached_tokens=", request.cache_hint.expected_tokens,
               " time_left=", request.deadline - now);
    DeciderDecorator::on_request(now, request);
  }
  void on_first_token(Time now, RequestId id, std::uint8_t attempt, ReplicaId replica,
                      Time elapsed) override {
    now_ = now;
    write_line("first_token", " request=", id, " attempt=", static_cast<int>(attempt),
               " replica=", uid_of_(replica), " elapsed=", elapsed);
    DeciderDecorator::on_first_token(now, id, attempt, replica, elapsed);
  }
  void on_attempt_result(Time now, const AttemptResult& result) override {
    now_ = now;
    std::string report;
    for (const float value : result.report) report += fmt::format(" report={:g}", value);
    write_line("attempt_result", " request=", result.id, " attempt=", static_cast<int>(result.attempt),
               " replica=", uid_of_(result.replica),
               " outcome=", kOutcomeNames[static_cast<int>(result.outcome)], " elapsed=", result.elapsed,
               " concluded=", result.concluded, " prompt_tokens=", result.prompt_tokens,
               " cached_tokens=", result.cached_tokens, report);
    DeciderDecorator::on_attempt_result(now, result);
  }
  void on_client_disconnected(Time now, RequestId id) override {
    now_ = now;
    write_line("client_gone", " request=", id);
    DeciderDecorator::on_client_disconnected(now, id);
  }
  void on_timer(Time now, std::uint32_t token) override {
    now_ = now;
    DeciderDecorator::on_timer(now, token);
  }
  void on_probe_result(Time now, ReplicaId replica, bool alive, std::span<const float> report) override {
    now_ = now;
    write_line("probe_result", " replica=", uid_of_(replica), " alive=", alive);
    DeciderDecorator::on_probe_result(now, replica, alive, report);
  }
  void on_peer_message(Time now, std::uint32_t peer, std::span<const std::uint8_t> message) override {
    now_ = now;
    write_line("message_received", " peer=", peer, " bytes=", message.size());
    DeciderDecorator::on_peer_message(now, peer, message);
  }
  std::vector<Action> take_actions() override {
    auto actions = DeciderDecorator::take_actions();
    for (const Action& action : actions) write_action(action);
    return actions;
  }

 private:
  template <typename... Parts>
  void write_line(const char* event, const Parts&... parts) const {
    logging::Line line = logging::debug("trace");
    line << event << " at=" << now_;
    static_cast<void>((line << ... << parts));
  }

  void write_action(const Action& action) const {
    switch (action.kind) {
      case ActionKind::send:
        return write_line("send", " request=", action.id, " replica=", uid_of_(action.replica));
      case ActionKind::reject:
        return write_line("reject", " request=", action.id, " retry_after=", action.time);
      case ActionKind::fail: return write_line("fail", " request=", action.id, " retry_after=", action.time);
      case ActionKind::cancel:
        return write_line("cancel", " request=", action.id, " attempt=", static_cast<int>(action.attempt));
      case ActionKind::watch_endpoints: return write_line("watch_endpoints");
      case ActionKind::fetch_endpoints: return write_line("fetch_endpoints");
      case ActionKind::probe: return write_line("probe", " replica=", uid_of_(action.replica));
      case ActionKind::message_peer:
        return write_line("message_sent", " peer=", action.token, " bytes=", action.message.size());
      case ActionKind::set_timer: return;
    }
  }

  ReplicaUidLookup uid_of_;
  Time now_ = 0;  // time of the latest event, whose actions are taken right after it
};

}  // namespace

std::unique_ptr<core::Decider> with_tracing(std::unique_ptr<core::Decider> inner, ReplicaUidLookup uid_of) {
  if (!logging::is_debug_enabled()) return inner;
  return std::make_unique<TracingDecider>(std::move(inner), std::move(uid_of));
}

}  // namespace thornwick::tracing
