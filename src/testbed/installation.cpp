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

constexpr Time kFrameEvery = milliseconds(100);  // microseconds between two events of one answer
constexpr Time kWarmStep = milliseconds(250);    // a cold replica's pace is set anew so often
constexpr Time kMostWait = seconds(60);          // of a watch
constexpr const char* kWords[] = {"the", "suite", "passed", "on",   "every", "phone", "but", "one",  "tablet",
                                  "is",  "slow",  "to",     "wake", "and",   "its",   "log", "says", "why"};

double number_in(const std::string& text, const std::string& name, double otherwise) {
  const auto at = text.find(name);
  if (at == std::string::npos) return otherwise;
  double value = otherwise;
  std::from_chars(text.data() + at + name.size(), text.data() + text.size(), value);
  return value;
}

std::string stream_head() {
  return http::write_head(http::status_line(200),
                          {{"Content-Type", "text/event-stream"}, {"Transfer-Encoding", "chunked"}});
}

std::string turned_away() {
  return http::write_head(http::status_line(503), {{"Content-Length", "0"}, {"X-Not-Processed", "1"}});
}

std::string empty_answer(int status) {
  return http::write_head(http::status_line(status), {{"Content-Length", "0"}});
}

// Discovery's answer: the whole list, or what changed.
std::string list_answer(std::uint64_t revision, bool all, const std::string& targets) {
  const std::string body = "{\"rev\":" + std::to_string(revision) + ",\"all\":" + (all ? "true" : "false") +
                           ",\"targets\":[" + targets + "]}";
  return http::write_head(http::status_line(200), {{"Content-Type", "application/json"},
                                                   {"Content-Length", std::to_string(body.size())}}) +
         body;
}

}  // namespace

// ---------------------------------------------------------------- a replica

class StandInReplica {
 public:
  StandInReplica(Installation& owner, emulator::DrawnReplica drawn, std::string uid)
      : owner_(owner), drawn_(std::move(drawn)), uid_(std::move(uid)) {
    server_ = std::make_unique<Server>("127.0.0.1:0", [this](Server::Connection& line) { asked(line); });
    address_ = server_->address();
  }

  const std::string& uid() const { return uid_; }
  const std::string& address() const { return address_; }
  const emulator::DrawnReplica& drawn() const { return drawn_; }
  bool up() const { return server_ != nullptr; }
  Time started_ms() const { return started_ / 1000; }
  double pace = 1;        // what faults leave of it
  Time drains_since = 0;  // 0: it does not

  void void_cached(double part) { drawn_.engine->void_cached(part); }

  // The process dies: connections break, new ones are rejected.
  void stop() {
    server_.reset();
    answers_.clear();
    drawn_.engine->clear();
    next_.stop(), frames_.stop(), warming_.stop();
  }
  void start() {
    if (up()) return;
    started_ = net::now_us();
    const auto serve = [this](const std::string& at) {
      server_ = std::make_unique<Server>(at, [this](Server::Connection& line) { asked(line); });
    };
    try {
      serve(address_);
    } catch (const net::NetError&) {
      serve("127.0.0.1:0");  // somebody else got its port meanwhile: it comes back at another, as the list
                             // will say
    }
    address_ = server_->address();
    set_pace();
  }

  void set_pace() {
    if (!up()) return;
    const double warmth = started_ == 0 ? 1
                                        : emulator::warm_up_factor(net::now_us() - started_, drawn_.warm_up,
                                                                   drawn_.initial_capacity);
    drawn_.engine->set_pace(net::now_us(), warmth * pace);
    if (warmth < 1) warming_.start(kWarmStep, [this] { set_pace(); });
    plan();
  }

 private:
  struct Answer {
    std::uint64_t line = 0;
    std::unique_ptr<fronts::EventWriter> writer;
    double prompt = 0, generated = 0, told = 0, kept = 0;
    bool begun = false;
  };

