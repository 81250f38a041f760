// A router cannot open connections for a while, because it has no free addresses or no route. It must not
// cancel a call that discovery has already received in favour of new calls that fail at once.
#include <catch2/catch.hpp>
#include <cerrno>
#include <fstream>
#include <vector>

#include "../incidents/router_config.hpp"
#include "../incidents/slow_discovery.hpp"
#include "../net/program.hpp"
#include "../net/socket.hpp"
#include "../store/scratch.hpp"
#include "fault_control.hpp"

using namespace thornwick;
using testing::CountingReplica;
using testing::FaultControl;
using testing::Program;
using testing::run_until;
using testing::Scratch;
using testing::Socket;
using testing::SystemCall;

namespace {

constexpr std::size_t kRequests = 12;

std::string ok_answer(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace

TEST_CASE("a call that discovery has received is not given up when new connections fail at once") {
  const int error = GENERATE(EADDRNOTAVAIL, ENETUNREACH, ENOBUFS);
  CAPTURE(error);
  FaultControl faults(1);
  Scratch scratch;
  CountingReplica draining, staying;
  Socket discovery;
  const std::string discovery_address = discovery.bind_any_port();
  discovery.start_listening();
  const std::string config = scratch.path("config.json");
  std::ofstream(config) << testing::write_router_config(
      {.discovery = discovery_address,
       .known = draining.entry("s-01", "SERVING") + "," + staying.entry("s-02", "SERVING")});
  Program router(config, "text", scratch.folder(), faults.environment());
  const std::string address = router.serving_address();

  Socket call = discovery.accept_one();
  call.read_until("\r\n\r\n");
  faults.add({.call = SystemCall::connect, .error = error});
  REQUIRE(router.wait_for_line("call failed: no connection") != "");
  faults.clear();
  call.send_all(ok_answer(R"({"rev":2,"all":true,"targets":[)" + draining.entry("s-01", "DRAINING") + "," +
                          staying.entry("s-02", "SERVING") + "]}"));
  REQUIRE(router.wait_for_line("replica s-01: ready -> draining") != "");

  std::vector<Socket> clients(kRequests);
  for (std::size_t i = 0; i < kRequests; ++i) {
    REQUIRE(clients[i].connect_to(address));
    clients[i].send_all(testing::write_router_request(i));
  }
  run_until([&] { return staying.requests() == kRequests; }, seconds(3));
  CHECK(staying.requests() == kRequests);
  CHECK(draining.requests() == 0);
}
