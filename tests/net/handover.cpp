// Hand-overs between two real processes at one address: a successor takes over, or fails to, and no client's
// request is lost.
#include "net/handover.hpp"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <sys/un.h>

#include <atomic>
#include <filesystem>
#include <optional>
#include <thread>

#include "../store/scratch.hpp"
#include "http/http.hpp"
#include "program.hpp"
#include "socket.hpp"

using namespace thornwick;
using thornwick::testing::Program;
using thornwick::testing::Scratch;
using thornwick::testing::Socket;
using thornwick::testing::write_bytes;

namespace {

// A blocking client socket. Reading ends after 20 s without a byte.
class ClientSocket {
 public:
  explicit ClientSocket(int port) : fd_(new_socket(AF_INET)) {
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<std::uint16_t>(port));
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(connect(fd_, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0);
  }
  explicit ClientSocket(const std::string& path) : fd_(new_socket(AF_UNIX)) {
    const sockaddr_un to = unix_address(path);
    REQUIRE(connect(fd_, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0);
  }
  static sockaddr_un unix_address(const std::string& path) {
    sockaddr_un to{};
    to.sun_family = AF_UNIX;
    path.copy(to.sun_path, sizeof to.sun_path - 1);
    return to;
  }
  ~ClientSocket() { close(fd_); }
  ClientSocket(const ClientSocket&) = delete;
  ClientSocket& operator=(const ClientSocket&) = delete;

  void send(const std::string& text) {
    REQUIRE(write(fd_, text.data(), text.size()) == static_cast<ssize_t>(text.size()));
  }
  // Returns the bytes up to and including this text, or all bytes if the connection ends first.
  std::string read_until(const std::string& text) {
    std::string received;
    for (char c = 0; received.find(text) == std::string::npos && read(fd_, &c, 1) == 1;) received += c;
    return received;
  }

  static int new_socket(int family) {
    const int fd = socket(family, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval timeout{.tv_sec = 20, .tv_usec = 0};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    return fd;
  }

 private:
  int fd_;
};

std::string call_admin_endpoint(int port, const std::string& line) {
  ClientSocket client(port);
  client.send(line + "\n");
  return client.read_until("\n");
}

// Returns the first line of the answer to a health check.
std::string health_status(int port) {
  ClientSocket client(port);
  client.send("GET /health/ready HTTP/1.1\r\nConnection: close\r\n\r\n");
  return client.read_until("\r\n");
}

// A replica that answers one request in two steps, begin() and finish().
class Replica {
 public:
  Replica() {
    const std::string address = listener_.bind_any_port();
    port = std::stoi(address.substr(address.rfind(':') + 1));
    listener_.start_listening();
  }
  void begin() {
    attempt_ = listener_.accept_one();
    REQUIRE(attempt_->read_until("}]}").ends_with("}]}"));
    send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" +
         http::write_chunk(
             "data: "
             "{\"choices\":[{\"index\":0,\"delta\":{\"content\":\"begins\"},\"finish_reason\":null}]}\n\n"));
  }
  // Acts as discovery: answers one call with this list, and leaves the next call, a watch, without an answer.
  void answer_discovery_call(const std::string& list) {
    attempt_ = listener_.accept_one();
    attempt_->read_until("\r\n\r\n");
    send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" + list);
    CHECK(attempt_->read_until("\r\n\r\n").find("?after=2&") != std::string::npos);
  }
  void finish() { send(http::write_chunk("data: [DONE]\n\n") + std::string(http::kLastChunk)); }
  int port = 0;

 private:
  void send(const std::string& text) { attempt_->send_all(text); }
  Socket listener_;
  std::optional<Socket> attempt_;
};

std::string request_text() {
  const std::string body =
      R"({"model":"m","stream":true,"max_tokens":50,"messages":[{"role":"user","content":"hi"}]})";
  return "POST /v1/chat/completions HTTP/1.1\r\nHost: b\r\nX-Request-ID: r1\r\nX-Priority-Class: chat\r\n"
         "X-Tenant-Id: acme\r\nX-Timeout-Ms: 9000\r\nX-Attrs: prompt_len=40,max_out=50\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

// A router with an admin endpoint, and the ports that the router has logged.
struct ServingRouter {
  ServingRouter(const std::string& config, const std::string& folder) : program(config, "text", folder) {
    front = port_in(program.wait_for_line("platform front on"));
    admin_endpoint = port_in(program.wait_for_line("admin endpoint on"));
    REQUIRE(program.wait_for_line("n1 serves on") != "");
  }
  static int port_in(const std::string& line) { return std::atoi(line.substr(line.rfind(':') + 1).c_str()); }
  Program program;
  int front = 0;
  int admin_endpoint = 0;
};

// The configuration and the folder that the processes of a hand-over share.
struct SharedFiles {
  explicit SharedFiles(int replica = 1, int discovery = 1)
      : config(scratch.path("config.json")), tmp(scratch.path("tmp")) {
    std::filesystem::create_directory(tmp);
    write_bytes(
        config,
        R"({"name":"n1","listen":"127.0.0.1:0","ops":"127.0.0.1:0","discovery":"127.0.0.1:)" +
            std::to_string(discovery) +
            R"(","seed":"ff",)"
            R"("known":{"rev":1,"all":true,"targets":[{"uid":"s-1","endpoint":"127.0.0.1:)" +
            std::to_string(replica) +
            R"(","state":"SERVING"}]},"settings":{"grades":[{"name":"chat","objective":4000000,"deadline":9000000,"streamed":true}],"tenants":[{"name":"acme","share":1}]}})");
    path = net::handover_path(tmp, "n1", "127.0.0.1:0");
  }
  Scratch scratch;
  std::string config;
  std::string tmp;
  std::string path;
};

}  // namespace

