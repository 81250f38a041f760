#include "fleet.hpp"

#include <boost/random/uniform_int_distribution.hpp>
#include <catch2/catch.hpp>
#include <charconv>

#include "simulator_adapter/wire.hpp"

namespace thornwick::testing {
namespace {

constexpr const char* kSettings =
    "grades.count=1\ngrades.0.name=agent\ngrades.0.credit=2\ngrades.0.objective=4000000\n"
    "grades.0.deadline=9000000\ngrades.0.streamed=true\n"
    "policyLimits.mayCancel=true\npolicyLimits.maxAttempts=5\npolicyLimits.retryAfter=true\n"
    "policyLimits.maxRetryAfter=2000000\nregistryMode=ask\nrules.askWithin=10000000\n";

double number_after(const std::string& text, const std::string& name) {
  const auto at = text.find(name);
  return at == std::string::npos ? 0 : std::strtod(text.c_str() + at + name.size(), nullptr);
}

std::uint64_t hex_after(const std::string& text, const std::string& name) {
  const auto at = text.find(name);
  return at == std::string::npos ? 0 : std::strtoull(text.c_str() + at + name.size(), nullptr, 16);
}

std::string hex(std::uint64_t value) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value));
  return text;
}

std::string chunk(const std::string& text) { return http::write_chunk(text); }

}  // namespace

// ---------------------------------------------------------------- servers

struct HttpServer::Line {
  std::unique_ptr<net::Stream> stream;
  http::MessageReader reader{http::MessageReader::Kind::request};
  net::Timer later;      // a replica: while it reads
  bool waiting = false;  // discovery: a watch that has not been answered
};

HttpServer::HttpServer(std::function<void(Line&)> asked) {
  listener_ = std::make_unique<net::Listener>(
      "127.0.0.1:0", [] { return true; },
      [this, asked = std::move(asked)](net::Owned<GSocket> socket) {
        Line* line = lines.emplace_back(std::make_unique<Line>()).get();
        line->stream = std::make_unique<net::Stream>(net::Stream::Callbacks{
            .connected = [] {},
            .arrived =
                [line, asked](std::string_view bytes) {
                  line->reader.feed(bytes);
                  for (auto piece = line->reader.next(); piece != http::MessageReader::Piece::none;
                       piece = line->reader.next()) {
                    if (piece == http::MessageReader::Piece::end) asked(*line);
                  }
                },
            .drained = {},
            .ended = [line] { line->stream->close(); }});
        line->stream->adopt(std::move(socket));
      });
}

HttpServer::~HttpServer() = default;

// ---------------------------------------------------------------- replicas

KeepingBox::KeepingBox(std::string uid, double memory_tokens, double read_per_s)
    : uid_(std::move(uid)),
      memory_(memory_tokens),
      read_per_s_(read_per_s),
      server_([this](HttpServer::Line& line) { answer(line, line.reader.head()); }) {}

std::string KeepingBox::entry() const {
  return R"({"uid":")" + uid_ + R"(","endpoint":")" + server_.address() +
         R"(","az":"a","model":"m","pod_group":1,"state":"SERVING","capacity_hint":1.0,"boot_ms":0})";
}

double KeepingBox::find(std::uint64_t name, double most) {
  const auto found = kept_.find(name);
  if (name == 0 || found == kept_.end()) return 0;
  order_.splice(order_.end(), order_, found->second);
  return std::min(found->second->tokens, most);
}

void KeepingBox::keep(std::uint64_t name, double tokens) {
  if (name == 0) return;
  if (const auto found = kept_.find(name); found != kept_.end()) {
    held_ -= found->second->tokens;
    order_.erase(found->second);
  }
  kept_[name] = order_.insert(order_.end(), {name, tokens});
  for (held_ += tokens; held_ > memory_; order_.pop_front()) {
    held_ -= order_.front().tokens;
    kept_.erase(order_.front().name);
  }
}

void KeepingBox::flush(double part, boost::random::mt19937_64& dice) {
  for (auto at = order_.begin(); at != order_.end();) {
    const bool gone = boost::random::uniform_int_distribution<int>(0, 999)(dice) < part * 1000;
    if (gone) held_ -= at->tokens, kept_.erase(at->name);
    at = gone ? order_.erase(at) : std::next(at);
  }
}

