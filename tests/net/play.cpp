#include "play.hpp"

#include <sys/socket.h>

#include <catch2/catch.hpp>
#include <sstream>
#include <thread>

#include "../store/scratch.hpp"
#include "simulator_adapter/wire.hpp"

namespace thornwick::testing {
namespace {

constexpr Time kPatience = seconds(20);  // far above any wait in a scenario: only a hang reaches it

constexpr const char* kSettings =
    "grades.count=2\ngrades.0.name=chat\ngrades.0.credit=5\ngrades.0.objective=4000000\n"
    "grades.0.deadline=9000000\ngrades.0.streamed=true\n"
    "grades.1.name=quick\ngrades.1.objective=4000000\ngrades.1.deadline=9000000\ngrades.1.streamed=true\n"
    "policyLimits.mayCancel=true\npolicyLimits.maxAttempts=5\npolicyLimits.retryAfter=true\n"
    "policyLimits.maxRetryAfter=2000000\nregistryMode=ask\nrules.askWithin=10000000\n"
    "report.fields=errors_per_s,backlog\nreport.how=inline\n";

std::string chunk(const std::string& text) {
  std::ostringstream out;
  out << std::hex << text.size() << "\r\n" << text << "\r\n";
  return out.str();
}

std::string post(const std::string& path, const std::string& id, const std::string& more,
                 const std::string& body) {
  return "POST " + path + " HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: " + id +
         "\r\nX-Priority-Class: chat\r\nX-Tenant-Id: acme\r\nX-Timeout-Ms: " +
         (more.empty() ? "8000" : more) +
         "\r\nX-Attrs: prompt_len=40,max_out=50\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

// $word or $word(argument); an argument may hold \-escapes and a comma between two values.
std::string expand(const std::string& word, const std::string& argument) {
  const auto comma = argument.find(',');
  const std::string first = argument.substr(0, comma);
  const std::string second = comma == std::string::npos ? "" : argument.substr(comma + 1);
  if (word == "ask") {
    return post("/v1/chat/completions", first, second,
                R"({"model":"m","stream":true,"max_tokens":50,"messages":[{"role":"user","content":"hi"}]})");
  }
  if (word == "raw") return post("/v1/chat/completions", first, "", second);
  if (word == "say") {
    return post("/v1/messages", first, second,
                R"({"model":"m","stream":true,"max_tokens":50,"system":"be brief",)"
                R"("messages":[{"role":"user","content":[{"type":"text","text":"hi"}]}]})");
  }
  if (word == "stream") {
    return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
  }
  if (word == "chunk") return chunk(argument);
  if (word == "delta") {
    return chunk("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + argument +
                 "\"},\"finish_reason\":null}]}\n\n");
  }
  if (word == "done") {
    return chunk(
               "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":40,\"completion_tokens\":2,"
               "\"prompt_tokens_details\":{\"cached_tokens\":16}}}\n\ndata: [DONE]\n\n") +
           chunk(": X-Server-Load: eps=0,queue=1\n") + "0\r\n\r\n";
  }
  if (word == "full") return "HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";
  if (word == "error") return "HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n";
  if (word == "event")
    return chunk("event: " + first + "\ndata: {\"type\":\"" + first + "\"" + second + "}\n\n");
  if (word == "json") {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(argument.size()) + "\r\n\r\n" + argument;
  }
  if (word == "fill") return std::string(static_cast<std::size_t>(std::stoul(argument)), 'x');
  FAIL("no such word in a scenario: $" << word);
  return {};
}

std::string read_text(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '\\' && i + 1 < text.size()) {
      const char c = text[++i];
      out += c == 'r' ? '\r' : c == 'n' ? '\n' : c;
    } else if (text[i] == '$') {
      std::string word, argument;
      while (i + 1 < text.size() && std::islower(text[i + 1])) word += text[++i];
      if (i + 1 < text.size() && text[i + 1] == '(') {
        const auto end = text.find(')', i);
        argument = read_text(text.substr(i + 2, end - i - 2));
        i = end;
      }
      out += expand(word, argument);
    } else {
      out += text[i];
    }
  }
  return out;
}

}  // namespace

struct Play::Line {
  std::unique_ptr<net::Stream> stream;
  GSocket* socket = nullptr;  // the stream's
  std::string got;
  std::size_t read = 0;
  bool ended = false;
  // A replica's connection: where the request in work begins, and the attempt it is.
  http::MessageReader reader{http::MessageReader::Kind::request};