TEST_CASE("two handovers in a row reject no client, and a stream that lasts through both is completed") {
  Replica replica;
  SharedFiles files(replica.port);
  ServingRouter first(files.config, files.tmp);
  ClientSocket stream(first.front);
  stream.send(request_text());
  replica.begin();
  CHECK(stream.read_until("begins").starts_with("HTTP/1.1 200"));
  // Connects before the hand-over, and sends its request after the hand-over.
  ClientSocket early_client(first.front);
  std::atomic<bool> over = false;
  int received = 0;
  int sent = 0;
  std::thread health_checks([&] {
    for (; !over; ++sent) {
      if (health_status(first.front).starts_with("HTTP/1.1 200")) ++received;
    }
  });
  ServingRouter second(files.config, files.tmp);
  CHECK(second.front == first.front);
  CHECK(first.program.wait_for_line("handed-over: a successor serves, 1 requests in flight") != "");
  CHECK(call_admin_endpoint(first.admin_endpoint, "HEALTH") == "-ERR handed-over\n");
  CHECK(call_admin_endpoint(second.admin_endpoint, "HEALTH") == "+OK serving\n");
  early_client.send("GET /health/ready HTTP/1.1\r\n\r\n");
  const std::string answer = early_client.read_until("}");
  CHECK(answer.starts_with("HTTP/1.1 200"));
  CHECK(answer.find("Connection: close") != std::string::npos);
  ServingRouter third(files.config, files.tmp);
  CHECK(second.program.wait_for_line("handed-over: a successor serves") != "");
  CHECK(second.program.wait_for_exit() == 0);  // the second process has no request to finish
  first.program.signal(SIGTERM);
  replica.finish();
  CHECK(stream.read_until("0\r\n\r\n").find("[DONE]") != std::string::npos);
  CHECK(first.program.wait_for_exit() == 0);
  over = true;
  health_checks.join();
  CHECK(received == sent);
  CHECK(health_status(third.front).starts_with("HTTP/1.1 200"));
}

TEST_CASE(
    "a request that is half read at the handover is completed by the process that read its first half") {
  Replica replica;
  SharedFiles files(replica.port);
  ServingRouter first(files.config, files.tmp);
  ClientSocket half_read_client(first.front);
  // The answer shows that the first process has accepted the connection.
  half_read_client.send("GET /health/ready HTTP/1.1\r\n\r\n");
  CHECK(half_read_client.read_until("}").starts_with("HTTP/1.1 200"));
  const std::string request = request_text();
  half_read_client.send(request.substr(0, 60));
  ServingRouter second(files.config, files.tmp);
  CHECK(first.program.wait_for_line("handed-over: a successor serves") != "");
  half_read_client.send(request.substr(60));
  replica.begin();
  replica.finish();
  const std::string answer = half_read_client.read_until("0\r\n\r\n");
  CHECK(answer.find("[DONE]") != std::string::npos);
  CHECK(answer.find("Connection: close") != std::string::npos);
  CHECK(first.program.wait_for_exit() == 0);
  CHECK(health_status(second.front).starts_with("HTTP/1.1 200"));
}

