#include "scenario_runner.hpp"

#include <sys/socket.h>

#include <catch2/catch.hpp>
#include <sstream>
#include <thread>

#include "../store/scratch.hpp"
#include "scenario_text.hpp"
#include "simulator_adapter/wire.hpp"

namespace thornwick::testing {
namespace {

constexpr Time kTimeout =
    seconds(20);  // far longer than any wait in a scenario, so that only a hang reaches it

const std::string kSettings =
    "grades.count=2\ngrades.0.name=chat\ngrades.0.credit=5\ngrades.0.objective=4000000\n"
    "grades.0.deadline=9000000\ngrades.0.streamed=true\n"
    "grades.1.name=quick\ngrades.1.objective=4000000\ngrades.1.deadline=9000000\ngrades.1.streamed=true\n"
    "policyLimits.mayCancel=true\npolicyLimits.maxAttempts=5\npolicyLimits.retryAfter=true\n"
    "policyLimits.maxRetryAfter=2000000\nregistryMode=ask\nrules.askWithin=10000000\n"
    "report.fields=errors_per_s,backlog\nreport.how=inline\n";

}  // namespace

// One connection of an actor.
struct ScenarioRunner::Connection {
  std::unique_ptr<net::Stream> stream;
  GSocket* socket = nullptr;  // of the stream
  std::string received;
  std::size_t expected_bytes = 0;  // bytes of `received` up to the end of the last expected text
  bool ended = false;
  http::MessageReader reader{http::MessageReader::Kind::request};  // reads the requests at a replica

  net::Stream::Callbacks callbacks(std::function<void()> on_bytes = {}) {
    return {.connected = [] {},
            .arrived =
                [this, on_bytes](std::string_view bytes) {
                  received += bytes;
                  reader.feed(bytes);
                  if (on_bytes) on_bytes();
                },
            .drained = {},
            .ended =
                [this] {
                  ended = true;
                  stream->close();
                }};
  }
};

ScenarioRunner::ScenarioRunner(const Setup& setup) {
  const auto saved = net::descriptors();
  net::descriptors().limit = std::max<std::size_t>(saved.limit, 256);
  fragment_bytes_ = setup.fragment_bytes;
  const std::string entries = replica_entries(setup);
  listen(discovery_, "list");
  listen(new_discovery_, "newlist");
  configure(setup);
  config_.discovery.known_endpoints = "{\"rev\":1,\"all\":true,\"targets\":[" + entries + "]}";
  read_operator_text(setup.operator_text);
  node_ = std::make_unique<node::Node>(config_);
}

// Starts the replicas and returns their entries in discovery's list.
std::string ScenarioRunner::replica_entries(const Setup& setup) {
  std::string entries;
  for (int i = 0; i < setup.replicas; ++i) {
    const auto index = static_cast<std::size_t>(i);
    const std::string model = index < setup.replica_models.size() ? setup.replica_models[index] : "m";
    listen(replicas_.emplace_back(), "");
    if (i > 0) entries += ",";
    entries += R"({"uid":"s-0)" + std::to_string(i + 1) + R"(","endpoint":")" + replicas_.back()->address() +
               R"(","az":"a","model":")" + model + R"(","pod_group":1,"state":")" + setup.known_state +
               R"(","capacity_hint":1.0,"boot_ms":0})";
  }
  return entries;
}

void ScenarioRunner::configure(const Setup& setup) {
  config_.name = "test";
  config_.listeners.requests = config_.operator_file.messages_listen = "127.0.0.1:0";
  config_.listeners.operators = setup.ops;
  config_.discovery.address = discovery_->address();
  config_.operator_file.target_dialect = setup.replica_dialect;
  config_.operator_file.flow_collector = setup.flow_collector;
  config_.settings = simulator_adapter::parse_settings(kSettings + setup.settings, 7);
  config_.names.classes = {"chat", "quick"};
  config_.names.tenants = {"acme"};
  config_.names.zones = {"a"};
  config_.names.kinds = {"m"};
  config_.names.report_fields = {"errors_per_s", "backlog"};
  config_.timeouts.keepalive = setup.keepalive;
  config_.limits.max_client_connections = setup.max_clients;
  config_.limits.memory_mb = setup.memory_mb;
  config_.timeouts.stream_silence = setup.silence_timeout;
}

void ScenarioRunner::read_operator_text(const std::string& text) {
  if (text.empty()) return;
  const Scratch scratch;
  write_bytes(scratch.path("o.toml"), text);
  const config::OperatorFile file = config::read_operator_file(scratch.path("o.toml"));
  config_.operator_file.catalogue = file.catalogue;
  config_.operator_file.budgets = file.budgets;
  config_.operator_file.store = file.store;
}

