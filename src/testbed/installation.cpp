#include "testbed/installation.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <map>
#include <nlohmann/json.hpp>

#include "emulator/engine.hpp"
#include "emulator/fleet.hpp"
#include "emulator/random_stream.hpp"
#include "random/hashing.hpp"

namespace thornwick::testbed {
namespace {

using emulator::ReportKind;
using Json = nlohmann::ordered_json;

constexpr Time kEventInterval = milliseconds(100);  // time between two events of one answer
constexpr Time kWarmUpUpdateInterval =
    milliseconds(250);  // interval at which the speed of a replica that is warming up is updated
constexpr Time kMaxWatchTime = seconds(60);  // of a discovery call that waits for a change
constexpr const char* kAnswerWords[] = {"the",  "suite", "passed", "on",  "every", "phone",
                                        "but",  "one",   "tablet", "is",  "slow",  "to",
                                        "wake", "and",   "its",    "log", "says",  "why"};

double number_in(const std::string& text, const std::string& name, double default_value) {
  const auto at = text.find(name);
  if (at == std::string::npos) return default_value;
  double value = default_value;
  std::from_chars(text.data() + at + name.size(), text.data() + text.size(), value);
  return value;
}

std::string stream_head() {
  return http::write_head(http::status_line(200),
                          {{"Content-Type", "text/event-stream"}, {"Transfer-Encoding", "chunked"}});
}

std::string rejection_answer() {
  return http::write_head(http::status_line(503), {{"Content-Length", "0"}, {"X-Not-Processed", "1"}});
}

std::string empty_answer(int status) {
  return http::write_head(http::status_line(status), {{"Content-Length", "0"}});
}

// Returns discovery's answer: the full endpoint list, or the changes alone.
std::string list_answer(std::uint64_t revision, bool all, const std::string& targets) {
  const std::string body = "{\"rev\":" + std::to_string(revision) + ",\"all\":" + (all ? "true" : "false") +
                           ",\"targets\":[" + targets + "]}";
  return http::write_head(http::status_line(200), {{"Content-Type", "application/json"},
                                                   {"Content-Length", std::to_string(body.size())}}) +
         body;
}

}  // namespace

class StandInReplica {
 public:
  StandInReplica(Installation& owner, emulator::DrawnReplica drawn, std::string uid)
      : owner_(owner), drawn_(std::move(drawn)), uid_(std::move(uid)) {
    server_ = std::make_unique<Server>("127.0.0.1:0",
                                       [this](Server::Connection& connection) { on_request(connection); });
    address_ = server_->address();
  }

  const std::string& uid() const { return uid_; }
  const std::string& address() const { return address_; }
  const emulator::DrawnReplica& drawn() const { return drawn_; }
  bool up() const { return server_ != nullptr; }
  Time started_ms() const { return started_at_ / 1000; }
  double speed_factor = 1;  // factor that faults apply to the replica's speed
  Time draining_since = 0;  // 0: the replica is not draining

  void void_cached(double fraction) { drawn_.engine->void_cached(fraction); }

  // Ends the process: its connections break, and new ones are refused.
  void stop() {
    server_.reset();
    answers_.clear();
    drawn_.engine->clear();
    engine_timer_.stop(), event_timer_.stop(), warm_up_timer_.stop();
  }
  void start() {
    if (up()) return;
    started_at_ = net::now_us();
    const auto serve = [this](const std::string& at) {
      server_ =
          std::make_unique<Server>(at, [this](Server::Connection& connection) { on_request(connection); });
    };
    try {
      serve(address_);
    } catch (const net::NetError&) {
      serve("127.0.0.1:0");  // another process has taken the port, so the replica starts at a new address,
                             // which the endpoint list will have
    }
    address_ = server_->address();
    update_speed();
  }

  void update_speed() {
    if (!up()) return;
    const double warmth =
        started_at_ == 0
            ? 1
            : emulator::warm_up_factor(net::now_us() - started_at_, drawn_.warm_up, drawn_.initial_capacity);
    drawn_.engine->set_pace(net::now_us(), warmth * speed_factor);
    if (warmth < 1) warm_up_timer_.start(kWarmUpUpdateInterval, [this] { update_speed(); });
    schedule_engine();
  }

 private:
  struct Answer {
    std::uint64_t connection_number = 0;
    std::unique_ptr<fronts::EventWriter> writer;
    double prompt_tokens = 0, generated_tokens = 0, sent_tokens = 0, cached_tokens = 0;
    bool started = false;
  };

