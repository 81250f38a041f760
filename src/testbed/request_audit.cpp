#include "testbed/request_audit.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "fronts/dialect.hpp"

namespace thornwick::testbed {
namespace {

constexpr Time kAnswerMargin = milliseconds(500);
constexpr Time kSecondAnswerWait =
    milliseconds(100);  // time after an answer in which no second answer may arrive

std::string request_bytes(const std::string& id, Time time_limit, const std::string& priority_class,
                          const std::string& tenant) {
  fronts::ChatRequest chat;
  chat.model = "model";
  chat.stream = true;
  chat.max_tokens = 20;
  chat.turns.push_back({"user", "what does the log say?"});
  const std::string body = fronts::platform_dialect().write_chat(chat);
  return http::write_head("POST " + std::string(fronts::platform_dialect().path()) + " HTTP/1.1",
                          {{"Host", "thornwick"},
                           {"Content-Type", "application/json"},
                           {"X-Request-ID", id},
                           {"X-Priority-Class", priority_class},
                           {"X-Tenant-Id", tenant},
                           {"X-Timeout-Ms", std::to_string(time_limit / 1000)},
                           {"X-Attrs", "prompt_len=40,max_out=20"},
                           {"X-Lab-Made", "5"},
                           {"Content-Length", std::to_string(body.size())}}) +
         body;
}

}  // namespace

const char* name_of(Outcome outcome) {
  static constexpr const char* names[] = {"open",   "served",        "refused",       "broken",
                                          "silent", "not connected", "answered twice"};
  return names[static_cast<int>(outcome)];
}

// The connection of one request.
struct RequestAudit::Connection : net::DeferredDeletable {
  std::unique_ptr<net::Stream> stream;
  http::MessageReader reader{http::MessageReader::Kind::answer};
  AuditedRequest* request = nullptr;
  net::Timer timeout;
  bool connected = false;

  void arrived(RequestAudit& owner, std::string_view bytes) {
    if (request->outcome != Outcome::open) {
      request->outcome = Outcome::answered_twice;
      return;
    }
    try {
      reader.feed(bytes);
      for (auto piece = reader.next(); piece != http::MessageReader::Piece::none; piece = reader.next()) {
        if (piece == http::MessageReader::Piece::body) reader.take_body();
        if (piece != http::MessageReader::Piece::end) continue;
        return owner.end(*this, reader.head().status == 200 ? Outcome::served : Outcome::rejected);
      }
    } catch (const http::BadMessage&) {
      owner.end(*this, Outcome::broken);
    }
  }
};

RequestAudit::RequestAudit(Options options, std::size_t routers)
    : options_(std::move(options)), addresses_(routers), send_timers_(routers) {}
RequestAudit::~RequestAudit() = default;

void RequestAudit::send_to(std::size_t router, const std::string& address) {
  addresses_[router] = address;
  if (address.empty()) return send_timers_[router].stop();
  const auto first = static_cast<Time>(1e6 / options_.rate * static_cast<double>(router) /
                                       static_cast<double>(addresses_.size()));
  send_timers_[router].start(first, [this, router] { send(router); });
}

void RequestAudit::finish() {
  for (std::size_t i = 0; i < addresses_.size(); ++i) send_to(i, "");
}

void RequestAudit::send(std::size_t router) {
  send_timers_[router].start(static_cast<Time>(1e6 / options_.rate), [this, router] { send(router); });
  AuditedRequest& request = *requests_.emplace_back(std::make_unique<AuditedRequest>());
  request.router = router;
  request.id = fmt::format("q{}-{}", router, ++last_number_);
  request.sent_at = net::now_us();
  ++open_requests_;
  Connection& connection = *connections_.emplace_back(std::make_unique<Connection>());
  connection.request = &request;
  connection.stream = std::make_unique<net::Stream>(net::Stream::Callbacks{
      .connected = [&connection] { connection.connected = true; },
      .arrived = [this, &connection](std::string_view bytes) { connection.arrived(*this, bytes); },
      .drained = {},
      .ended =
          [this, &connection] {
            end(connection, connection.connected ? Outcome::broken : Outcome::not_connected);
          }});
  connection.timeout.start(options_.time_limit + kAnswerMargin,
                           [this, &connection] { end(connection, Outcome::silent); });
  const auto address = net::parse_address(addresses_[router]);
  if (!connection.stream->connect(address.get())) return end(connection, Outcome::not_connected);
  connection.stream->write(
      request_bytes(request.id, options_.time_limit, options_.priority_class, options_.tenant));
}

void RequestAudit::end(Connection& connection, Outcome outcome) {
  if (connection.request->outcome == Outcome::open) {
    connection.request->outcome = outcome;
    connection.request->ended_at = net::now_us();
    --open_requests_;
    if (outcome == Outcome::served || outcome == Outcome::rejected) {
      return connection.timeout.start(kSecondAnswerWait,
                                      [this, &connection] { end(connection, Outcome::open); });
    }
  }
  connection.timeout.stop();
  connection.stream->close();
  const auto at = std::find_if(connections_.begin(), connections_.end(),
                               [&](const auto& one) { return one.get() == &connection; });
  if (at == connections_.end()) return;
  net::deferred_delete(std::move(*at));
  connections_.erase(at);
}

}  // namespace thornwick::testbed