void ScenarioRunner::reload(const std::string& operator_text) {
  read_operator_text(operator_text);
  node_->reload(config_);
}

ScenarioRunner::~ScenarioRunner() {
  node_.reset();
  actors_.clear();
  accepted_.clear();
  while (g_main_context_iteration(nullptr, FALSE)) {
  }
}

// Replicas listen without the name of an actor, because each request at a replica becomes an actor of its
// own.
void ScenarioRunner::listen(std::unique_ptr<net::Listener>& listener, const std::string& actor) {
  listener = std::make_unique<net::Listener>(
      "127.0.0.1:0", [] { return true; },
      [this, actor](net::Owned<GSocket> socket) { on_accepted(actor, std::move(socket)); });
}

void ScenarioRunner::on_accepted(const std::string& actor, net::Owned<GSocket> socket) {
  auto connection = std::make_shared<Connection>();
  accepted_.push_back(connection);
  std::function<void()> on_bytes;
  if (actor.empty()) {
    on_bytes = [this, weak = std::weak_ptr<Connection>(connection)] {
      if (const auto accepted = weak.lock()) on_replica_bytes(accepted);
    };
  } else {
    const int count = ++connection_counts_[actor];
    actors_[count == 1 ? actor : actor + std::to_string(count)] = connection;
  }
  connection->stream = std::make_unique<net::Stream>(connection->callbacks(std::move(on_bytes)));
  connection->socket = socket.get();
  connection->stream->adopt(std::move(socket));
}

// Each complete request at a replica becomes the next attempt. A reused connection carries several attempts
// in turn.
void ScenarioRunner::on_replica_bytes(const std::shared_ptr<Connection>& connection) {
  for (;;) {
    const auto piece = connection->reader.next();
    if (piece == http::MessageReader::Piece::none) return;
    if (piece != http::MessageReader::Piece::end) continue;
    ++attempts_;
    actors_["attempt" + std::to_string(attempts_)] = connection;
  }
}

bool ScenarioRunner::wait_for(const std::function<bool()>& done) {
  bool late = false;
  net::Timer timeout;
  timeout.start(kTimeout, [&] { late = true; });
  while (!late && !done()) g_main_context_iteration(nullptr, TRUE);
  return done();
}

void ScenarioRunner::run_loop_for(Time duration) {
  bool over = false;
  net::Timer timer;
  timer.start(duration, [&] { over = true; });
  wait_for([&] { return over; });
}

// Returns the address to which a client connects; empty if the actor is not a client.
std::string ScenarioRunner::address_for(const std::string& actor) const {
  if (actor.starts_with("client")) return node_->front(0).address();
  if (actor.starts_with("writer")) return node_->front(1).address();
  if (actor.starts_with("call")) return node_->admin_endpoint()->address();
  return {};
}

// Blocks until the connection is in the router's accept queue.
std::shared_ptr<ScenarioRunner::Connection> ScenarioRunner::connect_client(const std::string& actor) {
  auto connection = std::make_shared<Connection>();
  connection->stream = std::make_unique<net::Stream>(connection->callbacks());
  net::Owned<GSocket> socket(
      g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, nullptr));
  const auto address = net::parse_address(address_for(actor));
  REQUIRE(g_socket_connect(socket.get(), address.get(), nullptr, nullptr));
  connection->socket = socket.get();
  connection->stream->adopt(std::move(socket));
  return connection;
}

// Returns the actor's connection. A client connects at its first step; for any other actor, waits until it
// exists.
ScenarioRunner::Connection& ScenarioRunner::connection(const std::string& actor) {
  if (!actors_.contains(actor) && !address_for(actor).empty()) actors_[actor] = connect_client(actor);
  INFO("waiting for " << actor);
  REQUIRE(wait_for([&] { return actors_.contains(actor); }));
  return *actors_.at(actor);
}

std::string ScenarioRunner::counters() const {
  std::ostringstream text;
  node_->print_counters(text);
  return " " + text.str() + " ";
}

bool ScenarioRunner::wait_for_counters(const std::string& first, const std::string& second) {
  const auto has_value = [&](const std::string& counter) {
    return counters().find(" " + counter + " ") != std::string::npos;
  };
  REQUIRE(wait_for([&] { return has_value(first) || has_value(second); }));
  return has_value(first);
}

std::size_t ScenarioRunner::unsent(const std::string& actor) { return connection(actor).stream->unsent(); }