  net::Stream::Callbacks callbacks(std::function<void()> then = {}) {
    return {.connected = [] {},
            .arrived =
                [this, then](std::string_view bytes) {
                  got += bytes;
                  reader.feed(bytes);
                  if (then) then();
                },
            .drained = {},
            .ended =
                [this] {
                  ended = true;
                  stream->close();
                }};
  }
};

Play::Play(const Setup& setup) {
  const auto saved = net::descriptors();
  net::descriptors().limit = std::max<std::size_t>(saved.limit, 256);
  piece_ = setup.piece;
  config::Config& config = config_;
  std::string targets;
  for (int i = 0; i < setup.replicas; ++i) {
    listen(replicas_.emplace_back(), "");
    targets +=
        (i > 0 ? ",{\"uid\":\"s-0" : "{\"uid\":\"s-0") + std::to_string(i + 1) + R"(","endpoint":")" +
        replicas_.back()->address() + R"(","az":"a","model":")" +
        (static_cast<std::size_t>(i) < setup.box_models.size() ? setup.box_models[static_cast<std::size_t>(i)]
                                                               : "m") +
        R"(","pod_group":1,"state":")" + setup.known_state + R"(","capacity_hint":1.0,"boot_ms":0})";
  }
  listen(list_, "list");
  listen(new_list_, "newlist");
  config.name = "test";
  config.listeners.requests = config.operator_file.messages_listen = "127.0.0.1:0";
  config.listeners.operators = setup.ops;
  config.discovery.address = list_->address();
  config.operator_file.target_dialect = setup.box_dialect;
  config.operator_file.flow_collector = setup.flow_collector;
  config.settings = simulator_adapter::parse_settings(kSettings + setup.settings, 7);
  config.names.classes = {"chat", "quick"};
  config.names.tenants = {"acme"};
  config.names.zones = {"a"};
  config.names.kinds = {"m"};
  config.names.report_fields = {"errors_per_s", "backlog"};
  config.timeouts.keepalive = setup.keepalive;
  config.limits.max_client_connections = setup.most_clients;
  config.limits.memory_mb = setup.memory_mb;
  config.timeouts.stream_silence = setup.silence_limit;
  config.discovery.known_endpoints = "{\"rev\":1,\"all\":true,\"targets\":[" + targets + "]}";
  read_operator_text(setup.operator_text);
  node_ = std::make_unique<node::Node>(config);
}

void Play::read_operator_text(const std::string& text) {
  if (text.empty()) return;
  const Scratch scratch;
  write_bytes(scratch.path("o.toml"), text);
  const config::OperatorFile file = config::read_operator_file(scratch.path("o.toml"));
  config_.operator_file.catalogue = file.catalogue;
  config_.operator_file.budgets = file.budgets;
  config_.operator_file.store = file.store;
}

void Play::reload(const std::string& operator_text) {
  read_operator_text(operator_text);
  node_->reload(config_);
}

Play::~Play() {
  node_.reset();
  actors_.clear();
  accepted_.clear();
  while (g_main_context_iteration(nullptr, FALSE)) {
  }
}

// Without the name of an actor it is a replica, whose connections become actors with each request.
void Play::listen(std::unique_ptr<net::Listener>& listener, const std::string& actor) {
  listener = std::make_unique<net::Listener>(
      "127.0.0.1:0", [] { return true; },
      [this, actor](net::Owned<GSocket> socket) {
        auto line = std::make_shared<Line>();
        accepted_.push_back(line);
        if (!actor.empty()) {
          const int count = ++connections_[actor];
          actors_[count == 1 ? actor : actor + std::to_string(count)] = line;
        }
        Line* raw = line.get();
        line->stream = std::make_unique<net::Stream>(raw->callbacks([this, actor, raw] {
          if (!actor.empty()) return;
          for (auto& each : accepted_) {
            if (each.get() == raw) return box_arrived(each);
          }
        }));
        line->socket = socket.get();
        line->stream->adopt(std::move(socket));
      });
}

// Each request that begins at a replica is the next attempt; a reused connection carries several in turn.
void Play::box_arrived(std::shared_ptr<Line> line) {
  for (;;) {
    const auto piece = line->reader.next();
    if (piece == http::MessageReader::Piece::none) return;
    if (piece == http::MessageReader::Piece::end) actors_["attempt" + std::to_string(++attempts_)] = line;
  }
}

bool Play::wait_for(const std::function<bool()>& done) {
  bool late = false;
  net::Timer patience;
  patience.start(kPatience, [&] { late = true; });
  while (!late && !done()) g_main_context_iteration(nullptr, TRUE);
  return done();
}

