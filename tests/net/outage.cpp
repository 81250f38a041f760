// Processes of the program while discovery does not answer: idle clients that use all descriptors, and
// starts.
#include <sys/resource.h>
#include <sys/socket.h>

#include <fstream>
#include <memory>
#include <vector>

#include "core/drain_message.hpp"
#include "net/endpoint_list.hpp"
#include "program.hpp"
#include "socket.hpp"

using thornwick::testing::Program;
using thornwick::testing::Socket;

namespace {

std::string entry(const std::string& uid, const std::string& address, const std::string& state) {
  return R"({"uid":")" + uid + R"(","endpoint":")" + address +
         R"(","az":"a","model":"m","pod_group":1,"state":")" + state +
         R"(","capacity_hint":1.0,"boot_ms":0})";
}

std::string request(const std::string& id) {
  return "POST /v1/chat/completions HTTP/1.1\r\nHost: b\r\nX-Request-ID: " + id +
         "\r\nX-Priority-Class: chat\r\nX-Tenant-Id: acme\r\nX-Timeout-Ms: 15000\r\nX-Attrs: "
         "prompt_len=4,max_out=4\r\n"
         "Content-Length: 2\r\n\r\n{}";
}

const std::string kAnswer =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nConnection: "
    "close\r\n\r\n"
    "e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n";

// Opens `count` connections that send nothing. They stay open until the caller destroys them.
std::vector<Socket> open_idle_connections(const std::string& address, int count) {
  std::vector<Socket> connections;
  for (int i = 0; i < count; ++i) {
    Socket connection(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    REQUIRE(connection.fd() >= 0);
    connection.connect_to(address);
    connections.push_back(std::move(connection));
  }
  return connections;
}

// Sends a request, and checks that `replica` gets the request and the client its answer.
void check_served(const std::string& address, Socket& replica, const std::string& id) {
  Socket client;
  REQUIRE(client.connect_to(address));
  client.send_all(request(id));
  Socket attempt = replica.accept_one();
  CHECK(attempt.read_until("\r\n\r\n{}").find("X-Request-ID: " + id) != std::string::npos);
  attempt.send_all(kAnswer);
  CHECK(client.read_until("0\r\n\r\n").find("[DONE]") != std::string::npos);
}

// Writes a configuration, and returns the path of its file.
std::string write_config(const std::string& name, const std::string& listen, const std::string& discovery,
                         const std::string& replica, int sockets, const std::string& more = {},
                         const std::string& more_settings = {}, const std::string& others = {}) {
  const std::string path = "thornwick-outage-" + std::to_string(getpid()) + "-" + name + ".json";
  std::ofstream(path)
      << R"({"name":")" << name << R"(","listen":")" << listen << R"(","discovery":")" << discovery
      << R"(","seed":"ff","limits":{"cores":1,"memory_mb":96,"sockets":)" << sockets
      << R"(},"known":{"rev":1,"all":true,"targets":[)" << entry("s-01", replica, "SERVING") << others
      << "]}," << more << R"("settings":{"registryMode":"ask",)" << more_settings
      << R"("grades":[{"name":"chat","objective":4000000,"deadline":20000000,"streamed":true}],)"
      << R"("tenants":[{"name":"acme","share":1.0}],"policyLimits":{"maxAttempts":5,"peers":true}}})";
  return path;
}

std::string address_of(Program& program) {
  std::string line = program.wait_for_line(" serves on ");
  REQUIRE(line.find("127.0.0.1:") != std::string::npos);
  line = line.substr(line.find("127.0.0.1:"));
  return line.substr(0, line.find(','));
}

bool is_ready(const std::string& address) {
  Socket front;
  if (!front.connect_to(address)) return false;
  front.send_all("GET /health/ready HTTP/1.1\r\nHost: b\r\n\r\n");
  return front.read_until("\r\n\r\n").starts_with("HTTP/1.1 200 ");
}

}  // namespace

