#include "simulated_fleet.hpp"

#include <boost/random/uniform_int_distribution.hpp>
#include <catch2/catch.hpp>
#include <charconv>

#include "simulator_adapter/wire.hpp"

namespace thornwick::testing {
namespace {

const std::string kSettings =
    "grades.count=1\ngrades.0.name=agent\ngrades.0.credit=2\ngrades.0.objective=4000000\n"
    "grades.0.deadline=9000000\ngrades.0.streamed=true\n"
    "policyLimits.mayCancel=true\npolicyLimits.maxAttempts=5\npolicyLimits.retryAfter=true\n"
    "policyLimits.maxRetryAfter=2000000\nregistryMode=ask\nrules.askWithin=10000000\n";

constexpr int kRequestsPerSession = 6;

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

struct HttpServer::Connection {
  std::unique_ptr<net::Stream> stream;
  http::MessageReader reader{http::MessageReader::Kind::request};
  net::Timer answer_timer;  // a replica's time for reading a prompt
  bool watching = false;    // at discovery: a watch is open
};

HttpServer::HttpServer(std::function<void(Connection&)> on_request) {
  listener_ = std::make_unique<net::Listener>(
      "127.0.0.1:0", [] { return true; },
      [this, on_request = std::move(on_request)](net::Owned<GSocket> socket) {
        Connection* connection = connections.emplace_back(std::make_unique<Connection>()).get();
        connection->stream = std::make_unique<net::Stream>(net::Stream::Callbacks{
            .connected = [] {},
            .arrived =
                [connection, on_request](std::string_view bytes) {
                  connection->reader.feed(bytes);
                  for (auto piece = connection->reader.next(); piece != http::MessageReader::Piece::none;
                       piece = connection->reader.next()) {
                    if (piece == http::MessageReader::Piece::end) on_request(*connection);
                  }
                },
            .drained = {},
            .ended = [connection] { connection->stream->close(); }});
        connection->stream->adopt(std::move(socket));
      });
}

HttpServer::~HttpServer() = default;

CachingReplica::CachingReplica(std::string uid, double memory_tokens, double tokens_per_s)
    : uid_(std::move(uid)),
      memory_tokens_(memory_tokens),
      tokens_per_s_(tokens_per_s),
      server_([this](HttpServer::Connection& connection) { answer(connection, connection.reader.head()); }) {}

std::string CachingReplica::entry() const {
  return R"({"uid":")" + uid_ + R"(","endpoint":")" + server_.address() +
         R"(","az":"a","model":"m","pod_group":1,"state":"SERVING","capacity_hint":1.0,"boot_ms":0})";
}

double CachingReplica::find(std::uint64_t key, double max_tokens) {
  const auto found = prompts_.find(key);
  if (key == 0 || found == prompts_.end()) return 0;
  order_.splice(order_.end(), order_, found->second);
  return std::min(found->second->tokens, max_tokens);
}

void CachingReplica::cache(std::uint64_t key, double tokens) {
  if (key == 0) return;
  if (const auto found = prompts_.find(key); found != prompts_.end()) {
    cached_tokens_ -= found->second->tokens;
    order_.erase(found->second);
  }
  prompts_[key] = order_.insert(order_.end(), {key, tokens});
  for (cached_tokens_ += tokens; cached_tokens_ > memory_tokens_; order_.pop_front()) {
    cached_tokens_ -= order_.front().tokens;
    prompts_.erase(order_.front().key);
  }
}

void CachingReplica::flush(double fraction, boost::random::mt19937_64& random) {
  for (auto prompt = order_.begin(); prompt != order_.end();) {
    const bool evicted = boost::random::uniform_int_distribution<int>(0, 999)(random) < fraction * 1000;
    if (!evicted) {
      ++prompt;
      continue;
    }
    cached_tokens_ -= prompt->tokens;
    prompts_.erase(prompt->key);
    prompt = order_.erase(prompt);
  }
}

