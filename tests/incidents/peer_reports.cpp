// The effects of a peer's report that a replica drains, on an attempt whose connection is still being
// established and on a process that takes over. A router runs as a process, and the test is its peer.
#include <poll.h>
#include <sys/socket.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <memory>
#include <vector>

#include "../net/program.hpp"
#include "../net/socket.hpp"
#include "../store/scratch.hpp"
#include "core/drain_message.hpp"
#include "net/endpoint_list.hpp"
#include "router_config.hpp"
#include "slow_discovery.hpp"

using namespace thornwick;
using testing::CountingReplica;
using testing::Program;
using testing::run_until;
using testing::Scratch;
using testing::SlowDiscovery;
using testing::Socket;

namespace {

constexpr Time kSecond = seconds(1);
constexpr std::size_t kRequests = 12;
constexpr const char* kDrainingUid = "s-01";

// A replica whose connections are not established before it accepts them, because its queue of connections is
// full.
class SlowAcceptReplica {
 public:
  SlowAcceptReplica() : address_(listener_.bind_any_port()) {
    REQUIRE(listen(listener_.fd(), 0) == 0);
    REQUIRE(queued_connection_.connect_to(address_));
  }
  std::string entry() const { return testing::write_entry(kDrainingUid, address_, "SERVING"); }
  // Lets waiting connections be established when their side tries again.
  void accept_connections() {
    REQUIRE(listen(listener_.fd(), 64) == 0);
    listener_.accept_one();  // the connection that filled the queue
  }
  // Accepts all established connections without waiting.
  void accept_all() {
    pollfd readable{listener_.fd(), POLLIN, 0};
    while (poll(&readable, 1, 0) == 1) accepted_.push_back(listener_.accept_one());
  }
  std::size_t connections() const { return accepted_.size(); }
  // Returns the number of connections on which a request has begun.
  std::size_t requests() const {
    std::size_t begun = 0;
    for (const Socket& connection : accepted_) {
      char first_byte = 0;
      if (recv(connection.fd(), &first_byte, 1, MSG_PEEK | MSG_DONTWAIT) == 1) ++begun;
    }
    return begun;
  }

 private:
  Socket listener_, queued_connection_;
  std::string address_;
  std::vector<Socket> accepted_;
};

// A router with one peer, which is the test, and with a discovery that never answers.
class RouterWithPeer {
 public:
  explicit RouterWithPeer(const std::string& known)
      : discovery_(0, SlowDiscovery::Behaviour::stays_silent),
        peer_(socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0)),
        config_(scratch_.path("config.json")),
        tmp_(scratch_.path("tmp")) {
    std::filesystem::create_directory(tmp_);
    const std::string peer_address = peer_.bind_any_port();
    datagram_address_ = testing::free_datagram_address();
    std::ofstream(config_) << testing::write_router_config({.group_size = 2,
                                                            .discovery = discovery_.address(),
                                                            .known = known,
                                                            .peers = {datagram_address_, peer_address},
                                                            .all_peers = peer_address,
                                                            .admin_endpoint = "127.0.0.1:0",
                                                            .connect_timeout_us = seconds(5)});
    start_process();
  }

  // Starts a process. If one serves already, the new one takes over.
  void start_process() {
    programs_.push_back(std::make_unique<Program>(config_, "text", tmp_));
    address_ = programs_.back()->serving_address();
  }
  Program& first_process() { return *programs_.front(); }

  void report_drain() {
    REQUIRE(peer_.connect_to(datagram_address_));
    const core::DrainReport report{.replica = net::preferred_id(kDrainingUid), .start_stamp = 0};
    peer_.send_all(core::encode_drain_message({&report, 1}));
    REQUIRE(first_process().wait_for_line("a peer reports it draining or removed") != "");
  }
  // Sends each request on a new connection and does not wait for answers.
  void send_requests(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      REQUIRE(clients_.emplace_back().connect_to(address_));
      clients_.back().send_all(testing::write_router_request(clients_.size()));
    }
  }

 private:
  SlowDiscovery discovery_;
  Socket peer_;
  Scratch scratch_;
  std::string config_, tmp_, datagram_address_, address_;
  std::vector<std::unique_ptr<Program>> programs_;
  std::vector<Socket> clients_;
};

}  // namespace

TEST_CASE(
    "a request whose connection is established after a peer has reported the drain goes to another replica") {
  SlowAcceptReplica slow_replica;
  CountingReplica staying;
  RouterWithPeer router(slow_replica.entry() + "," + staying.entry("s-02", "SERVING"));
  router.send_requests(kRequests);
  run_until([&] { return staying.requests() == kRequests; }, kSecond / 2);
  REQUIRE(staying.requests() < kRequests);  // the others wait for their connections
  router.report_drain();
  slow_replica.accept_connections();
  run_until(
      [&] {
        slow_replica.accept_all();
        return staying.requests() == kRequests;
      },
      seconds(3));
  slow_replica.accept_all();
  CHECK(slow_replica.connections() > 0);
  CHECK(slow_replica.requests() == 0);
  CHECK(staying.requests() == kRequests);
}

TEST_CASE("a process that takes over sends nothing to a replica that a peer has reported before") {
  CountingReplica draining, staying;
  RouterWithPeer router(draining.entry(kDrainingUid, "SERVING") + "," + staying.entry("s-02", "SERVING"));
  router.report_drain();
  router.start_process();
  REQUIRE(router.first_process().wait_for_line("handed-over: a successor serves") != "");
  router.send_requests(kRequests);
  run_until([&] { return staying.requests() == kRequests; }, seconds(3));
  CHECK(staying.requests() == kRequests);
  CHECK(draining.requests() == 0);
}
