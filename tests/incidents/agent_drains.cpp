// Guards against review/10: a router whose agent had been silent, or whose watch had fallen silent, went on
// sending to a draining replica after the grace. The router runs as a process, and its agent fails in several
// ways just as the replica begins to drain.
#include <catch2/catch.hpp>
#include <fstream>
#include <memory>
#include <optional>

#include "../net/program.hpp"
#include "../store/scratch.hpp"
#include "router_config.hpp"
#include "slow_discovery.hpp"

using namespace thornwick;
using testing::CountingReplica;
using testing::Program;
using testing::run_until;
using testing::Scratch;
using testing::SlowDiscovery;
using Behaviour = testing::SlowDiscovery::Behaviour;

namespace {

constexpr Time kGrace = seconds(1);
// From the protocol: on sockets, each time limit is 50 ms longer.
constexpr Time kForbiddenAfter = kGrace + milliseconds(50);
constexpr Time kRequestInterval = milliseconds(25);
constexpr Time kObservationTime = seconds(2);
constexpr Time kTimeout = seconds(10);
constexpr std::uint64_t kFirstRevision = 5;

// A router as a process, its agent, and two replicas, of which one is going to drain.
class RouterWithAgent {
 public:
  RouterWithAgent() {
    agent.publish(kFirstRevision, entries("SERVING"));
    const std::string config = scratch_.path("config.json");
    std::ofstream(config) << testing::write_router_config({.discovery = agent.address(),
                                                           .known = entries("SERVING"),
                                                           .registry_mode = "push",
                                                           .drain_grace_us = kGrace});
  }
  void start() {
    program_.emplace(scratch_.path("config.json"), "text", scratch_.folder());
    address_ = program_->serving_address();
  }
  void wait_for_next_call() {
    const std::size_t calls = agent.calls();
    REQUIRE(run_until([&] { return agent.calls() > calls; }, kTimeout));
  }
  void wait_for_next_watch() {
    REQUIRE(run_until([&] { return agent.subscriptions() == 0; }, kTimeout));
    REQUIRE(run_until([&] { return agent.subscriptions() > 0; }, kTimeout));
  }
  // The agent has the drain, in this revision of its list. Sends requests until no request may reach the
  // replica for some time.
  void check_drain_is_respected(std::uint64_t revision = kFirstRevision + 1) {
    agent.publish(revision, entries("DRAINING"));
    const Time drained_at = net::now_us();
    while (net::now_us() < drained_at + kForbiddenAfter + kObservationTime) {
      send_request();
      run_until([] { return false; }, kRequestInterval);
    }
    CHECK(staying.requests_after(drained_at + kForbiddenAfter) > 0);
    CHECK(draining.requests_after(drained_at + kForbiddenAfter) == 0);
  }

  SlowDiscovery agent{0};
  CountingReplica draining, staying;

 private:
  std::string entries(const std::string& state) const {
    return draining.entry("s-01", state) + "," + staying.entry("s-02", "SERVING");
  }
  void send_request() {
    auto stream = std::make_unique<net::Stream>(net::Stream::Callbacks{
        .connected = [] {}, .arrived = [](std::string_view) {}, .drained = [] {}, .ended = [] {}});
    REQUIRE(stream->connect(net::parse_address(address_).get()));
    stream->write(testing::write_router_request(++request_count_));
    streams_.push_back(std::move(stream));
  }

  Scratch scratch_;
  std::optional<Program> program_;
  std::string address_;
  std::vector<std::unique_ptr<net::Stream>> streams_;
  std::size_t request_count_ = 0;
};

}  // namespace

TEST_CASE("a drain that an agent gets at the end of an outage is respected within the grace") {
  RouterWithAgent router;
  SECTION("the router has served before the outage") {
    router.start();
    router.wait_for_next_watch();
    router.agent.set_behaviour(Behaviour::stays_silent);
    router.wait_for_next_call();
  }
  SECTION("the router starts in the outage") {
    router.agent.set_behaviour(Behaviour::stays_silent);
    router.start();
    REQUIRE(run_until([&] { return router.agent.calls() > 0; }, kTimeout));
  }
  router.wait_for_next_call();
  router.agent.set_behaviour(Behaviour::answers);
  router.check_drain_is_respected();
}

TEST_CASE("a drain is respected within the grace if the agent's watch falls silent") {
  RouterWithAgent router;
  router.start();
  router.wait_for_next_watch();
  router.agent.set_behaviour(Behaviour::stays_silent);
  router.agent.set_behaviour(Behaviour::answers);
  router.check_drain_is_respected();
}

TEST_CASE("a drain is respected within the grace if the agent's answer with it fails") {
  const auto behaviour =
      GENERATE(Behaviour::answers_by_half, Behaviour::breaks_answers, Behaviour::rejects_calls);
  CAPTURE(static_cast<int>(behaviour));
  RouterWithAgent router;
  router.start();
  router.wait_for_next_watch();
  router.agent.set_behaviour(behaviour);
  net::Timer recovery;
  recovery.start(milliseconds(10), [&] { router.agent.set_behaviour(Behaviour::answers); });
  router.check_drain_is_respected();
}

// The list in use was kept for 10 s, whatever the grace.
TEST_CASE("a drain is respected within the grace if the agent was restarted with an older list") {
  RouterWithAgent router;
  router.start();
  router.wait_for_next_watch();
  router.check_drain_is_respected(kFirstRevision - 1);
}
