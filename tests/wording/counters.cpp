// The names that operators and scripts read in log lines: counters, trace lines, fields of JSON lines.
#include <unistd.h>

#include <set>

#include "../net/program.hpp"
#include "expected.hpp"
#include "logging/log.hpp"
#include "node/node.hpp"
#include "tracing/trace.hpp"

using namespace thornwick;
using namespace thornwick::testing;

namespace {

// Of "a=1 b=2": "a" and "b", a line each, in their order.
std::string names_in(const std::string& line) {
  std::istringstream words(line);
  std::string names;
  for (std::string word; words >> word;) {
    if (const auto equals = word.find('='); equals != std::string::npos)
      names += word.substr(0, equals) + "\n";
  }
  return names;
}

// Standard error goes to a file while this lives.
class CapturedErrors {
 public:
  explicit CapturedErrors(const std::string& path) : path_(path), saved_(dup(STDERR_FILENO)) {
    const int file = open(path.c_str(), O_CREAT | O_WRONLY | O_TRUNC, 0600);
    REQUIRE(file >= 0);
    dup2(file, STDERR_FILENO);
    close(file);
  }
  ~CapturedErrors() {
    dup2(saved_, STDERR_FILENO);
    close(saved_);
  }
  std::string text() const { return read_bytes(path_); }

 private:
  std::string path_;
  int saved_;
};

// A configuration that a process can serve with, on ports that the kernel chooses.
std::string served_config() {
  std::string text = read_expected("config.json");
  for (const char* port : {":9000", ":9002"}) text = replaced(text, port, ":0");
  for (const char* key : {"peer_listen", "peers_all", "peers"})
    text = replaced(text, std::string("\"") + key + "\"", "\"unused\"");
  return text;
}

// Decides whatever it is told to.
class ScriptedDecider final : public core::Decider {
 public:
  explicit ScriptedDecider(std::vector<Action> actions) : actions_(std::move(actions)) {}
  void on_endpoints(Time, EndpointUpdate, std::span<const Endpoint>) override {}
  void on_request(Time, const Request&) override {}
  void on_first_token(Time, RequestId, std::uint8_t, ReplicaId, Time) override {}
  void on_attempt_result(Time, const AttemptResult&) override {}
  void on_client_disconnected(Time, RequestId) override {}
  void on_timer(Time, std::uint32_t) override {}
  void on_probe_result(Time, ReplicaId, bool, std::span<const float>) override {}
  void on_peer_message(Time, std::uint32_t, std::span<const std::uint8_t>) override {}
  std::vector<Action> take_actions() override { return std::exchange(actions_, {}); }