void CachingReplica::answer(HttpServer::Connection& connection, const http::Head& head) {
  const std::string& attributes = *head.find("x-attrs");
  const std::uint64_t session = hex_after(*head.find("x-route-key"), "");
  const std::uint64_t prefix = hex_after(attributes, "prefix=");
  const double prompt = number_after(attributes, "prompt_len=");
  const double prefix_tokens = number_after(attributes, "prefix_len=");
  const double cached = std::max(find(session, prompt), find(prefix, prefix_tokens));
  cache(prefix, prefix_tokens);
  cache(session, prompt);
  if (on_answer) on_answer({session, prompt, cached});
  const std::string text =
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" +
      chunk(R"(data: {"choices":[{"index":0,"delta":{"content":"x"},"finish_reason":"stop"}]})"
            "\n\n") +
      chunk(R"(data: {"choices":[],"usage":{"prompt_tokens":)" + std::to_string(static_cast<long>(prompt)) +
            R"(,"completion_tokens":50,"prompt_tokens_details":{"cached_tokens":)" +
            std::to_string(static_cast<long>(cached)) + "}}}\n\ndata: [DONE]\n\n") +
      std::string(http::kLastChunk);
  free_at_ = std::max(free_at_, net::now_us()) + static_cast<Time>((prompt - cached) / tokens_per_s_ * 1e6);
  connection.answer_timer.start(free_at_ - net::now_us(), [&connection, text] {
    if (connection.stream->open()) connection.stream->write(text);
  });
}

std::string SimulatedFleet::list_json() const {
  std::string targets;
  for (const auto& replica : replicas_) targets += (targets.empty() ? "" : ",") + replica->entry();
  return "{\"rev\":" + std::to_string(revision_) + ",\"all\":true,\"targets\":[" + targets + "]}";
}

void SimulatedFleet::answer_watches() {
  const std::string body = list_json();
  for (auto& watcher : discovery_->connections) {
    if (!std::exchange(watcher->watching, false) || !watcher->stream->open()) continue;
    watcher->stream->write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                           body);
  }
}

struct SimulatedFleet::Client {
  std::unique_ptr<net::Stream> stream;
  std::optional<http::MessageReader> reader;
  std::size_t session = 0;
};

std::uint64_t SimulatedFleet::random_below(std::uint64_t bound) {
  return boost::random::uniform_int_distribution<std::uint64_t>(0, bound - 1)(random_);
}

SimulatedFleet::Session SimulatedFleet::new_session() {
  const std::uint64_t prefix = random_below(static_cast<std::uint64_t>(options_.prefixes));
  const double prefix_tokens = 4000 + 3000 * static_cast<double>(prefix) / options_.prefixes;
  return {random_(), 0x1000 + prefix, prefix_tokens, prefix_tokens + 300, 0};
}