  void asked(Server::Connection& line) {
    const http::Head& head = line.reader.head();
    if (head.method == "GET") return line.write(empty_answer(200));
    const fronts::Dialect* dialect = nullptr;
    for (const auto* known : {&fronts::platform_dialect(), &fronts::messages_dialect()}) {
      if (head.target == known->path()) dialect = known;
    }
    const auto* id = head.find("X-Request-ID");
    if (dialect == nullptr || id == nullptr) {
      return line.write(empty_answer(404));
    }
    ++owner_.metrics_.requests;
    owner_.options_.on_request(*id, drains_since == 0 ? 0 : std::max<Time>(1, net::now_us() - drains_since));
    fronts::ClientRequest call;
    call.dialect = dialect;
    call.head = head;
    call.body = std::make_shared<const std::string>(std::move(line.body));
    Request request;
    try {
      fronts::RequestNames names;
      for (const auto& d : owner_.options_.scenario.classes) names.classes.push_back(d.name);
      request = fronts::read_request(call, names, net::now_us());
    } catch (const http::BadMessage& bad) {
      return line.write(empty_answer(bad.status));
    }
    const auto* told = head.find("X-Lab-Made");  // how long the answer is: a load generator knows its day
    const double guess =
        std::ceil(request.max_tokens * (0.3 + 0.6 * unit_interval(mix(std::hash<std::string>{}(*id)))));
    const double generated = std::max(1.0, told != nullptr ? number_in(*told, "", guess) : guess);
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
      return line.write(turned_away());
    }
    answers_[job] = {line.number, dialect->event_writer(*id), request.prompt_tokens, generated, 0, 0, false};
    plan();
  }

  void plan() {
    const Time at = drawn_.engine->next();
    if (at == emulator::kNever) return next_.stop();
    next_.start(std::max<Time>(0, at - net::now_us()), [this] { run(); });
  }

  void run() {
    std::vector<emulator::Report> reports;
    drawn_.engine->run(net::now_us(), reports);
    for (const auto& report : reports) {
      const auto found = answers_.find(report.job);
      if (found == answers_.end()) continue;
      Answer& answer = found->second;
      Server::Connection* line = server_->find(answer.line);
      if (line == nullptr) {  // nobody waits any more; what was begun is ended for nobody
        ++owner_.metrics_.disconnected;
        answers_.erase(found);
        continue;
      }
      if (report.kind == ReportKind::dropped) {
        line->write(turned_away());
        answers_.erase(found);
        continue;
      }
      if (report.kind == ReportKind::first_token) {
        ++owner_.metrics_.started;
        owner_.options_.on_answer_started(answer.prompt + answer.generated);
        answer.begun = true;
        answer.kept = report.cached;
        line->write(stream_head());
        tell(*line, answer, 1);
        if (!frames_.running()) frames_.start(kFrameEvery, [this] { tell_all(); });
      } else {
        ++owner_.metrics_.completed;
        finish(*line, answer);
        answers_.erase(found);
      }
    }
    plan();
  }

  // What was made since the last event.
  void tell(Server::Connection& line, Answer& answer, double generated) {
    std::string text;
    for (; answer.told < generated; ++answer.told) {
      const auto word = static_cast<std::size_t>(answer.told + answer.prompt) % std::size(kWords);
      text += std::string(answer.told > 0 ? " " : "") + kWords[word];
    }
    if (text.empty()) return;
    core::StreamEvent event;
    event.kind = core::EventKind::delta;
    event.text = text;
    line.write(http::write_chunk(answer.writer->write(event)));
  }

  void tell_all() {
    bool any = false;
    for (auto& [job, answer] : answers_) {
      if (!answer.begun) continue;
      any = true;
      Server::Connection* line = server_->find(answer.line);
      // The last one goes with the end.
      if (line != nullptr)
        tell(*line, answer, std::min(answer.generated - 1, drawn_.engine->generated_by(net::now_us(), job)));
    }
    if (any) frames_.start(kFrameEvery, [this] { tell_all(); });
  }

  void finish(Server::Connection& line, Answer& answer) {
    tell(line, answer, answer.generated);
    core::StreamEvent stop, usage, end;
    stop.kind = core::EventKind::stop;
    stop.text = "stop";
    usage.kind = core::EventKind::usage;
    usage.usage = {static_cast<std::uint64_t>(answer.prompt), static_cast<std::uint64_t>(answer.generated),
                   static_cast<std::uint64_t>(answer.kept)};
    end.kind = core::EventKind::end;
    for (const auto* event : {&stop, &usage, &end}) {
      const std::string frame = answer.writer->write(*event);
      if (!frame.empty()) line.write(http::write_chunk(frame));
    }
    line.write(std::string(http::kLastChunk));
  }

  Installation& owner_;
  emulator::DrawnReplica drawn_;
  std::string uid_, address_;
  std::unique_ptr<Server> server_;
  std::map<emulator::Job, Answer> answers_;
  emulator::Job last_job_ = 0;
  net::Timer next_, frames_, warming_;
  Time started_ = 0;
};

