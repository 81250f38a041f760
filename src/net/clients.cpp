#include "net/clients.hpp"

#include <algorithm>
#include <cstdio>

#include "net/http.hpp"
#include "net/log.hpp"

namespace sprucecourse::net {
namespace {

constexpr Time kIdleLimit = 60'000'000;      // between the requests of a connection
constexpr Time kReadLimit = 10'000'000;      // for a request, from its first byte
constexpr Time kWriteLimit = 10'000'000;     // for a client to take what was written
constexpr Time kCloseLimit = 1'000'000;      // for the last bytes before a connection is closed
constexpr Time kNewComers = 500'000;         // after SIGTERM new connections still come this long
constexpr Time kSweepEvery = 100'000;        // idle connections are closed from then on
constexpr Time kCrowdedAbsence = 1'000'000;  // advised when there is no memory for a request
constexpr std::size_t kCongested = 256 * 1024;
constexpr std::size_t kMostAhead = 64 * 1024;          // bytes read while an answer is still going out
constexpr std::size_t kMostBodies = 64 * 1024 * 1024;  // of all requests in work

std::string seconds(Time time) {
  char text[32];
  std::snprintf(text, sizeof text, "%.3f", static_cast<double>(time) / 1e6);
  return text;
}

}  // namespace

// One connection. Its requests come one at a time.
class Clients::Line : public Mortal, public core::Reply {
 public:
  Line(Clients& owner, Owned<GSocket> socket)
      : owner_(owner),
        stream_({.connected = {},
                 .arrived = [this](std::string_view bytes) { arrived(bytes); },
                 .drained = [this] { drained(); },
                 .ended = [this] { leave(); }}) {
    stream_.adopt(std::move(socket));
    limit_.start(kIdleLimit, [this] { leave(); });
  }

  // Between two requests, with nothing of the next one in the kernel. A connection that has not had its
  // first request yet is not idle: the client opened it because it has one.
  bool idle() const {
    return state_ == State::idle && !closing_ && had_one_ && reader_.between_messages() &&
           !stream_.readable_now();
  }
  Time idle_since() const { return idle_since_; }

  // The client has gone, or is sent away: whatever it had asked for is over.
  void leave() {
    if (std::exchange(left_, true)) return;
    stream_.close();
    limit_.stop();
    next_.stop();
    owner_.held_bytes_ -= std::exchange(held_, 0);  // not at the burial, which the owner may not live to see
    if (state_ == State::busy) owner_.core_.client_gone(exchange_);
    owner_.gone(*this);
  }

  // ---------------------------------------------------------------- core::Reply
  void event(const core::StreamEvent& event) override {
    // A target of the client's own dialect is heard byte for byte.
    const bool same = event.dialect == dialect().name();
    if (!same && !writer_) writer_ = dialect().writer(request_id_);
    const std::string bytes = same ? event.raw : writer_->write(event);
    if (bytes.empty()) return;
    std::string out;
    if (!std::exchange(head_out_, true)) {
      out = write_head(status_line(200),
                       {{"Content-Type", "text/event-stream"},
                        {"Cache-Control", "no-cache"},
                        {"Transfer-Encoding", "chunked"},
                        {"Connection", keep_ && !owner_.winding_down_ ? "keep-alive" : "close"}});
    }
    if (owner_.winding_down_) keep_ = false;
    stream_.write(out += write_chunk(bytes));
    // Guards the memory against clients that read slowly: their egress target has to wait.
    if (stream_.unsent() > kCongested && !std::exchange(congested_, true)) {
      owner_.core_.client_congested(exchange_, true);
      limit_.start(kWriteLimit, [this] { leave(); });
    }
  }

  void finish() override {
    stream_.write(std::string(kLastChunk));
    answered();
  }

  void break_off() override {
    state_ = State::idle;
    close_soon();
  }

  void shed(Time come_back) override {
    answer(dialect().error(fronts::Refusal::overloaded, "refused: try again later"), come_back);
    answered();
  }

  void fail(core::Failure why, Time come_back) override {
    const bool late = why == core::Failure::timed_out;
    answer(dialect().error(late ? fronts::Refusal::timed_out : fronts::Refusal::failed,
                           late ? "no answer in time" : "the answer failed"),
           come_back);
    answered();
  }

 private:
  enum class State { idle, reading, busy };

  const fronts::Dialect& dialect() const { return *owner_.options_.dialect; }

  void arrived(std::string_view bytes) {
    reader_.feed(bytes);
    if (state_ == State::busy) {
      if (reader_.held() > kMostAhead) stream_.hold(true);
      return;
    }
    work();
  }

  void work() {
    if (working_) return;
    working_ = true;
    try {
      while (!left_ && !closing_ && state_ != State::busy && step()) {
      }
    } catch (const BadMessage& bad) {
      refuse(bad);
    }
    working_ = false;
  }

  bool step() {
    if (state_ == State::idle && !reader_.between_messages()) {
      state_ = State::reading;
      keep_ = false;  // until all of it is read: what follows a broken request cannot be trusted
      begun_ = now_us();
      limit_.start(kReadLimit, [this] { refuse(BadMessage(408, "the request did not come in time")); });
    }
    switch (reader_.next()) {
      case MessageReader::Piece::none: return false;
      case MessageReader::Piece::head:
        body_.clear();
        if (has_token(reader_.head().find("Expect"), "100-continue")) {
          stream_.write("HTTP/1.1 100 Continue\r\n\r\n");
        }
        return true;
      case MessageReader::Piece::body:
        body_ += reader_.take_body();
        if (body_.size() > kMaxBody) throw BadMessage(413, "body too large");
        return true;
      case MessageReader::Piece::end: take(); return true;
    }
    return false;
  }

