// Stand-ins for replicas, discovery and open-loop clients of a scenario, around a real router in one loop.
#include <catch2/catch.hpp>
#include <fstream>

#include "../store/scratch.hpp"
#include "node/node.hpp"
#include "testbed/installation.hpp"
#include "testbed/load.hpp"

using namespace thornwick;
using namespace thornwick::testbed;
using thornwick::testing::Scratch;

namespace {

emulator::Scenario demo_scenario() {
  auto scenario = emulator::read_scenario(std::string(THORNWICK_DEPLOY) + "/../examples/lab/demo.toml");
  scenario.seconds = 3;
  scenario.cancel_probability = 0;
  scenario.load = {1, 1};
  return scenario;
}

// Replicas, discovery, a router and clients, which run until all requests are answered.
struct RunningScenario {
  explicit RunningScenario(const emulator::Scenario& scenario, const std::string& client_dialect,
                           const std::string& messages_address = "") {
    net::descriptors().limit = std::max<std::size_t>(net::descriptors().limit, 1024);
    InstallationOptions options;
    options.scenario = scenario;
    options.router_listen = "127.0.0.1:0";
    installation = std::make_unique<Installation>(options);
    std::ofstream(scratch.path("router.json")) << installation->router_config();
    config::Config config = config::read_config(scratch.path("router.json"), "");
    config.operator_file.messages_listen = messages_address;
    node = std::make_unique<node::Node>(config);
    LoadOptions load_options;
    load_options.scenario = scenario;
    load_options.requests = emulator::planned_requests(scenario, 1);
    load_options.dialect = client_dialect;
    load_options.routers = {node->front(client_dialect == "messages" ? 1 : 0).address()};
    load = std::make_unique<Load>(load_options);
  }
  void run() {
    bool done = false;
    bool late = false;
    net::Timer timeout;
    timeout.start(60'000'000, [&] { late = true; });
    installation->schedule_faults();
    // The clients start when the router has an endpoint list.
    while (!late && node->replica_count() == 0) g_main_context_iteration(nullptr, TRUE);
    load->start([&] { done = true; });
    while (!done && !late) g_main_context_iteration(nullptr, TRUE);
    REQUIRE(done);
  }
  ~RunningScenario() {
    load.reset();
    node.reset();
    installation.reset();
    while (g_main_context_iteration(nullptr, FALSE)) {
    }
  }

  Scratch scratch;
  std::unique_ptr<Installation> installation;
  std::unique_ptr<node::Node> node;
  std::unique_ptr<Load> load;
};

}  // namespace

TEST_CASE("in a scenario's day on sockets, both fronts answer every request once") {
  for (const std::string dialect : {"platform", "messages"}) {
    RunningScenario running(demo_scenario(), dialect, "127.0.0.1:0");
    running.run();
    const auto& result = running.load->result();
    INFO(dialect << ": " << emulator::to_json(result, emulator::Costs::excluded).substr(0, 400));
    CHECK(result.turns > 5);
    CHECK(running.load->metrics().unanswered == 0);
    CHECK(running.load->metrics().no_connection == 0);
    CHECK(result.totals.served == running.node->core().counters().served);
    CHECK(result.tries == running.node->core().counters().admitted);
    CHECK(running.node->core().open_requests() == 0);
    CHECK(result.totals.interrupted == 0);
    CHECK(running.installation->metrics().completed >= result.totals.served);
    CHECK(result.cached_tokens > 0);
  }
}

TEST_CASE("requests at replicas that die are answered") {
  auto scenario = demo_scenario();
  scenario.replicas = 4;
  scenario.zones = {"a", "b"};
  scenario.routers = 2;
  scenario.removal_delay_s = {0.2, 0.2};
  scenario.addition_delay_s = {0.1, 0.1};
  scenario.faults = {
      {.kind = emulator::DayFaultKind::zone_lost, .at_s = {1, 1}, .seconds = {1, 1}},
      {.kind = emulator::DayFaultKind::slow, .at_s = {0.5, 0.5}, .seconds = {1, 1}, .size = {2, 2}},
      {.kind = emulator::DayFaultKind::flush, .at_s = {1.5, 1.5}, .size = {1, 1}}};
  RunningScenario running(scenario, "platform");
  running.run();
  const auto& result = running.load->result();
  CHECK(running.load->metrics().unanswered == 0);
  std::uint64_t ended_turns = 0;
  for (const auto& cls : result.classes) ended_turns += cls.served + cls.given_up;
  CHECK(ended_turns == result.turns);
  CHECK(running.node->core().open_requests() == 0);
}

TEST_CASE("clients without a router end and count no request as served") {
  LoadOptions load_options;
  load_options.scenario = demo_scenario();
  load_options.scenario.seconds = 1;
  load_options.requests = emulator::planned_requests(load_options.scenario, 1);
  load_options.routers = {"127.0.0.1:1"};
  for (auto& request : load_options.requests) request.at /= 10, request.deadline = request.at + 200'000;
  Load load(load_options);
  bool done = false;
  load.start([&] { done = true; });
  while (!done) g_main_context_iteration(nullptr, TRUE);
  CHECK(load.result().totals.served == 0);
  CHECK(load.result().turns == load_options.requests.size());
  load_options.routers = {"nowhere"};
  CHECK_THROWS_AS(Load(load_options), std::invalid_argument);
}