void KeepingBox::answer(HttpServer::Line& line, const http::Head& head) {
  const std::string& attributes = *head.find("x-attrs");
  const std::uint64_t session = hex_after(*head.find("x-route-key"), "");
  const std::uint64_t prefix = hex_after(attributes, "prefix=");
  const double prompt = number_after(attributes, "prompt_len=");
  const double beginning = number_after(attributes, "prefix_len=");
  const double found = std::max(find(session, prompt), find(prefix, beginning));
  keep(prefix, beginning);
  keep(session, prompt);
  if (done) done({session, prompt, found});
  const std::string text =
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" +
      chunk(R"(data: {"choices":[{"index":0,"delta":{"content":"x"},"finish_reason":"stop"}]})"
            "\n\n") +
      chunk(R"(data: {"choices":[],"usage":{"prompt_tokens":)" + std::to_string(static_cast<long>(prompt)) +
            R"(,"completion_tokens":50,"prompt_tokens_details":{"cached_tokens":)" +
            std::to_string(static_cast<long>(found)) + "}}}\n\ndata: [DONE]\n\n") +
      std::string(http::kLastChunk);
  free_at_ = std::max(free_at_, net::now_us()) + static_cast<Time>((prompt - found) / read_per_s_ * 1e6);
  line.later.start(free_at_ - net::now_us(), [&line, text] {
    if (line.stream->open()) line.stream->write(text);
  });
}

// ---------------------------------------------------------------- discovery

std::string Fleet::list_json() const {
  std::string targets;
  for (const auto& replica : replicas_) targets += (targets.empty() ? "" : ",") + replica->entry();
  return "{\"rev\":" + std::to_string(rev_) + ",\"all\":true,\"targets\":[" + targets + "]}";
}

void Fleet::tell() {
  const std::string body = list_json();
  for (auto& watcher : discovery_->lines) {
    if (!std::exchange(watcher->waiting, false) || !watcher->stream->open()) continue;
    watcher->stream->write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                           body);
  }
}

// ---------------------------------------------------------------- clients

struct Fleet::Client {
  std::unique_ptr<net::Stream> stream;
  std::optional<http::MessageReader> reader;
  std::size_t session = 0;
};

std::uint64_t Fleet::draw(std::uint64_t below) {
  return boost::random::uniform_int_distribution<std::uint64_t>(0, below - 1)(dice_);
}

Fleet::Session Fleet::fresh() {
  const std::uint64_t prefix = draw(static_cast<std::uint64_t>(options_.prefixes));
  const double beginning = 4000 + 3000 * static_cast<double>(prefix) / options_.prefixes;
  return {dice_(), 0x1000 + prefix, beginning, beginning + 300, 0};
}