 private:
  std::vector<Action> actions_;
};

std::vector<Action> one_of_each_action() {
  std::vector<Action> actions;
  for (const auto kind : {ActionKind::send, ActionKind::reject, ActionKind::fail, ActionKind::cancel,
                          ActionKind::set_timer, ActionKind::watch_endpoints, ActionKind::fetch_endpoints,
                          ActionKind::probe, ActionKind::message_peer}) {
    actions.push_back(
        {.kind = kind, .id = 5, .replica = 2, .attempt = 1, .time = 700, .token = 3, .message = {}});
  }
  return actions;
}

void tell_every_event(core::Decider& decider) {
  std::vector<Endpoint> entries;
  for (const auto state : {EndpointState::ready, EndpointState::draining, EndpointState::removed}) {
    entries.push_back(
        {.id = 2, .state = state, .started_at = 9, .zone = 1, .cell = 4, .kind = 3, .weight = 0.5F});
  }
  Time now = seconds(1);
  for (const auto scope :
       {EndpointUpdate::delta, EndpointUpdate::full, EndpointUpdate::cached, EndpointUpdate::failed}) {
    decider.on_endpoints(now++, scope, entries);
  }
  Request request;
  request.id = 5, request.priority_class = 1, request.tenant = 2, request.prompt_tokens = 640,
  request.prefix_tokens = 320;
  request.max_tokens = 77, request.work_hint = 1234, request.session = 31, request.prefix = 42;
  request.client_repeat = true, request.deadline = now + 900'000, request.cache_hint.expected_tokens = 16;
  decider.on_request(now++, request);
  decider.on_first_token(now++, 5, 1, 2, 20'000);
  for (const auto outcome :
       {Outcome::served, Outcome::error, Outcome::full, Outcome::timed_out, Outcome::connect_failed,
        Outcome::reset, Outcome::cancelled, Outcome::not_sent}) {
    decider.on_attempt_result(now++, {.id = 5,
                                      .attempt = 1,
                                      .replica = 2,
                                      .outcome = outcome,
                                      .elapsed = 30'000,
                                      .concluded = true,
                                      .cached_tokens = 16,
                                      .prompt_tokens = 640});
  }
  decider.on_client_disconnected(now++, 5);
  decider.on_timer(now++, 3);
  decider.on_probe_result(now++, 2, true, {});
  decider.on_peer_message(now++, 1, {});
}

// All that a debug line tells of one router's decisions.
std::string trace_text() {
  const Scratch scratch;
  const CapturedErrors errors(scratch.path("trace"));
  const auto before = logging::threshold();
  logging::set_threshold(logging::Level::debug);
  const auto decider = tracing::with_tracing(std::make_unique<ScriptedDecider>(one_of_each_action()),
                                             [](ReplicaId id) { return "s-" + std::to_string(id); });
  tell_every_event(*decider);
  decider->take_actions();
  logging::set_threshold(before);
  return errors.text();
}

}  // namespace

TEST_CASE("the counters of a router with every part configured keep their names") {
  const Scratch scratch;
  write_bytes(scratch.path("c"), served_config());
  write_bytes(scratch.path("o"), read_expected("counted.toml"));
  const auto saved = net::descriptors();
  net::descriptors().limit = 256;
  {
    const node::Node node(config::read_config(scratch.path("c"), scratch.path("o")));
    std::ostringstream line;
    node.print_counters(line);
    check_expected("counter_names.txt", names_in(line.str()));
  }
  net::descriptors().limit = saved.limit;
}

TEST_CASE("SIGUSR1 prints the counters, as text and as JSON") {
  const std::string format = GENERATE("text", "json");
  const Scratch scratch;
  write_bytes(scratch.path("c"), served_config());
  Program program(scratch.path("c"), format.c_str(), scratch.folder());
  const std::string serves = program.wait_for_line(" serves on ");
  REQUIRE_FALSE(serves.empty());
  program.signal(SIGUSR1);
  const std::string line = program.wait_for_line("taken=");
  const auto begin = line.find("taken="),
             level = line.find("\"level\"");  // ahead of the level stands the time of day
  REQUIRE(begin != std::string::npos);
  const std::size_t shown = format == "json" ? level : 0;
  check_expected("counter_line_" + format + ".txt",
                 line.substr(shown, begin - shown) + "\n" + names_in(line.substr(begin)));
  program.signal(SIGTERM);
  CHECK(program.wait_for_exit() == 0);
}

TEST_CASE("trace lines keep their fields, and scripts/fleet_counts reads them") {
  const std::string text = trace_text();
  check_expected("trace.log", text);
  const Scratch scratch;
  write_bytes(scratch.path("trace.log"), text);
  const std::string command =
      std::string(THORNWICK_PYTHON) + " " + THORNWICK_FLEET_COUNTS + " --boxes " + scratch.path("trace.log");
  FILE* pipe = popen(command.c_str(), "r");
  REQUIRE(pipe != nullptr);
  std::string table;
  std::array<char, 4096> part;
  while (const auto got = fread(part.data(), 1, part.size(), pipe)) table.append(part.data(), got);
  CHECK(pclose(pipe) == 0);
  check_expected("fleet_counts.txt", table);
}