TEST_CASE("idle clients that use all descriptors block neither replicas nor discovery when it returns") {
  const int limit = GENERATE(256, 1024);
  rlimit files{};
  REQUIRE(getrlimit(RLIMIT_NOFILE, &files) == 0);
  files.rlim_cur = std::min<rlim_t>(files.rlim_max, 8192);
  REQUIRE(setrlimit(RLIMIT_NOFILE, &files) == 0);
  Socket first;
  Socket second;
  Socket discovery;
  const std::string first_address = first.bind_any_port(), second_address = second.bind_any_port(),
                    discovery_address = discovery.bind_any_port();
  first.start_listening();
  second.start_listening();
  const std::string path = write_config("n1", "127.0.0.1:0", discovery_address, first_address, limit);
  {
    Program program(path);
    const std::string address = address_of(program);
    auto idle = open_idle_connections(address, limit + 60);
    check_served(address, first, "r1");
    // Discovery answers again: the router has a descriptor for the call, and applies the list at once.
    auto more = open_idle_connections(address, limit);
    discovery.start_listening();
    Socket call = discovery.accept_one();
    CHECK(call.read_until("\r\n\r\n").find("GET /registry/instances?after=1&wait_ms=0 ") !=
          std::string::npos);
    const std::string list = R"({"rev":2,"all":true,"targets":[)" + entry("s-01", first_address, "DRAINING") +
                             "," + entry("s-02", second_address, "SERVING") + "]}";
    call.send_all("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" + list);
    CHECK(call.read_until("\r\n\r\n").find("GET /registry/instances?after=2&wait_ms=2500 ") !=
          std::string::npos);
    check_served(address, second, "r2");
    more.clear();
    idle.clear();
    program.signal(SIGTERM);
    CHECK(program.wait_for_exit() == 0);
  }
  std::remove(path.c_str());
}

// The test runs 8 processes; 210 processes were started by hand (docs/standing.md).
TEST_CASE("processes that start together in an outage are ready with the configuration's list, and serve") {
  constexpr int kCount = 8;
  Socket replica;
  Socket discovery;
  const std::string replica_address = replica.bind_any_port(), discovery_address = discovery.bind_any_port();
  replica.start_listening();
  std::vector<std::string> paths, addresses(kCount, "127.0.0.1:0");
  for (const char* start : {"first start", "start after all were killed"}) {
    INFO(start);
    std::vector<std::unique_ptr<Program>> programs;
    for (int i = 0; i < kCount; ++i) {
      const auto index = static_cast<std::size_t>(i);
      paths.push_back(
          write_config("n" + std::to_string(i), addresses[index], discovery_address, replica_address, 256));
      programs.push_back(std::make_unique<Program>(paths.back()));
    }
    for (int i = 0; i < kCount; ++i) {
      const auto index = static_cast<std::size_t>(i);
      addresses[index] = address_of(*programs[index]);
      CHECK(is_ready(addresses[index]));
      check_served(addresses[index], replica, "r" + std::to_string(i));
    }
  }  // the destructor of a Program kills the process (SIGKILL)
  for (const auto& path : paths) std::remove(path.c_str());
}

// A peer's report that s-01 is draining is received although no descriptor is free.
TEST_CASE("a peer's datagram is received while idle clients use all descriptors") {
  Socket first;
  Socket second;
  Socket discovery;
  Socket own(socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0));
  Socket peer(socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0));
  const std::string first_address = first.bind_any_port();
  const std::string second_address = second.bind_any_port();
  const std::string discovery_address = discovery.bind_any_port();
  const std::string own_address = own.bind_any_port();
  const std::string peer_address = peer.bind_any_port();
  { const Socket closed_here = std::move(own); }
  // Nobody listens at the first address, so that the counters would show an attempt there.
  second.start_listening();
  const std::string others =
      "," + entry("s-02", second_address, "SERVING") + "," + entry("s-03", second_address, "SERVING");
  const std::string path = write_config("p1", "127.0.0.1:0", discovery_address, first_address, 256,
                                        R"("peer_listen":")" + own_address + R"(","peers":[")" + own_address +
                                            R"(",")" + peer_address + R"("],)",
                                        R"("groupSize":2,"rank":0,)", others);
  {
    Program program(path);
    const std::string address = address_of(program);
    auto idle = open_idle_connections(address, 320);
    REQUIRE(peer.connect_to(own_address));
    const thornwick::core::DrainReport report{.replica = thornwick::net::preferred_id("s-01"),
                                              .start_stamp = 0};
    peer.send_all(thornwick::core::encode_drain_message({&report, 1}));
    for (int i = 0; i < 12; ++i) check_served(address, second, "r" + std::to_string(i));
    program.signal(SIGUSR1);
    const std::string counters = program.wait_for_line("counters");
    INFO(counters);
    CHECK(counters.find("attempts=12 ") != std::string::npos);
    CHECK(counters.find("attempt_connect_failed") == std::string::npos);
  }
  std::remove(path.c_str());
}
