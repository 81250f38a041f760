#include "testbed/request_audit.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "fronts/dialect.hpp"

namespace thornwick::testbed {
namespace {

constexpr Time kSlack = milliseconds(500);
constexpr Time kListens = milliseconds(100);  // after an answer: nothing may come behind it

std::string request_bytes(const std::string& id, Time limit, const std::string& cls,
                          const std::string& member) {
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
                           {"X-Priority-Class", cls},
                           {"X-Tenant-Id", member},
                           {"X-Timeout-Ms", std::to_string(limit / 1000)},
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

// One connection for one request.
struct RequestAudit::Connection : net::DeferredDeletable {
  std::unique_ptr<net::Stream> stream;
  http::MessageReader reader{http::MessageReader::Kind::answer};
  Entry* entry = nullptr;
  net::Timer patience;
  bool connected = false;

  void arrived(RequestAudit& owner, std::string_view bytes) {
    if (entry->outcome != Outcome::open) {
      entry->outcome = Outcome::twice;
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
    : options_(std::move(options)), addresses_(routers), pacers_(routers) {}
RequestAudit::~RequestAudit() = default;

void RequestAudit::send_to(std::size_t router, const std::string& address) {
  addresses_[router] = address;
  if (address.empty()) return pacers_[router].stop();
  const auto first = static_cast<Time>(1e6 / options_.rate * static_cast<double>(router) /
                                       static_cast<double>(addresses_.size()));
  pacers_[router].start(first, [this, router] { ask(router); });
}

void RequestAudit::finish() {
  for (std::size_t i = 0; i < addresses_.size(); ++i) send_to(i, "");
}

void RequestAudit::ask(std::size_t router) {
  pacers_[router].start(static_cast<Time>(1e6 / options_.rate), [this, router] { ask(router); });
  Entry& entry = *entries_.emplace_back(std::make_unique<Entry>());
  entry.router = router;
  entry.id = fmt::format("q{}-{}", router, ++last_);
  entry.asked = net::now_us();
  ++open_;
  Connection& line = *lines_.emplace_back(std::make_unique<Connection>());
  line.entry = &entry;
  line.stream = std::make_unique<net::Stream>(net::Stream::Callbacks{
      .connected = [&line] { line.connected = true; },
      .arrived = [this, &line](std::string_view bytes) { line.arrived(*this, bytes); },
      .drained = {},
      .ended = [this, &line] { end(line, line.connected ? Outcome::broken : Outcome::not_connected); }});
  line.patience.start(options_.limit + kSlack, [this, &line] { end(line, Outcome::silent); });
  const auto address = net::parse_address(addresses_[router]);
  if (!line.stream->connect(address.get())) return end(line, Outcome::not_connected);
  line.stream->write(request_bytes(entry.id, options_.limit, options_.cls, options_.member));
}

void RequestAudit::end(Connection& line, Outcome outcome) {
  if (line.entry->outcome == Outcome::open) {
    line.entry->outcome = outcome;
    line.entry->ended = net::now_us();
    --open_;
    if (outcome == Outcome::served || outcome == Outcome::rejected) {
      return line.patience.start(kListens, [this, &line] { end(line, Outcome::open); });
    }
  }
  line.patience.stop();
  line.stream->close();
  const auto at =
      std::find_if(lines_.begin(), lines_.end(), [&](const auto& one) { return one.get() == &line; });
  if (at == lines_.end()) return;
  net::deferred_delete(std::move(*at));
  lines_.erase(at);
}

}  // namespace thornwick::testbed
