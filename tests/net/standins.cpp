// The stand-ins around a real router in one loop: a scenario's replicas and discovery, and open-loop clients.
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

emulator::Scenario demo() {
  auto scenario = emulator::read_scenario(std::string(THORNWICK_DEPLOY) + "/../examples/lab/demo.toml");
  scenario.seconds = 3;
  scenario.cancel_probability = 0;
  scenario.load = {1, 1};
  return scenario;
}

// Replicas, router and clients until all is answered.
struct Whole {
  explicit Whole(const emulator::Scenario& scenario, const std::string& clients,
                 const std::string& messages = "") {
    net::descriptors().limit = std::max<std::size_t>(net::descriptors().limit, 1024);
    InstallationOptions options;
    options.scenario = scenario;
    options.router_listen = "127.0.0.1:0";
    installation = std::make_unique<Installation>(options);
    std::ofstream(scratch.path("router.json")) << installation->router_config();
    config::Config config = config::read_config(scratch.path("router.json"), "");
    config.operator_file.messages_listen = messages;
    node = std::make_unique<node::Node>(config);
    LoadOptions asks;
    asks.scenario = scenario;
    asks.asked = emulator::planned_requests(scenario, 1);
    asks.dialect = clients;
    asks.routers = {node->front(clients == "messages" ? 1 : 0).address()};
    load = std::make_unique<Load>(asks);
  }
  void play() {
    bool done = false;
    bool late = false;
    net::Timer patience;
    patience.start(60'000'000, [&] { late = true; });
    installation->begin();
    // The router asks discovery first.
    while (!late && node->replica_count() == 0) g_main_context_iteration(nullptr, TRUE);
    load->start([&] { done = true; });
    while (!done && !late) g_main_context_iteration(nullptr, TRUE);
    REQUIRE(done);
  }
  ~Whole() {
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

TEST_CASE("a scenario's day on sockets: every request is answered once, by both fronts") {
  for (const std::string dialect : {"platform", "messages"}) {
    Whole whole(demo(), dialect, "127.0.0.1:0");
    whole.play();
    const auto& result = whole.load->result();
    INFO(dialect << ": " << emulator::to_json(result, emulator::Costs::left_out).substr(0, 400));
    CHECK(result.turns > 5);
    CHECK(whole.load->metrics().unanswered == 0);
    CHECK(whole.load->metrics().no_connection == 0);
    CHECK(result.totals.served == whole.node->core().counters().served);
    CHECK(result.tries == whole.node->core().counters().admitted);
    CHECK(whole.node->core().open_requests() == 0);
    CHECK(result.totals.broken == 0);
    CHECK(whole.installation->metrics().done >= result.totals.served);
    CHECK(result.cached_tokens > 0);
  }
}

TEST_CASE("requests at replicas that die are answered") {
  auto scenario = demo();
  scenario.replicas = 4;
  scenario.zones = {"a", "b"};
  scenario.routers = 2;
  scenario.notice_s = {0.2, 0.2};
  scenario.add_s = {0.1, 0.1};
  scenario.faults = {
      {.kind = emulator::DayFaultKind::zone_lost, .at_s = {1, 1}, .seconds = {1, 1}},
      {.kind = emulator::DayFaultKind::slow, .at_s = {0.5, 0.5}, .seconds = {1, 1}, .size = {2, 2}},
      {.kind = emulator::DayFaultKind::flush, .at_s = {1.5, 1.5}, .size = {1, 1}}};
  Whole whole(scenario, "platform");
  whole.play();
  const auto& result = whole.load->result();
  CHECK(whole.load->metrics().unanswered == 0);
  std::uint64_t ended = 0;
  for (const auto& cls : result.classes) ended += cls.served + cls.given_up;
  CHECK(ended == result.turns);
  CHECK(whole.node->core().open_requests() == 0);
}

TEST_CASE("clients without a router end and report it") {
  LoadOptions asks;
  asks.scenario = demo();
  asks.scenario.seconds = 1;
  asks.asked = emulator::planned_requests(asks.scenario, 1);
  asks.routers = {"127.0.0.1:1"};
  for (auto& a : asks.asked) a.at /= 10, a.deadline = a.at + 200'000;
  Load load(asks);
  bool done = false;
  load.start([&] { done = true; });
  while (!done) g_main_context_iteration(nullptr, TRUE);
  CHECK(load.result().totals.served == 0);
  CHECK(load.result().turns == asks.asked.size());
  asks.routers = {"nowhere"};
  CHECK_THROWS_AS(Load(asks), std::invalid_argument);
}
