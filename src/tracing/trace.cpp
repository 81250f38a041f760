#include "tracing/trace.hpp"

#include "logging/log.hpp"

namespace sprucecourse::tracing {
namespace {

constexpr const char* kOutcomes[] = {"served",         "error", "full",      "timed_out",
                                     "connect_failed", "reset", "cancelled", "not_sent"};
constexpr const char* kScopes[] = {"delta", "full", "cached", "failed"};
constexpr const char* kStates[] = {"ready", "draining", "gone"};

class Trace final : public core::Decider {
 public:
  Trace(std::unique_ptr<core::Decider> inner, NameOf name_of)
      : inner_(std::move(inner)), name_of_(std::move(name_of)) {}

  void on_directory(Time now, DirectoryScope scope, std::span<const ReplicaListing> entries) override {
    now_ = now;
    logging::debug("trace") << "list at=" << now_ << " scope=" << kScopes[static_cast<int>(scope)] << " entries=" << entries.size();
    for (const auto& e : entries) {
      logging::debug("trace") << "entry at=" << now_ << " box=" << name_of_(e.id) << " state=" << kStates[static_cast<int>(e.state)]
                    << " started=" << e.started << " zone=" << e.zone << " kind=" << e.kind << " weight=" << e.weight;
    }
    inner_->on_directory(now, scope, entries);
  }
  void on_request(Time now, const Request& r) override {
    now_ = now;
    logging::debug("trace") << "arrive at=" << now_ << " x=" << r.id << " class=" << int(r.cls) << " member=" << r.tenant << " prompt="
                   << r.prompt_tokens << " prefix_tokens=" << r.prefix_tokens << " max=" << r.max_tokens << " work="
                   << r.work_hint << " session=" << r.session << " prefix=" << r.prefix << " repeat="
                   << r.client_repeat << " resumed=" << r.resumed << " believed=" << r.belief.tokens << " wait="
                   << r.due - now;
    inner_->on_request(now, r);
  }
  void on_first_token(Time now, RequestId id, std::uint8_t attempt, ReplicaId box, Time elapsed) override {
    now_ = now;
    logging::debug("trace") << "first at=" << now_ << " x=" << id << " hop=" << int(attempt) << " box=" << name_of_(box) << " took=" << elapsed;
    inner_->on_first_token(now, id, attempt, box, elapsed);
  }
  void on_attempt_result(Time now, const AttemptResult& r) override {
    now_ = now;
    logging::Line said = logging::debug("trace");
    said << "result at=" << now_ << " x=" << r.id << " hop=" << int(r.attempt) << " box=" << name_of_(r.replica) << " outcome="
         << kOutcomes[static_cast<int>(r.outcome)] << " took=" << r.elapsed << " concluded=" << r.concluded
         << " prompt=" << r.prompt_tokens << " kept=" << r.kept_tokens;
    for (const float value : r.report) said << " report=" << value;
    inner_->on_attempt_result(now, r);
  }
  void on_client_gone(Time now, RequestId id) override {
    now_ = now;
    logging::debug("trace") << "gone at=" << now_ << " x=" << id;
    inner_->on_client_gone(now, id);
  }
  void on_timer(Time now, std::uint32_t token) override {
    now_ = now;
    inner_->on_timer(now, token);
  }
  void on_probe_result(Time now, ReplicaId box, bool alive, std::span<const float> report) override {
    now_ = now;
    logging::debug("trace") << "probed at=" << now_ << " box=" << name_of_(box) << " alive=" << alive;
    inner_->on_probe_result(now, box, alive, report);
  }
  void on_peer_message(Time now, std::uint32_t peer, std::span<const std::uint8_t> message) override {
    now_ = now;
    logging::debug("trace") << "heard at=" << now_ << " peer=" << peer << " bytes=" << message.size();
    inner_->on_peer_message(now, peer, message);
  }
  void on_shared_send(ReplicaId box) override { inner_->on_shared_send(box); }

  std::vector<Action> take_actions() override {
    auto actions = inner_->take_actions();
    for (const Action& a : actions) tell(a);
    return actions;
  }

 private:
  void tell(const Action& a) const {
    switch (a.kind) {
      case ActionKind::send: logging::debug("trace") << "send at=" << now_ << " x=" << a.id << " box=" << name_of_(a.replica); return;
      case ActionKind::refuse: logging::debug("trace") << "refuse at=" << now_ << " x=" << a.id << " back=" << a.time; return;
      case ActionKind::fail: logging::debug("trace") << "fail at=" << now_ << " x=" << a.id << " back=" << a.time; return;
      case ActionKind::cancel: logging::debug("trace") << "cancel at=" << now_ << " x=" << a.id << " hop=" << int(a.attempt); return;
      case ActionKind::watch_directory: logging::debug("trace") << "watch at=" << now_; return;
      case ActionKind::fetch_directory: logging::debug("trace") << "fetch at=" << now_; return;
      case ActionKind::probe: logging::debug("trace") << "probe at=" << now_ << " box=" << name_of_(a.replica); return;
      case ActionKind::tell_peer: logging::debug("trace") << "tell at=" << now_ << " peer=" << a.token << " bytes=" << a.message.size(); return;
      case ActionKind::set_timer: return;
    }
  }

  std::unique_ptr<core::Decider> inner_;
  NameOf name_of_;
  Time now_ = 0;  // of the last event: actions follow it at once
};

}  // namespace

std::unique_ptr<core::Decider> traced(std::unique_ptr<core::Decider> inner, NameOf name_of) {
  if (logging::threshold() > logging::Level::debug) return inner;
  return std::make_unique<Trace>(std::move(inner), std::move(name_of));
}

}  // namespace sprucecourse::tracing