void Fleet::ask(Client& client) {
  if (wanted_ <= 0) return;
  --wanted_;
  do {
    client.session = draw(sessions_.size());
  } while (sessions_[client.session].busy);
  Session& session = sessions_[client.session];
  if (session.turns == 6) session = fresh();
  session.busy = true;
  ++session.turns;
  session.prompt += 310 + static_cast<double>(draw(490));
  const std::string body =
      R"({"model":"m","stream":true,"max_tokens":100,"messages":[{"role":"user","content":"x"}]})";
  client.stream->write(
      "POST /v1/chat/completions HTTP/1.1\r\nHost: b\r\nX-Request-ID: " + hex(++last_id_) +
      "\r\nX-Priority-Class: agent\r\nX-Tenant-Id: acme\r\nX-Timeout-Ms: 8000\r\nX-Route-Key: " +
      hex(session.id) + "\r\nX-Attrs: prefix=" + hex(session.prefix) +
      ",prompt_len=" + std::to_string(static_cast<long>(session.prompt)) +
      ",prefix_len=" + std::to_string(static_cast<long>(session.beginning)) +
      ",max_out=100\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

// ---------------------------------------------------------------- the installation

Fleet::Fleet(const Options& options) : options_(options) {
  net::descriptors().limit = std::max<std::size_t>(net::descriptors().limit, 512);
  discovery_ = std::make_unique<HttpServer>([this](HttpServer::Line& line) {
    line.waiting = true;
    // A watch from the present on waits for what comes.
    if (number_after(line.reader.head().target, "after=") < rev_) tell();
  });
  for (int i = 0; i < options.replicas; ++i) add_replica();
  for (int i = 0; i < options.sessions; ++i) sessions_.push_back(fresh());
  config_.name = "test";
  config_.listeners.requests = "127.0.0.1:0";
  config_.discovery.address = discovery_->address();
  config_.settings = simulator_adapter::parse_settings(kSettings, 7);
  config_.names.classes = {"agent"};
  config_.names.tenants = {"acme"};
  config_.names.zones = {"a"};
  config_.names.kinds = {"m"};
  config_.operator_file.affinity = options.affinity;
  config_.operator_file.store = options.store;
  start_router();
}

Fleet::~Fleet() {
  clients_.clear();
  node_.reset();
  discovery_.reset();
  replicas_.clear();
  while (g_main_context_iteration(nullptr, FALSE)) {
  }
}

void Fleet::add_replica() {
  const int number = born_++;
  auto replica = std::make_unique<KeepingBox>(
      "s-" + hex(0x1000'0000u + static_cast<unsigned>(number) * 77777u).substr(8), options_.memory_tokens,
      options_.read_per_s);
  replica->done = [this, number](const KeepingBox::Done& done) {
    works_.push_back({number, done.prompt, done.found});
  };
  replicas_.push_back(std::move(replica));
}

void Fleet::start_router() {
  config_.discovery.known_endpoints = list_json();
  node_ = std::make_unique<node::Node>(config_);
  for (int i = 0; i < options_.clients; ++i) {
    Client* client = clients_.emplace_back(std::make_unique<Client>()).get();
    client->reader.emplace(http::MessageReader::Kind::answer);
    client->stream = std::make_unique<net::Stream>(net::Stream::Callbacks{
        .connected = [] {},
        .arrived =
            [this, client](std::string_view bytes) {
              client->reader->feed(bytes);
              for (auto piece = client->reader->next(); piece != http::MessageReader::Piece::none;
                   piece = client->reader->next()) {
                if (piece != http::MessageReader::Piece::end) continue;
                if (client->reader->head().status != 200) ++rejected_;
                sessions_[client->session].busy = false;
                ask(*client);
              }
            },
        .drained = {},
        .ended = [client] { client->stream->close(); }});
    REQUIRE(client->stream->connect(net::parse_address(node_->front(0).address()).get()));
  }
}

std::vector<Fleet::Work> Fleet::play(int answers) {
  works_.clear();
  wanted_ = answers;
  const std::uint64_t goal = last_id_ + static_cast<std::uint64_t>(answers);
  for (auto& client : clients_) ask(*client);
  bool late = false;
  net::Timer patience;
  patience.start(60'000'000, [&] { late = true; });
  const auto idle = [&] {
    return last_id_ == goal &&
           std::none_of(sessions_.begin(), sessions_.end(), [](auto& s) { return s.busy; });
  };
  while (!late && !idle()) g_main_context_iteration(nullptr, TRUE);
  std::ostringstream counters;
  node_->print_counters(counters);
  INFO("asked " << last_id_ << " of " << goal << "; " << counters.str());
  REQUIRE(idle());
  return std::exchange(works_, {});
}

void Fleet::restart(bool saved) {
  if (saved) REQUIRE(node_->save(20'000'000));
  clients_.clear();
  node_.reset();
  start_router();
}

void Fleet::replace(int count) {
  const double before = counted("list_entries");
  for (int i = 0; i < count; ++i) add_replica();
  replicas_.erase(replicas_.begin(), replicas_.begin() + count);
  ++rev_;
  tell();
  // Until the router has heard of the new ones.
  bool late = false;
  net::Timer patience;
  patience.start(20'000'000, [&] { late = true; });
  const auto heard = [&] { return counted("list_entries") > before; };
  while (!late && !heard()) g_main_context_iteration(nullptr, TRUE);
  REQUIRE(heard());
}

double Fleet::counted(const std::string& name) const {
  std::ostringstream counters;
  node_->print_counters(counters);
  return number_after(counters.str(), " " + name + "=");
}

void Fleet::flush(double part) {
  for (auto& replica : replicas_) replica->flush(part, dice_);
}

}  // namespace thornwick::testing