Play::Line& Play::line(const std::string& actor) {
  const bool client = actor.starts_with("client"), writer = actor.starts_with("writer"),
             call = actor.starts_with("call");
  if ((client || writer || call) && !actors_.contains(actor)) {
    auto made = std::make_shared<Line>();
    made->stream = std::make_unique<net::Stream>(made->callbacks());
    const std::string to = call ? node_->admin_endpoint()->address() : node_->front(writer ? 1 : 0).address();
    // Made here and now: the router's kernel has it when this returns.
    net::Owned<GSocket> socket(
        g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, nullptr));
    REQUIRE(g_socket_connect(socket.get(), net::parse_address(to).get(), nullptr, nullptr));
    made->socket = socket.get();
    made->stream->adopt(std::move(socket));
    actors_[actor] = made;
  }
  INFO("waiting for " << actor);
  REQUIRE(wait_for([&] { return actors_.contains(actor); }));
  return *actors_.at(actor);
}

std::string Play::counters() const {
  std::ostringstream text;
  node_->print_counters(text);
  return " " + text.str() + " ";
}

bool Play::counts(const std::string& first, const std::string& second) {
  const auto there = [&](const std::string& text) {
    return counters().find(" " + text + " ") != std::string::npos;
  };
  REQUIRE(wait_for([&] { return there(first) || there(second); }));
  return there(first);
}
std::size_t Play::unsent(const std::string& actor) { return line(actor).stream->unsent(); }
std::string Play::received(const std::string& actor) { return line(actor).got; }
void Play::send(const std::string& actor, const std::string& bytes) {
  line(actor);  // nothing to send: it connects all the same
  const std::size_t piece = piece_ == 0 ? std::max<std::size_t>(1, bytes.size()) : piece_;
  for (std::size_t at = 0; at < bytes.size(); at += piece) {
    line(actor).stream->write(bytes.substr(at, piece));
    while (piece_ > 0 &&
           g_main_context_iteration(nullptr, FALSE)) {  // the router reads it before the next one comes
    }
  }
}

void Play::expect(const std::string& actor, const std::string& text) {
  if (actor == "router") {
    const bool found = wait_for([&] { return counters().find(" " + text + " ") != std::string::npos; });
    INFO("counters: " << counters());
    REQUIRE(found);
    return;
  }
  Line& at = line(actor);
  if (text == "close") {
    const bool closed = wait_for([&] { return at.ended; });
    INFO("unread: " << at.got.substr(at.read));
    REQUIRE(closed);
    REQUIRE(at.read == at.got.size());
    return;
  }
  std::size_t found = std::string::npos;
  wait_for([&] {
    found = at.got.find(text, at.read);
    return found != std::string::npos || at.ended;
  });
  INFO("unread: " << at.got.substr(at.read));
  REQUIRE(found != std::string::npos);
  at.read = found + text.size();
}

// Closes so that the other side's reading ends in an error.
void Play::reset(Line& line) {
  const linger at_once{1, 0};
  REQUIRE(setsockopt(g_socket_get_fd(line.socket), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once) == 0);
  line.stream->close();
}

void Play::step(const std::string& text) {
  INFO("step: " << text);
  std::istringstream words(text);
  std::string actor, verb, rest;
  words >> actor >> verb;
  std::getline(words >> std::ws, rest);
  if (actor == "wait") {
    bool over = false;
    net::Timer timer;
    timer.start(std::stol(verb) * 1000, [&] { over = true; });
    wait_for([&] { return over; });
  } else if (actor == "stall") {
    std::this_thread::sleep_for(std::chrono::milliseconds(std::stol(verb)));
  } else if (verb == "end") {
    line(actor).stream->finish_sending();
  } else if (verb == "hold") {
    line(actor).stream->pause_reading();
  } else if (verb == "read") {
    line(actor).stream->resume_reading();
  } else if (verb == "reset") {
    reset(line(actor));
  } else if (verb == "send") {
    send(actor, read_text(rest));
  } else if (verb == "expect") {
    expect(actor, read_text(rest));
  } else if (verb == "close" && actor == "router") {
    node_->shut_down();
  } else if (verb == "turn") {
    config_.discovery.address = new_list_->address();
    node_->reload(config_);
  } else if (verb == "close") {
    line(actor).stream->close();
  } else {
    FAIL("no such step");
  }
}

void Play::run(const std::string& script) {
  std::istringstream lines(script);
  for (std::string text; std::getline(lines >> std::ws, text);) {
    if (!text.starts_with('#')) step(text);
  }
}

}  // namespace thornwick::testing
