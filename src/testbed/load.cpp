#include "testbed/load.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>

#include "random/hashing.hpp"

namespace thornwick::testbed {
namespace {

constexpr Time kAnswerMargin =
    milliseconds(300);  // time after a try's limit by which its final answer must have arrived
constexpr Time kStreamTimeout = seconds(10);  // a stream without an event for this time is abandoned
constexpr Time kLateStart = milliseconds(10);
constexpr std::size_t kTailBytes = 600;  // end of an answer, which is searched for the usage

double number_after(const std::string& text, const std::string& name) {
  const auto at = text.rfind(name);
  double value = 0;
  if (at != std::string::npos)
    std::from_chars(text.data() + at + name.size(), text.data() + text.size(), value);
  return value;
}

}  // namespace

struct Load::PendingRequest {
  emulator::PlannedRequest planned;  // its times count from the start of the load
  int tries = 0;
  bool had_partial_answer = false;
  Time first_token_at = 0;
  net::Timer retry_timer;
};

struct Load::Connection {
  std::unique_ptr<net::Stream> stream;
  std::optional<http::MessageReader> reader;
  PendingRequest* request = nullptr;  // null: idle
  std::string tail;
  net::Timer timeout;
};

Load::Load(LoadOptions options)
    : options_(std::move(options)),
      dialect_(fronts::find_dialect(options_.dialect)),
      random_(options_.seed, emulator::Concern::clients) {
  if (dialect_ == nullptr) throw std::invalid_argument("load: unknown dialect: " + options_.dialect);
  if (options_.routers.empty()) throw std::invalid_argument("load: at least one router address is needed");
  for (const auto& address : options_.routers) {
    if (!net::parse_address(address))
      throw std::invalid_argument("load: not an address of a router: " + address);
  }
  const auto& scenario = options_.scenario;
  result_ = emulator::empty_result(scenario, options_.seed);
  result_.policy = "sockets";
  result_.routers = options_.routers.size();
  backoff_us_ = 1000 * random_.between(scenario.backoff_ms.low, scenario.backoff_ms.high);
}

Load::~Load() = default;

void Load::start(std::function<void()> done) {
  done_ = std::move(done);
  started_at_ = net::now_us();
  send_due_requests();
}

void Load::send_due_requests() {
  const Time now = net::now_us() - started_at_;
  for (; next_request_ < options_.requests.size() && options_.requests[next_request_].at <= now;
       ++next_request_) {
    PendingRequest& request = *pending_requests_.emplace_back(std::make_unique<PendingRequest>());
    request.planned = options_.requests[next_request_];
    if (now - request.planned.at >= kLateStart) ++metrics_.late_starts;
    ++result_.turns;
    ++result_.classes[request.planned.cls].turns;
    result_.work_asked += request.planned.work;
    send_try(request);
  }
  if (next_request_ < options_.requests.size())
    return next_request_timer_.start(options_.requests[next_request_].at - now,
                                     [this] { send_due_requests(); });
  if (pending_requests_.empty()) finish();
}

void Load::finish() {
  if (std::exchange(finished_, true)) return;
  emulator::set_score(result_);
  done_();
}

std::string Load::request_bytes(const PendingRequest& request, Time limit) const {
  const auto& planned = request.planned;
  const auto& scenario = options_.scenario;
  fronts::ChatRequest chat;
  chat.model = "model";
  chat.stream = true;
  chat.max_tokens = static_cast<std::uint64_t>(planned.max_tokens);
  chat.turns.push_back({"user", "what does the log say?"});
  const std::string body = dialect_->write_chat(chat);
  std::vector<http::Header> headers = {
      {"Host", "thornwick"},
      {"Content-Type", "application/json"},
      {"X-Request-ID", fmt::format("{:016x}", mix(options_.seed ^ mix(last_id_)))},
      {"X-Priority-Class", scenario.classes[planned.cls].name},
      {"X-Tenant-Id", scenario.members[planned.member].name},
      {"X-Route-Key", fmt::format("{:016x}", planned.session)},
      {"X-Timeout-Ms", std::to_string(std::max<Time>(1, limit / 1000))},
      {"X-Attrs", fmt::format("prefix={:016x},prompt_len={:.0f},prefix_len={:.0f},max_out={:.0f}",
                              planned.prefix, planned.prompt, planned.prefix_tokens, planned.max_tokens)},
      {"X-Lab-Made", fmt::format("{:.0f}", planned.generated)},
      {"Content-Length", std::to_string(body.size())}};
  if (planned.hint > 0) headers.push_back({"X-Cost", fmt::format("{:.0f}", planned.hint)});
  if (request.tries > 1) headers.push_back({"X-Retried", request.had_partial_answer ? "again" : "1"});
  return http::write_head("POST " + std::string(dialect_->path()) + " HTTP/1.1", headers) + body;
}

void Load::send_try(PendingRequest& request) {
  const Time now = net::now_us() - started_at_;
  const auto& request_class = options_.scenario.classes[request.planned.cls];
  ++request.tries;
  ++last_id_;
  ++result_.tries;
  const Time limit =
      std::min(static_cast<Time>(options_.scenario.try_share * 1000 * request_class.deadline_ms),
               request.planned.deadline - now);
  Connection* connection = nullptr;
  for (auto& candidate : connections_) {
    if (candidate->request == nullptr && candidate->stream->open()) connection = candidate.get();
  }
  if (connection == nullptr) {
    connections_.remove_if([](const auto& one) { return one->request == nullptr && !one->stream->open(); });
    if (connections_.size() >= options_.max_connections) {
      ++metrics_.no_connection;
      return on_try_failed(request, 0, false);
    }
    connection = connections_.emplace_back(std::make_unique<Connection>()).get();
    connection->stream = std::make_unique<net::Stream>(net::Stream::Callbacks{
        .connected = [] {},
        .arrived = [this, connection](std::string_view bytes) { on_bytes(*connection, bytes); },
        .drained = {},
        .ended = [this, connection] { on_connection_ended(*connection); }});
    const auto address = net::parse_address(options_.routers[next_router_++ % options_.routers.size()]);
    if (!connection->stream->connect(address.get())) return on_try_failed(request, 0, false);
  }
  connection->request = &request;
  connection->reader.emplace(http::MessageReader::Kind::answer);
  connection->tail.clear();
  connection->stream->write(request_bytes(request, limit));
  connection->timeout.start(limit + kAnswerMargin, [this, connection] {
    ++metrics_.unanswered;
    PendingRequest& failed = *connection->request;
    close(*connection);
    on_try_failed(failed, 0, failed.first_token_at > 0);
  });
}

void Load::close(Connection& connection) {
  connection.request = nullptr;
  connection.timeout.stop();
  connection.stream->close();
}

void Load::on_bytes(Connection& connection, std::string_view bytes) {
  if (connection.request == nullptr) return connection.stream->close();
  try {
    connection.reader->feed(bytes);
    for (auto piece = connection.reader->next(); piece != http::MessageReader::Piece::none;
         piece = connection.reader->next()) {
      if (piece == http::MessageReader::Piece::body) {
        connection.tail += connection.reader->take_body();
        if (connection.tail.size() > 2 * kTailBytes)
          connection.tail.erase(0, connection.tail.size() - kTailBytes);
        if (connection.reader->head().status != 200) continue;
        if (connection.request->first_token_at == 0)
          connection.request->first_token_at = net::now_us() - started_at_;
        connection.timeout.start(kStreamTimeout, [this, l = &connection] { on_connection_ended(*l); });
      }
      if (piece == http::MessageReader::Piece::end) return on_answer(connection);
    }
  } catch (const http::BadMessage&) {
    on_connection_ended(connection);
  }
}

// Handles a broken connection: its request has no answer, or only a fragment of one.
void Load::on_connection_ended(Connection& connection) {
  PendingRequest* request = connection.request;
  close(connection);
  if (request != nullptr) on_try_failed(*request, 0, request->first_token_at > 0);
}

void Load::on_answer(Connection& connection) {
  PendingRequest& request = *connection.request;
  connection.request = nullptr;
  connection.timeout.stop();
  const http::Head& head = connection.reader->head();
  if (!head.keeps_alive()) connection.stream->close();
  if (head.status != 200) {
    const auto* retry_after = head.find("Retry-After");
    return on_try_failed(
        request,
        retry_after == nullptr ? 0 : static_cast<Time>(1e6 * std::strtod(retry_after->c_str(), nullptr)),
        false);
  }
  const Time now = net::now_us() - started_at_;
  if (request.first_token_at == 0) request.first_token_at = now;
  const auto& request_class = options_.scenario.classes[request.planned.cls];
  const double earned_fraction =
      emulator::earned_part(request_class, request.planned.objective_at, request.planned.deadline,
                            request.first_token_at, now, request.planned.generated);
  auto& class_result = result_.classes[request.planned.cls];
  ++class_result.served;
  ++result_.totals.served;
  class_result.in_time += earned_fraction == 1;
  class_result.first_us.add(request.first_token_at - request.planned.at);
  class_result.answer_us.add(now - request.planned.at);
  result_.prompt_tokens += request.planned.prompt;
  result_.cached_tokens += std::max(number_after(connection.tail, "\"cached_tokens\":"),
                                    number_after(connection.tail, "\"cache_read_input_tokens\":"));
  end_request(request, earned_fraction);
}

void Load::on_try_failed(PendingRequest& request, Time retry_after, bool partially_answered) {
  const auto& scenario = options_.scenario;
  const Time now = net::now_us() - started_at_;
  if (partially_answered) request.had_partial_answer = true;
  ++(partially_answered ? result_.totals.broken : result_.totals.rejected);
  Time pause = std::llround(backoff_us_);
  if (retry_after > 0 && random_.happens(scenario.honor_probability)) pause = std::max(pause, retry_after);
  if (static_cast<std::size_t>(request.tries) <= scenario.retries && now + pause < request.planned.deadline) {
    request.first_token_at = 0;
    return request.retry_timer.start(pause, [this, &request] { send_try(request); });
  }
  ++result_.classes[request.planned.cls].given_up;
  end_request(request, 0);
}

void Load::end_request(PendingRequest& request, double earned_fraction) {
  const auto& planned = request.planned;
  emulator::add_weight(result_, options_.scenario, planned.at, planned.cls, planned.member,
                       planned.priority_weight, earned_fraction);
  // The deletion is deferred, because the request's own timer may be running.
  const auto at = std::find_if(pending_requests_.begin(), pending_requests_.end(),
                               [&](auto& t) { return t.get() == &request; });
  struct DeferredRequest : net::DeferredDeletable {
    std::unique_ptr<PendingRequest> request;
  };
  auto deletion = std::make_unique<DeferredRequest>();
  deletion->request = std::move(*at);
  pending_requests_.erase(at);
  net::deferred_delete(std::move(deletion));
  if (next_request_ == options_.requests.size() && pending_requests_.empty()) finish();
}

}  // namespace thornwick::testbed