void SimulatedFleet::send_request(Client& client) {
  if (requests_to_send_ <= 0) return;
  --requests_to_send_;
  do {
    client.session = random_below(sessions_.size());
  } while (sessions_[client.session].busy);
  Session& session = sessions_[client.session];
  if (session.requests == kRequestsPerSession) session = new_session();
  session.busy = true;
  ++session.requests;
  session.prompt += 310 + static_cast<double>(random_below(490));
  const std::string body =
      R"({"model":"m","stream":true,"max_tokens":100,"messages":[{"role":"user","content":"x"}]})";
  client.stream->write(
      "POST /v1/chat/completions HTTP/1.1\r\nHost: b\r\nX-Request-ID: " + hex(++last_id_) +
      "\r\nX-Priority-Class: agent\r\nX-Tenant-Id: acme\r\nX-Timeout-Ms: 8000\r\nX-Route-Key: " +
      hex(session.id) + "\r\nX-Attrs: prefix=" + hex(session.prefix) +
      ",prompt_len=" + std::to_string(static_cast<long>(session.prompt)) +
      ",prefix_len=" + std::to_string(static_cast<long>(session.prefix_tokens)) +
      ",max_out=100\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

SimulatedFleet::SimulatedFleet(const Options& options) : options_(options) {
  net::descriptors().limit = std::max<std::size_t>(net::descriptors().limit, 512);
  discovery_ = std::make_unique<HttpServer>([this](HttpServer::Connection& connection) {
    connection.watching = true;
    // A watch of the current revision waits for the next revision.
    if (number_after(connection.reader.head().target, "after=") < revision_) answer_watches();
  });
  for (int i = 0; i < options.replicas; ++i) add_replica();
  for (int i = 0; i < options.sessions; ++i) sessions_.push_back(new_session());
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

SimulatedFleet::~SimulatedFleet() {
  clients_.clear();
  node_.reset();
  discovery_.reset();
  replicas_.clear();
  while (g_main_context_iteration(nullptr, FALSE)) {
  }
}

void SimulatedFleet::add_replica() {
  const int number = created_replicas_;
  ++created_replicas_;
  auto replica = std::make_unique<CachingReplica>(
      "s-" + hex(0x1000'0000u + static_cast<unsigned>(number) * 77777u).substr(8), options_.memory_tokens,
      options_.tokens_per_s);
  replica->on_answer = [this, number](const CachingReplica::Answer& answered) {
    answered_requests_.push_back({number, answered.prompt, answered.cached});
  };
  replicas_.push_back(std::move(replica));
}

void SimulatedFleet::start_router() {
  config_.discovery.known_endpoints = list_json();
  node_ = std::make_unique<node::Node>(config_);
  for (int i = 0; i < options_.clients; ++i) connect_client();
}

void SimulatedFleet::connect_client() {
  Client* client = clients_.emplace_back(std::make_unique<Client>()).get();
  client->reader.emplace(http::MessageReader::Kind::answer);
  client->stream = std::make_unique<net::Stream>(net::Stream::Callbacks{
      .connected = [] {},
      .arrived = [this, client](std::string_view bytes) { on_client_bytes(*client, bytes); },
      .drained = {},
      .ended = [client] { client->stream->close(); }});
  REQUIRE(client->stream->connect(net::parse_address(node_->front(0).address()).get()));
}

void SimulatedFleet::on_client_bytes(Client& client, std::string_view bytes) {
  client.reader->feed(bytes);
  for (auto piece = client.reader->next(); piece != http::MessageReader::Piece::none;
       piece = client.reader->next()) {
    if (piece != http::MessageReader::Piece::end) continue;
    if (client.reader->head().status != 200) ++rejected_;
    sessions_[client.session].busy = false;
    send_request(client);
  }
}

bool SimulatedFleet::wait_for(Time timeout, const std::function<bool()>& done) {
  bool late = false;
  net::Timer timer;
  timer.start(timeout, [&] { late = true; });
  while (!late && !done()) g_main_context_iteration(nullptr, TRUE);
  return done();
}

std::vector<SimulatedFleet::AnsweredRequest> SimulatedFleet::run_requests(int count) {
  answered_requests_.clear();
  requests_to_send_ = count;
  const std::uint64_t last_request = last_id_ + static_cast<std::uint64_t>(count);
  for (auto& client : clients_) send_request(*client);
  const auto is_idle = [&] {
    return last_id_ == last_request &&
           std::none_of(sessions_.begin(), sessions_.end(), [](auto& session) { return session.busy; });
  };
  const bool idle = wait_for(seconds(60), is_idle);
  std::ostringstream counters;
  node_->print_counters(counters);
  INFO("sent " << last_id_ << " of " << last_request << "; " << counters.str());
  REQUIRE(idle);
  return std::exchange(answered_requests_, {});
}

void SimulatedFleet::restart_after_saving() {
  REQUIRE(node_->save(seconds(20)));
  restart();
}

void SimulatedFleet::restart_without_saving() { restart(); }

void SimulatedFleet::restart() {
  clients_.clear();
  node_.reset();
  start_router();
}

// Returns when the router has applied the new list.
void SimulatedFleet::replace(int count) {
  const double entries_before = counter("list_entries");
  for (int i = 0; i < count; ++i) add_replica();
  replicas_.erase(replicas_.begin(), replicas_.begin() + count);
  ++revision_;
  answer_watches();
  REQUIRE(wait_for(seconds(20), [&] { return counter("list_entries") > entries_before; }));
}

double SimulatedFleet::counter(const std::string& name) const {
  std::ostringstream counters;
  node_->print_counters(counters);
  return number_after(counters.str(), " " + name + "=");
}

void SimulatedFleet::flush(double fraction) {
  for (auto& replica : replicas_) replica->flush(fraction, random_);
}

}  // namespace thornwick::testing