// The new process has an old list in its configuration, and gets no answer from discovery.
TEST_CASE("the new process uses the old one's endpoint list if that is newer than its configuration's") {
  Replica old_replica;
  Replica new_replica;
  Replica discovery;
  SharedFiles files(old_replica.port, discovery.port);
  ServingRouter first(files.config, files.tmp);
  discovery.answer_discovery_call(R"({"rev":2,"all":true,"targets":[{"uid":"s-2","endpoint":"127.0.0.1:)" +
                                  std::to_string(new_replica.port) + R"(","state":"SERVING"}]})");
  ServingRouter second(files.config, files.tmp);
  CHECK(first.program.wait_for_line("handed-over: a successor serves") != "");
  ClientSocket client(second.front);
  client.send(request_text());
  new_replica.begin();
  new_replica.finish();
  CHECK(client.read_until("0\r\n\r\n").find("[DONE]") != std::string::npos);
}

TEST_CASE(
    "after the loss of a successor the old process continues to serve, whether or not the successor has "
    "served") {
  Replica replica;
  SharedFiles files(replica.port);
  ServingRouter first(files.config, files.tmp);
  { ClientSocket lost_successor(files.path); }
  CHECK(first.program.wait_for_line("the successor disconnected before it was serving") != "");
  ClientSocket stream(first.front);  // keeps the old process from exiting
  stream.send(request_text());
  replica.begin();
  CHECK(stream.read_until("begins") != "");
  {
    ServingRouter second(files.config, files.tmp);
    CHECK(first.program.wait_for_line("handed-over: a successor serves") != "");
  }
  CHECK(first.program.wait_for_line("serving: the successor has exited") != "");
  CHECK(health_status(first.front).starts_with("HTTP/1.1 200"));
  CHECK(call_admin_endpoint(first.admin_endpoint, "LEAVE") == "+OK drained\n");
  // A drain applies to the router, whichever of its processes serves.
  ServingRouter third(files.config, files.tmp);
  CHECK(first.program.wait_for_line("handed-over: a successor serves") != "");
  CHECK(health_status(third.front).starts_with("HTTP/1.1 503"));
  CHECK(call_admin_endpoint(third.admin_endpoint, "JOIN") == "+OK serving\n");
}

TEST_CASE(
    "a process starts without a hand-over if the socket file is stale, or the offer missing, malformed or of "
    "another version") {
  SharedFiles files;
  {
    ServingRouter killed(files.config, files.tmp);
    killed.program.signal(SIGKILL);
    killed.program.wait_for_exit();
  }
  REQUIRE(std::filesystem::exists(files.path));
  {
    ServingRouter again(files.config, files.tmp);
    CHECK(health_status(again.front).starts_with("HTTP/1.1 200"));
    again.program.signal(SIGKILL);
    again.program.wait_for_exit();
  }
  for (const std::string& offer :
       {std::string(), std::string("another version of it"), std::string("1HWT\xff\xff\xff\xff"),
        std::string("1HWT\x03\0\0\0abc", 11)}) {
    std::filesystem::remove(files.path);
    const int listener = socket(AF_UNIX, SOCK_STREAM, 0);
    const sockaddr_un address = ClientSocket::unix_address(files.path);
    REQUIRE(bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
    REQUIRE(listen(listener, 1) == 0);
    std::thread host([&] {
      const int accepted = accept(listener, nullptr, nullptr);
      if (write(accepted, offer.data(), offer.size()) < 0) return;
      char none = 0;
      while (read(accepted, &none, 1) > 0) {
      }
      close(accepted);
    });
    Program program(files.config, "text", files.tmp);
    CHECK(program.wait_for_line("handover from the process at ").find(" failed: ") != std::string::npos);
    CHECK(program.wait_for_line("n1 serves on") != "");
    host.join();
    close(listener);
  }
  Program elsewhere(files.config, "text", files.scratch.path("no such folder"));
  CHECK(elsewhere.wait_for_line("no successor can come") != "");
  CHECK(elsewhere.wait_for_line("n1 serves on") != "");
}

TEST_CASE("SIGTERM before the successor serves is a graceful shutdown") {
  SharedFiles files;
  ServingRouter first(files.config, files.tmp);
  ClientSocket waiting_successor(files.path);
  CHECK(first.program.wait_for_line("successor connected") != "");
  first.program.signal(SIGTERM);
  CHECK(first.program.wait_for_line("winding-down: shutdown requested") != "");
  CHECK(health_status(first.front).starts_with("HTTP/1.1 503"));
  CHECK(first.program.wait_for_exit() == 0);
}