  void take() {
    limit_.stop();
    const Head& head = reader_.head();
    keep_ = head.keeps_alive();
    head_out_ = congested_ = false;
    writer_.reset();
    const auto path = std::string_view(head.target).substr(0, head.target.find('?'));
    if (head.method == "GET" && path == "/health/ready") return health();
    if (path != dialect().path()) throw BadMessage(404, "no such path");
    if (head.method != "POST") throw BadMessage(405, "not a POST");
    auto call = std::make_shared<fronts::Call>();
    call->dialect = &dialect();
    call->head = head;
    call->body = std::make_shared<const std::string>(std::exchange(body_, {}));
    core::Arrival arrival{fronts::read_request(*call, owner_.names_, begun_), call};
    request_id_ = *head.find("X-Request-ID");
    if (owner_.crowded() || owner_.held_bytes_ + call->body->size() > kMostBodies) {
      ++owner_.counters_.crowded;
      keep_ = false;
      return shed(kCrowdedAbsence);
    }
    held_ = call->body->size();
    owner_.held_bytes_ += held_;
    call.reset();
    state_ = State::busy;
    // The core may answer within this call; the line is idle again then.
    const RequestId id = owner_.core_.take(std::move(arrival), *this);
    if (state_ == State::busy) exchange_ = id;
  }

  void health() {
    ++owner_.counters_.health;
    const bool ready = owner_.options_.ready() && !owner_.winding_down_;
    answer({ready ? 200 : 503, ready ? "{\"ready\":true}" : "{\"ready\":false}"}, 0);
    answered();
  }

  void refuse(const BadMessage& bad) {
    ++owner_.counters_.bad;
    logging::debug("clients") << "bad request: " << bad.what();
    auto text = owner_.options_.dialect->error(
        bad.status == 413 ? fronts::Refusal::too_large : fronts::Refusal::bad_request, bad.what());
    text.status = bad.status;
    answer(text, 0);
    answered();
  }

  void answer(const fronts::ErrorAnswer& text, Time come_back) {
    if (owner_.winding_down_) keep_ = false;
    std::vector<Header> headers = {{"Content-Type", "application/json"},
                                   {"Content-Length", std::to_string(text.body.size())},
                                   {"Connection", keep_ ? "keep-alive" : "close"}};
    if (come_back > 0) headers.push_back({"Retry-After", seconds(come_back)});
    stream_.write(write_head(status_line(text.status), headers) + text.body);
  }

  void answered() {
    state_ = State::idle;
    had_one_ = true;
    owner_.held_bytes_ -= std::exchange(held_, 0);
    writer_.reset();
    body_.clear();
    idle_since_ = now_us();
    if (!keep_) return close_soon();
    limit_.start(kIdleLimit, [this] { leave(); });
    stream_.hold(false);
    if (!reader_.between_messages()) next_.start(0, [this] { work(); });
  }

  void close_soon() {
    closing_ = true;
    if (stream_.unsent() == 0) return leave_later();
    limit_.start(kCloseLimit, [this] { leave(); });
  }

  void leave_later() {
    next_.start(0, [this] { leave(); });
  }

  void drained() {
    if (closing_) return leave_later();
    if (std::exchange(congested_, false)) {
      limit_.stop();
      if (state_ == State::busy) owner_.core_.client_congested(exchange_, false);
    }
  }

  Clients& owner_;
  Stream stream_;
  MessageReader reader_{MessageReader::Kind::request};
  Timer limit_, next_;
  State state_ = State::idle;
  std::string body_, request_id_;
  std::unique_ptr<fronts::EventWriter> writer_;
  RequestId exchange_ = 0;
  Time begun_ = 0, idle_since_ = now_us();
  std::size_t held_ = 0;
  bool keep_ = true, head_out_ = false, congested_ = false;
  bool closing_ = false, left_ = false, working_ = false, had_one_ = false;
};

Clients::Clients(Options options, const fronts::Names& names, core::Exchanges& core)
    : options_(std::move(options)), names_(names), core_(core) {
  listener_ = std::make_unique<Listener>(
      options_.address, [this] { return room(); }, [this](Owned<GSocket> s) { accepted(std::move(s)); });
}

Clients::~Clients() = default;

// A new client is worth more than an idle connection, which its client opens anew when it needs it. Beyond
// the share of the clients others are still let in as long as there are descriptors: their requests are
// refused at once. Guards against requests that nobody reads until their clients give up.
bool Clients::room() {
  if (crowded()) close_idle();
  return descriptors().held + 2 < descriptors().limit;
}

bool Clients::crowded() const { return lines_.size() > options_.most_connections; }

void Clients::close_idle() {
  Line* oldest = nullptr;
  for (auto& [line, owned] : lines_) {
    if (line->idle() && (oldest == nullptr || line->idle_since() < oldest->idle_since())) oldest = line;
  }
  if (oldest != nullptr) oldest->leave();
}

void Clients::accepted(Owned<GSocket> socket) {
  ++counters_.accepted;
  auto line = std::make_unique<Line>(*this, std::move(socket));
  Line* key = line.get();
  lines_.emplace(key, std::move(line));
}

void Clients::gone(Line& line) {
  const auto found = lines_.find(&line);
  if (found == lines_.end()) return;
  bury(std::move(found->second));
  lines_.erase(found);
  listener_->resume();
}

void Clients::wind_down() {
  winding_down_ = true;
  winding_.start(kNewComers, [this] { sweep(); });
}

void Clients::sweep() {
  std::vector<Line*> idle;
  for (auto& [line, owned] : lines_) {
    if (line->idle()) idle.push_back(line);
  }
  for (Line* line : idle) line->leave();
  winding_.start(kSweepEvery, [this] { sweep(); });
}

}  // namespace sprucecourse::net