  void on_request(Server::Connection& connection) {
    const http::Head& head = connection.reader.head();
    if (head.method == "GET") return connection.write(empty_answer(200));
    const fronts::Dialect* dialect = nullptr;
    for (const auto* candidate : {&fronts::platform_dialect(), &fronts::messages_dialect()}) {
      if (head.target == candidate->path()) dialect = candidate;
    }
    const auto* id = head.find("X-Request-ID");
    if (dialect == nullptr || id == nullptr) {
      return connection.write(empty_answer(404));
    }
    ++owner_.metrics_.requests;
    owner_.options_.on_request(*id,
                               draining_since == 0 ? 0 : std::max<Time>(1, net::now_us() - draining_since));
    fronts::ClientRequest client_request;
    client_request.dialect = dialect;
    client_request.head = head;
    client_request.body = std::make_shared<const std::string>(std::move(connection.body));
    Request request;
    try {
      fronts::RequestNames names;
      for (const auto& d : owner_.options_.scenario.classes) names.classes.push_back(d.name);
      request = fronts::read_request(client_request, names, net::now_us());
    } catch (const http::BadMessage& bad) {
      return connection.write(empty_answer(bad.status));
    }
    const auto* answer_length = head.find("X-Lab-Made");  // length of the answer in tokens, which a load
                                                          // generator takes from its scenario or trace
    const double guess =
        std::ceil(request.max_tokens * (0.3 + 0.6 * unit_interval(mix(std::hash<std::string>{}(*id)))));
    const double generated =
        std::max(1.0, answer_length != nullptr ? number_in(*answer_length, "", guess) : guess);
    const emulator::Job job = ++last_job_;
    if (!drawn_.engine->offer(net::now_us(), {.job = job,
                                              .session = request.session,
                                              .prefix = request.prefix,
                                              .prompt = std::max(1.0, request.prompt_tokens),
                                              .prefix_tokens = request.prefix_tokens,
                                              .generated = generated,
                                              .size = request.work_hint,
                                              .due = request.deadline})) {
      ++owner_.metrics_.rejected;
      return connection.write(rejection_answer());
    }
    answers_[job] = {
        connection.number, dialect->event_writer(*id), request.prompt_tokens, generated, 0, 0, false};
    schedule_engine();
  }

  void schedule_engine() {
    const Time at = drawn_.engine->next();
    if (at == emulator::kNever) return engine_timer_.stop();
    engine_timer_.start(std::max<Time>(0, at - net::now_us()), [this] { run(); });
  }

  void run() {
    std::vector<emulator::Report> reports;
    drawn_.engine->run(net::now_us(), reports);
    for (const auto& report : reports) {
      const auto found = answers_.find(report.job);
      if (found == answers_.end()) continue;
      Answer& answer = found->second;
      Server::Connection* connection = server_->find(answer.connection_number);
      if (connection == nullptr) {  // the client has disconnected, so the answer is dropped
        ++owner_.metrics_.disconnected;
        answers_.erase(found);
        continue;
      }
      if (report.kind == ReportKind::dropped) {
        connection->write(rejection_answer());
        answers_.erase(found);
        continue;
      }
      if (report.kind == ReportKind::first_token) {
        ++owner_.metrics_.started;
        owner_.options_.on_answer_started(answer.prompt_tokens + answer.generated_tokens);
        answer.started = true;
        answer.cached_tokens = report.cached;
        connection->write(stream_head());
        send_generated(*connection, answer, 1);
        if (!event_timer_.running()) event_timer_.start(kEventInterval, [this] { send_all_generated(); });
      } else {
        ++owner_.metrics_.completed;
        finish_answer(*connection, answer);
        answers_.erase(found);
      }
    }
    schedule_engine();
  }

  // Sends the tokens that were generated since the last event.
  void send_generated(Server::Connection& connection, Answer& answer, double generated) {
    std::string text;
    for (; answer.sent_tokens < generated; ++answer.sent_tokens) {
      const auto word =
          static_cast<std::size_t>(answer.sent_tokens + answer.prompt_tokens) % std::size(kAnswerWords);
      text += std::string(answer.sent_tokens > 0 ? " " : "") + kAnswerWords[word];
    }
    if (text.empty()) return;
    core::StreamEvent event;
    event.kind = core::EventKind::delta;
    event.text = text;
    connection.write(http::write_chunk(answer.writer->write(event)));
  }

  void send_all_generated() {
    bool any = false;
    for (auto& [job, answer] : answers_) {
      if (!answer.started) continue;
      any = true;
      Server::Connection* connection = server_->find(answer.connection_number);
      // The last token is sent together with the end of the answer.
      if (connection != nullptr)
        send_generated(
            *connection, answer,
            std::min(answer.generated_tokens - 1, drawn_.engine->generated_by(net::now_us(), job)));
    }
    if (any) event_timer_.start(kEventInterval, [this] { send_all_generated(); });
  }