// ---------------------------------------------------------------- discovery

Installation::Installation(const InstallationOptions& options) : options_(options) {
  emulator::RandomStream fleet(options.seed, emulator::Concern::fleet);
  emulator::RandomStream directory(options.seed, emulator::Concern::discovery);
  const auto& s = options_.scenario;
  for (std::size_t i = 0; i < s.replicas; ++i) {
    const auto hex = mix(options.seed ^ (std::uint64_t{i} << 20)) >> 32;
    char uid[16];
    std::snprintf(uid, sizeof uid, "s-%08x", static_cast<unsigned>(hex));
    replicas_.push_back(std::make_unique<StandInReplica>(*this, emulator::draw_replica(s, i, fleet), uid));
  }
  notice_s_ = directory.between(s.notice_s.low, s.notice_s.high);
  directory.between(s.silent_notice_s.low, s.silent_notice_s.high);
  add_s_ = directory.between(s.add_s.low, s.add_s.high);
  discovery_ = std::make_unique<Server>(options.discovery, [this](Server::Connection& line) { asked(line); });
}

Installation::~Installation() = default;

std::vector<std::pair<std::string, std::string>> Installation::replicas() const {
  std::vector<std::pair<std::string, std::string>> all;
  for (const auto& replica : replicas_) all.emplace_back(replica->uid(), replica->address());
  return all;
}

std::string Installation::entry(const StandInReplica& replica) const {
  const auto& kind = options_.scenario.kinds[replica.drawn().kind];
  return Json{{"uid", replica.uid()},
              {"endpoint", replica.address()},
              {"az", options_.scenario.zones[replica.drawn().zone]},
              {"model", kind.name.empty() ? "model" : kind.name},
              {"pod_group", 1},
              {"state", !replica.up()              ? "DELETED"
                        : replica.drains_since > 0 ? "DRAINING"
                                                   : "SERVING"},
              {"capacity_hint", (kind.speed.low + kind.speed.high) / 2},
              {"boot_ms", replica.started_ms()}}
      .dump();
}

void Installation::answer(Server::Connection& line) {
  std::string targets;
  for (const auto& replica : replicas_) {
    if (replica->up()) targets += (targets.empty() ? "" : ",") + entry(*replica);
  }
  line.write(list_answer(revision_, true, targets));
}