std::string ScenarioRunner::received(const std::string& actor) { return connection(actor).received; }

// Sends the bytes, in fragments if `fragment_bytes_` is set. The router reads each fragment before the next
// is sent.
void ScenarioRunner::send(const std::string& actor, const std::string& bytes) {
  connection(actor);  // a client connects even if there is nothing to send
  const std::size_t size = fragment_bytes_ == 0 ? std::max<std::size_t>(1, bytes.size()) : fragment_bytes_;
  for (std::size_t position = 0; position < bytes.size(); position += size) {
    connection(actor).stream->write(bytes.substr(position, size));
    if (fragment_bytes_ == 0) continue;
    while (g_main_context_iteration(nullptr, FALSE)) {
    }
  }
}

void ScenarioRunner::expect(const std::string& actor, const std::string& text) {
  if (actor == "router") {
    const bool found = wait_for([&] { return counters().find(" " + text + " ") != std::string::npos; });
    INFO("counters: " << counters());
    REQUIRE(found);
    return;
  }
  Connection& from = connection(actor);
  if (text == "close") return expect_close(from);
  std::size_t found = std::string::npos;
  wait_for([&] {
    found = from.received.find(text, from.expected_bytes);
    return found != std::string::npos || from.ended;
  });
  INFO("unread: " << from.received.substr(from.expected_bytes));
  REQUIRE(found != std::string::npos);
  from.expected_bytes = found + text.size();
}

void ScenarioRunner::expect_close(Connection& connection) {
  const bool closed = wait_for([&] { return connection.ended; });
  INFO("unread: " << connection.received.substr(connection.expected_bytes));
  REQUIRE(closed);
  REQUIRE(connection.expected_bytes == connection.received.size());
}

// Runs a step `served`. `arguments`: "ID by ATTEMPT".
void ScenarioRunner::serve(const std::string& client, const std::string& arguments) {
  std::istringstream words(arguments);
  std::string id;
  std::string by;
  std::string attempt;
  words >> id >> by >> attempt;
  REQUIRE(by == "by");
  send(client, expand_text("$ask(" + id + ")"));
  expect(attempt, "X-Request-ID: " + id + "\r\n");
  send(attempt, expand_text("$stream$delta(" + id + ")$done"));
  expect(client, "\r\n0\r\n\r\n");
}

// Closes the connection with a reset, so that the other side's reading ends with an error.
void ScenarioRunner::reset(Connection& connection) {
  const linger at_once{1, 0};
  const int descriptor = g_socket_get_fd(connection.socket);
  REQUIRE(setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once) == 0);
  connection.stream->close();
}

void ScenarioRunner::run_router_step(const std::string& verb, const std::string& rest) {
  if (verb == "expect") {
    expect("router", expand_text(rest));
  } else if (verb == "close") {
    node_->shut_down();
  } else if (verb == "turn") {
    config_.discovery.address = new_discovery_->address();
    node_->reload(config_);
  } else {
    FAIL("unknown step of the router");
  }
}

void ScenarioRunner::run_connection_step(const std::string& actor, const std::string& verb,
                                         const std::string& rest) {
  if (verb == "send") return send(actor, expand_text(rest));
  if (verb == "expect") return expect(actor, expand_text(rest));
  if (verb == "served") return serve(actor, rest);
  if (verb == "end") return connection(actor).stream->finish_sending();
  if (verb == "hold") return connection(actor).stream->pause_reading();
  if (verb == "read") return connection(actor).stream->resume_reading();
  if (verb == "reset") return reset(connection(actor));
  if (verb == "close") return connection(actor).stream->close();
  FAIL("unknown step");
}

void ScenarioRunner::run_step(const std::string& text) {
  INFO("step: " << text);
  std::istringstream words(text);
  std::string actor;
  std::string verb;
  std::string rest;
  words >> actor >> verb;
  std::getline(words >> std::ws, rest);
  if (actor == "wait") {
    run_loop_for(milliseconds(std::stol(verb)));
  } else if (actor == "stall") {
    std::this_thread::sleep_for(std::chrono::milliseconds(std::stol(verb)));
  } else if (actor == "router") {
    run_router_step(verb, rest);
  } else {
    run_connection_step(actor, verb, rest);
  }
}

void ScenarioRunner::run(const std::string& script) {
  std::istringstream lines(script);
  for (std::string text; std::getline(lines >> std::ws, text);) {
    if (!text.starts_with('#')) run_step(text);
  }
}

}  // namespace thornwick::testing