  void finish_answer(Server::Connection& connection, Answer& answer) {
    send_generated(connection, answer, answer.generated_tokens);
    core::StreamEvent stop, usage, end;
    stop.kind = core::EventKind::stop;
    stop.text = "stop";
    usage.kind = core::EventKind::usage;
    usage.usage = {static_cast<std::uint64_t>(answer.prompt_tokens),
                   static_cast<std::uint64_t>(answer.generated_tokens),
                   static_cast<std::uint64_t>(answer.cached_tokens)};
    end.kind = core::EventKind::end;
    for (const auto* event : {&stop, &usage, &end}) {
      const std::string frame = answer.writer->write(*event);
      if (!frame.empty()) connection.write(http::write_chunk(frame));
    }
    connection.write(std::string(http::kLastChunk));
  }

  Installation& owner_;
  emulator::DrawnReplica drawn_;
  std::string uid_, address_;
  std::unique_ptr<Server> server_;
  std::map<emulator::Job, Answer> answers_;
  emulator::Job last_job_ = 0;
  net::Timer engine_timer_, event_timer_, warm_up_timer_;
  Time started_at_ = 0;
};

Installation::Installation(const InstallationOptions& options) : options_(options) {
  emulator::RandomStream fleet(options.seed, emulator::Concern::fleet);
  emulator::RandomStream discovery_delays(options.seed, emulator::Concern::discovery);
  const auto& s = options_.scenario;
  for (std::size_t i = 0; i < s.replicas; ++i) {
    const auto hex = mix(options.seed ^ (std::uint64_t{i} << 20)) >> 32;
    char uid[16];
    std::snprintf(uid, sizeof uid, "s-%08x", static_cast<unsigned>(hex));
    replicas_.push_back(std::make_unique<StandInReplica>(*this, emulator::draw_replica(s, i, fleet), uid));
  }
  removal_delay_s_ = discovery_delays.between(s.notice_s.low, s.notice_s.high);
  discovery_delays.between(s.silent_notice_s.low, s.silent_notice_s.high);
  addition_delay_s_ = discovery_delays.between(s.add_s.low, s.add_s.high);
  discovery_ = std::make_unique<Server>(options.discovery,
                                        [this](Server::Connection& connection) { on_request(connection); });
}

Installation::~Installation() = default;

std::vector<std::pair<std::string, std::string>> Installation::replicas() const {
  std::vector<std::pair<std::string, std::string>> all;
  for (const auto& replica : replicas_) all.emplace_back(replica->uid(), replica->address());
  return all;
}

std::string Installation::endpoint_entry(const StandInReplica& replica) const {
  const auto& kind = options_.scenario.kinds[replica.drawn().kind];
  return Json{{"uid", replica.uid()},
              {"endpoint", replica.address()},
              {"az", options_.scenario.zones[replica.drawn().zone]},
              {"model", kind.name.empty() ? "model" : kind.name},
              {"pod_group", 1},
              {"state", !replica.up()                ? "DELETED"
                        : replica.draining_since > 0 ? "DRAINING"
                                                     : "SERVING"},
              {"capacity_hint", (kind.speed.low + kind.speed.high) / 2},
              {"boot_ms", replica.started_ms()}}
      .dump();
}

void Installation::answer(Server::Connection& connection) {
  std::string targets;
  for (const auto& replica : replicas_) {
    if (replica->up()) targets += (targets.empty() ? "" : ",") + endpoint_entry(*replica);
  }
  connection.write(list_answer(revision_, true, targets));
}

void Installation::on_request(Server::Connection& connection) {
  const std::string target = connection.reader.head().target;
  const auto after = static_cast<std::uint64_t>(number_in(target, "after=", -1) + 1);
  if (after == 0 || after <= revision_) return answer(connection);
  // The caller has the current revision: it is answered at the next change or when its wait time ends,
  // whichever comes first.
  std::erase_if(watchers_,
                [&](const Watcher& w) { return discovery_->find(w.connection_number) == nullptr; });
  Watcher watcher{connection.number, std::make_unique<net::Timer>()};
  const auto wait =
      std::clamp<Time>(static_cast<Time>(1000 * number_in(target, "wait_ms=", 20'000)), 0, kMaxWatchTime);
  watcher.timeout->start(wait, [this, number = connection.number] {
    if (Server::Connection* watching = discovery_->find(number))
      watching->write(list_answer(revision_, false, ""));
  });
  watchers_.push_back(std::move(watcher));
}

void Installation::drain(std::size_t replica, bool on) {
  replicas_.at(replica)->draining_since = on ? net::now_us() : 0;
  publish_change();
}

void Installation::stop_replica(std::size_t replica) {
  replicas_.at(replica)->stop();
  publish_change_in(removal_delay_s_);
}

void Installation::start_replica(std::size_t replica) {
  replicas_.at(replica)->start();
  publish_change_in(addition_delay_s_);
}

void Installation::publish_change_in(double seconds) {
  timers_.push_back(std::make_unique<net::Timer>());
  timers_.back()->start(static_cast<Time>(1e6 * seconds), [this] { publish_change(); });
}

void Installation::publish_change() {
  ++revision_;
  for (auto& watcher : std::exchange(watchers_, {})) {
    watcher.timeout->stop();
    if (Server::Connection* connection = discovery_->find(watcher.connection_number)) answer(*connection);
  }
}

std::string Installation::router_config() const {
  const auto& s = options_.scenario;
  Json classes = Json::array(), tenants = Json::array(), kinds = Json::array(),
       objective_per_k = Json::array();
  double warm_up = 0, initial_capacity = 1;
  for (const auto& d : s.classes) {
    classes.push_back({{"name", d.name},
                       {"credit", d.priority_weight},
                       {"lateValue", d.late_weight},
                       {"objective", std::llround(1000 * d.latency_objective_ms)},
                       {"deadline", std::llround(1000 * d.deadline_ms)},
                       {"streamed", true}});
    objective_per_k.push_back(std::llround(1000 * d.latency_objective_ms_per_k));
  }
  for (const auto& m : s.members) tenants.push_back({{"name", m.name}, {"share", m.share}});
  for (const auto& k : s.kinds) {
    kinds.push_back(k.name.empty() ? "model" : k.name);
    warm_up = std::max(warm_up, k.warm_up_s.high);
    initial_capacity = std::min(initial_capacity, k.initial_capacity.low);
  }
  return Json{{"name", "r-0"},
              {"listen", options_.router_listen},
              {"discovery", discovery()},
              {"seed", "1f"},
              {"settings",
               {{"grades", classes},
                {"tenants", tenants},
                {"zones", s.zones},
                {"kinds", kinds},
                {"overShareWorth", s.over_share_weight},
                {"registryMode", "ask"},
                {"extra", {{"aimUsPer1000PromptTokens", objective_per_k}}},
                {"policyLimits",
                 {{"mayCancel", true},
                  {"maxAttempts", s.attempts},
                  {"retryAfter", s.retry_after},
                  {"maxRetryAfter", std::llround(1000 * s.max_retry_after_ms)}}},
                {"rules",
                 {{"askWithin", 10'000'000},
                  {"stopSendingWithin", std::llround(1000 * s.drain_grace_ms)},
                  {"coldFrom", initial_capacity},
                  {"cold", std::llround(1e6 * warm_up)},
                  {"tipMultiple", s.overload_multiple},
                  {"fall", std::llround(1000 * s.overload_ms)}}}}}}
      .dump(1);
}

void Installation::schedule_faults() {
  emulator::RandomStream random(options_.seed, emulator::Concern::faults);
  const auto& faults = options_.scenario.faults;
  for (std::size_t i = 0; i < faults.size(); ++i) {
    // The random values are drawn in the order of the emulated day, so that both have the same faults.
    fault_sizes_.push_back(random.between(faults[i].size.low, faults[i].size.high));
    const double from = random.between(faults[i].at_s.low, faults[i].at_s.high);
    const double lasts = std::max(0.001, random.between(faults[i].seconds.low, faults[i].seconds.high));
    fault_zones_.push_back(random.below(options_.scenario.zones.size()));
    random.below(options_.scenario.replicas);
    timers_.push_back(std::make_unique<net::Timer>());
    timers_.back()->start(static_cast<Time>(1e6 * from), [this, i] { begin_fault(i); });
    timers_.push_back(std::make_unique<net::Timer>());
    timers_.back()->start(static_cast<Time>(1e6 * (from + lasts)), [this, i] { end_fault(i); });
  }
}

// Bursts are left to the load, since clients make them. A silent zone cannot be simulated on loopback, so its
// replicas stop.
void Installation::begin_fault(std::size_t index) {
  const auto kind = options_.scenario.faults[index].kind;
  for (auto& replica : replicas_) {
    if (kind == emulator::DayFaultKind::slow)
      replica->speed_factor /= fault_sizes_[index], replica->update_speed();
    if (kind == emulator::DayFaultKind::flush) replica->void_cached(fault_sizes_[index]);
    if (kind != emulator::DayFaultKind::zone_lost || replica->drawn().zone != fault_zones_[index]) continue;
    replica->stop();
    publish_change_in(removal_delay_s_);
  }
}

void Installation::end_fault(std::size_t index) {
  const auto kind = options_.scenario.faults[index].kind;
  for (auto& replica : replicas_) {
    if (kind == emulator::DayFaultKind::slow)
      replica->speed_factor *= fault_sizes_[index], replica->update_speed();
    if (kind != emulator::DayFaultKind::zone_lost || replica->drawn().zone != fault_zones_[index]) continue;
    replica->start();
    publish_change_in(addition_delay_s_);
  }
}

}  // namespace thornwick::testbed