void Installation::asked(Server::Connection& line) {
  const std::string target = line.reader.head().target;
  const auto after = static_cast<std::uint64_t>(number_in(target, "after=", -1) + 1);
  if (after == 0 || after <= revision_) return answer(line);
  // A watch from the present on: whatever comes first, a change or the end of its time.
  std::erase_if(watchers_, [&](const Watcher& w) { return discovery_->find(w.line) == nullptr; });
  Watcher watcher{line.number, std::make_unique<net::Timer>()};
  const auto wait =
      std::clamp<Time>(static_cast<Time>(1000 * number_in(target, "wait_ms=", 20'000)), 0, kMostWait);
  watcher.patience->start(wait, [this, number = line.number] {
    if (Server::Connection* still = discovery_->find(number)) still->write(list_answer(revision_, false, ""));
  });
  watchers_.push_back(std::move(watcher));
}

void Installation::drain(std::size_t replica, bool on) {
  replicas_.at(replica)->drains_since = on ? net::now_us() : 0;
  changed();
}

void Installation::stop_replica(std::size_t replica) {
  replicas_.at(replica)->stop();
  changed_in(notice_s_);
}

void Installation::start_replica(std::size_t replica) {
  replicas_.at(replica)->start();
  changed_in(add_s_);
}

void Installation::changed_in(double seconds) {
  timers_.push_back(std::make_unique<net::Timer>());
  timers_.back()->start(static_cast<Time>(1e6 * seconds), [this] { changed(); });
}

void Installation::changed() {
  ++revision_;
  for (auto& watcher : std::exchange(watchers_, {})) {
    watcher.patience->stop();
    if (Server::Connection* line = discovery_->find(watcher.line)) answer(*line);
  }
}

std::string Installation::router_config() const {
  const auto& s = options_.scenario;
  Json grades = Json::array(), tenants = Json::array(), kinds = Json::array(), per_k = Json::array();
  double warm_up = 0, initial_capacity = 1;
  for (const auto& d : s.classes) {
    grades.push_back({{"name", d.name},
                      {"credit", d.priority_weight},
                      {"lateValue", d.late_weight},
                      {"objective", std::llround(1000 * d.latency_objective_ms)},
                      {"deadline", std::llround(1000 * d.deadline_ms)},
                      {"streamed", true}});
    per_k.push_back(std::llround(1000 * d.latency_objective_ms_per_k));
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
               {{"grades", grades},
                {"tenants", tenants},
                {"zones", s.zones},
                {"kinds", kinds},
                {"overShareWorth", s.over_share_weight},
                {"registryMode", "ask"},
                {"extra", {{"aimUsPer1000PromptTokens", per_k}}},
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

// ---------------------------------------------------------------- faults

void Installation::schedule_faults() {
  emulator::RandomStream chance(options_.seed, emulator::Concern::faults);
  const auto& all = options_.scenario.faults;
  for (std::size_t i = 0; i < all.size(); ++i) {
    // In the order in which the emulated day draws them, so that both have the same.
    sizes_.push_back(chance.between(all[i].size.low, all[i].size.high));
    const double from = chance.between(all[i].at_s.low, all[i].at_s.high);
    const double lasts = std::max(0.001, chance.between(all[i].seconds.low, all[i].seconds.high));
    halls_.push_back(chance.below(options_.scenario.zones.size()));
    chance.below(options_.scenario.replicas);
    timers_.push_back(std::make_unique<net::Timer>());
    timers_.back()->start(static_cast<Time>(1e6 * from), [this, i] { begin_trouble(i); });
    timers_.push_back(std::make_unique<net::Timer>());
    timers_.back()->start(static_cast<Time>(1e6 * (from + lasts)), [this, i] { end_trouble(i); });
  }
}

// What clients do (bursts) is the load's; silence cannot be had on loopback, so a silent zone dies.
void Installation::begin_trouble(std::size_t index) {
  const auto kind = options_.scenario.faults[index].kind;
  for (auto& replica : replicas_) {
    if (kind == emulator::DayFaultKind::slow) replica->pace /= sizes_[index], replica->set_pace();
    if (kind == emulator::DayFaultKind::flush) replica->void_cached(sizes_[index]);
    if (kind != emulator::DayFaultKind::zone_lost || replica->drawn().zone != halls_[index]) continue;
    replica->stop();
    changed_in(notice_s_);
  }
}

void Installation::end_trouble(std::size_t index) {
  const auto kind = options_.scenario.faults[index].kind;
  for (auto& replica : replicas_) {
    if (kind == emulator::DayFaultKind::slow) replica->pace *= sizes_[index], replica->set_pace();
    if (kind != emulator::DayFaultKind::zone_lost || replica->drawn().zone != halls_[index]) continue;
    replica->start();
    changed_in(add_s_);
  }
}

}  // namespace thornwick::testbed
