// Guards against issue 44: routers sent requests to draining replicas after the time at which every router
// counts as informed. The routers run as processes. Their discovery is slow or silent, and SIGHUP moves them
// to another one.
#include <unistd.h>

#include <catch2/catch.hpp>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <memory>
#include <vector>

#include "../net/program.hpp"
#include "router_config.hpp"
#include "slow_discovery.hpp"
#include "testbed/faulty_link.hpp"

using namespace thornwick;
using testbed::FaultyLink;
using testing::CountingReplica;
using testing::Program;
using testing::run_until;
using testing::SlowDiscovery;

namespace {

constexpr Time kSecond = seconds(1);
// From the protocol: every router counts as informed of a change 6 s after discovery had the change and could
// be reached. 0.55 s later, no request may be sent to the replica any more.
constexpr Time kForbiddenAfter = milliseconds(6'550);
constexpr Time kRequestInterval = milliseconds(50);
constexpr Time kObservationTime = seconds(2);

// Several routers that run as processes, in front of two or three replicas, some of which are going to drain.
// Two routers can be each other's peers, over a link that can lose datagrams.
class Fleet {
 public:
  enum class Peers { off, pair_over_faulty_link };
  enum class Draining { one_of_two, two_of_three };

  Fleet(std::size_t routers, Peers peers, const SlowDiscovery& discovery,
        Draining draining_choice = Draining::one_of_two)
      : draining_choice_(draining_choice) {
    for (std::size_t i = 0; i < routers; ++i) {
      paths_.push_back("thornwick-incident-" + std::to_string(getpid()) + "-" + std::to_string(i) + ".json");
    }
    if (peers == Peers::pair_over_faulty_link) open_link();
    start_all(discovery);
  }
  ~Fleet() {
    for (const auto& path : paths_) std::remove(path.c_str());
  }

  std::size_t size() const { return programs_.size(); }
  // Ends all processes with this signal and starts them again with the list that they had at first.
  void restart_all(int signal, const SlowDiscovery& discovery) {
    for (auto& program : programs_) {
      program->signal(signal);
      program->wait_for_exit();
    }
    programs_.clear();
    addresses_.clear();
    start_all(discovery);
  }
  // Writes a configuration with another discovery and sends SIGHUP.
  void move_discovery(std::size_t router, const SlowDiscovery& discovery) {
    write_config(router, discovery);
    programs_[router]->signal(SIGHUP);
  }
  // Sends a request on a new connection and does not wait for its answer.
  void send_request(std::size_t router) {
    auto stream = std::make_unique<net::Stream>(net::Stream::Callbacks{
        .connected = [] {}, .arrived = [](std::string_view) {}, .drained = [] {}, .ended = [] {}});
    REQUIRE(stream->connect(net::parse_address(addresses_[router]).get()));
    stream->write(testing::write_router_request(++request_count_));
    streams_.push_back(std::move(stream));
  }
  void send_request_to_all() {
    for (std::size_t i = 0; i < size(); ++i) send_request(i);
  }
  // Sends requests to all routers for this time.
  void send_requests_for(Time time) {
    const Time end = net::now_us() + time;
    while (net::now_us() < end) {
      send_request_to_all();
      run_until([] { return false; }, kRequestInterval);
    }
  }

  // Loses this fraction of the datagrams from the first router to the second.
  void lose_datagrams(double fraction) {
    link_->set_faults(FaultyLink::forward, {.loss_fraction = fraction});
  }
  std::uint64_t lost_datagrams() const { return link_->metrics().lost; }

  CountingReplica draining, staying, also_draining;
  // Returns the entries of discovery's list, with this state of the replicas that are going to drain.
  std::string entries(const std::string& state) const {
    const std::string two = draining.entry("s-01", state) + "," + staying.entry("s-02", "SERVING");
    if (draining_choice_ == Draining::one_of_two) return two;
    return two + "," + also_draining.entry("s-03", state);
  }

 private:
  void start_all(const SlowDiscovery& discovery) {
    for (std::size_t i = 0; i < paths_.size(); ++i) {
      write_config(i, discovery);
      programs_.push_back(std::make_unique<Program>(paths_[i]));
      addresses_.push_back(programs_.back()->serving_address());
    }
  }
  void open_link() {
    link_ = std::make_unique<FaultyLink>(1);
    datagram_addresses_ = {testing::free_datagram_address(), testing::free_datagram_address()};
    link_->set_first_target(datagram_addresses_[0], "");
    link_->set_second_target(datagram_addresses_[1], "");
  }
  void write_config(std::size_t router, const SlowDiscovery& discovery) const {
    testing::RouterConfig config{.rank = router,
                                 .group_size = paths_.size(),
                                 .discovery = discovery.address(),
                                 .known = entries("SERVING")};
    if (link_) {
      config.all_peers = router == 0 ? link_->address_of_second() : link_->address_of_first();
      config.peers = {config.all_peers, config.all_peers};
      config.peers[router] = datagram_addresses_[router];
    }
    const std::string new_path = paths_[router] + ".new";
    std::ofstream(new_path) << testing::write_router_config(config);
    REQUIRE(std::rename(new_path.c_str(), paths_[router].c_str()) == 0);
  }

  Draining draining_choice_;
  std::unique_ptr<FaultyLink> link_;
  std::vector<std::string> paths_, datagram_addresses_, addresses_;
  std::vector<std::unique_ptr<Program>> programs_;
  std::vector<std::unique_ptr<net::Stream>> streams_;
  std::size_t request_count_ = 0;
};

}  // namespace

TEST_CASE(
    "routers whose new discovery answers after two seconds learn of a drain before they count as informed") {
  SlowDiscovery quick(0), slow(seconds(2));
  Fleet fleet(6, Fleet::Peers::off, quick);
  quick.publish(1, fleet.entries("SERVING"));
  REQUIRE(run_until([&] { return quick.answers() >= fleet.size(); }, seconds(10)));
  fleet.send_requests_for(kSecond);
  REQUIRE(fleet.draining.requests() > 0);
  slow.publish(2, fleet.entries("DRAINING"));
  const Time changed_at = net::now_us();
  for (std::size_t i = 0; i < fleet.size(); ++i) fleet.move_discovery(i, slow);
  run_until([] { return false; }, kForbiddenAfter);
  fleet.send_requests_for(kObservationTime);
  INFO("calls of the slow discovery: " << slow.calls() << ", answered: " << slow.answers());
  CHECK(fleet.staying.requests_after(changed_at + kForbiddenAfter) > 0);
  CHECK(fleet.draining.requests_after(changed_at + kForbiddenAfter) == 0);
}

TEST_CASE("a drain that one router learns of from a full list reaches a peer whose discovery is silent") {
  SlowDiscovery quick(0), next(0), silent(0, SlowDiscovery::Behaviour::stays_silent);
  Fleet fleet(2, Fleet::Peers::pair_over_faulty_link, quick);
  quick.publish(1, fleet.entries("SERVING"));
  REQUIRE(run_until([&] { return quick.answers() >= fleet.size(); }, seconds(10)));
  next.publish(2, fleet.entries("DRAINING"));
  fleet.move_discovery(1, silent);
  REQUIRE(run_until([&] { return silent.calls() > 0; }, seconds(10)));
  fleet.move_discovery(0, next);
  REQUIRE(run_until([&] { return next.answers() > 0; }, seconds(10)));
  const Time changed_at = net::now_us();
  run_until([] { return false; }, kForbiddenAfter);
  fleet.send_requests_for(kObservationTime);
  CHECK(fleet.staying.requests_after(changed_at + kForbiddenAfter) > 0);
  CHECK(fleet.draining.requests_after(changed_at + kForbiddenAfter) == 0);
}

TEST_CASE("a drain report whose first datagram is lost still reaches the peer") {
  SlowDiscovery quick(0), silent(0, SlowDiscovery::Behaviour::stays_silent);
  Fleet fleet(2, Fleet::Peers::pair_over_faulty_link, quick);
  quick.publish(1, fleet.entries("SERVING"));
  REQUIRE(run_until([&] { return quick.answers() >= fleet.size(); }, seconds(10)));
  fleet.move_discovery(1, silent);
  REQUIRE(run_until([&] { return silent.calls() > 0; }, seconds(10)));
  fleet.lose_datagrams(1);
  quick.publish(2, fleet.entries("DRAINING"));
  REQUIRE(run_until([&] { return fleet.lost_datagrams() > 0; }, seconds(10)));
  fleet.lose_datagrams(0);
  const Time changed_at = net::now_us();
  run_until([] { return false; }, kForbiddenAfter);
  fleet.send_requests_for(kObservationTime);
  CHECK(fleet.staying.requests_after(changed_at + kForbiddenAfter) > 0);
  CHECK(fleet.draining.requests_after(changed_at + kForbiddenAfter) == 0);
}

TEST_CASE("drains of more than half of the replicas reach a peer whose discovery is silent") {
  SlowDiscovery quick(0), silent(0, SlowDiscovery::Behaviour::stays_silent);
  Fleet fleet(2, Fleet::Peers::pair_over_faulty_link, quick, Fleet::Draining::two_of_three);
  quick.publish(1, fleet.entries("SERVING"));
  REQUIRE(run_until([&] { return quick.answers() >= fleet.size(); }, seconds(10)));
  fleet.move_discovery(1, silent);
  REQUIRE(run_until([&] { return silent.calls() > 0; }, seconds(10)));
  quick.publish(2, fleet.entries("DRAINING"));
  const Time changed_at = net::now_us();
  run_until([] { return false; }, kForbiddenAfter);
  fleet.send_requests_for(kObservationTime);
  CHECK(fleet.staying.requests_after(changed_at + kForbiddenAfter) > 0);
  CHECK(fleet.draining.requests_after(changed_at + kForbiddenAfter) == 0);
  CHECK(fleet.also_draining.requests_after(changed_at + kForbiddenAfter) == 0);
}

TEST_CASE(
    "routers killed and started again behind a slow discovery, with an old list, learn of a drain in time") {
  SlowDiscovery slow(seconds(2));
  slow.publish(2, "");
  Fleet fleet(4, Fleet::Peers::off, slow);
  slow.publish(2, fleet.entries("DRAINING"));
  fleet.restart_all(SIGKILL, slow);
  const Time started_at = net::now_us();
  run_until([] { return false; }, kForbiddenAfter);
  fleet.send_requests_for(kObservationTime);
  CHECK(fleet.staying.requests_after(started_at + kForbiddenAfter) > 0);
  CHECK(fleet.draining.requests_after(started_at + kForbiddenAfter) == 0);
}
