// Two real processes at one address: a successor takes over, or does not, and no client is turned back
// unheard.
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

// A blocking socket; whatever it waits for comes, or fails the test after 20 s.
class Wire {
 public:
  explicit Wire(int port) : fd_(made(AF_INET)) {
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<std::uint16_t>(port));
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(connect(fd_, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0);
  }
  explicit Wire(const std::string& path) : fd_(made(AF_UNIX)) {
    const sockaddr_un to = at(path);
    REQUIRE(connect(fd_, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0);
  }
  static sockaddr_un at(const std::string& path) {
    sockaddr_un to{};
    to.sun_family = AF_UNIX;
    path.copy(to.sun_path, sizeof to.sun_path - 1);
    return to;
  }
  ~Wire() { close(fd_); }
  Wire(const Wire&) = delete;
  Wire& operator=(const Wire&) = delete;

  void send(const std::string& text) {
    REQUIRE(write(fd_, text.data(), text.size()) == static_cast<ssize_t>(text.size()));
  }
  // All up to this text; up to the end of the connection if it never comes.
  std::string until(const std::string& text) {
    std::string got;
    for (char c = 0; got.find(text) == std::string::npos && read(fd_, &c, 1) == 1;) got += c;
    return got;
  }

  static int made(int family) {
    const int fd = socket(family, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval most{.tv_sec = 20, .tv_usec = 0};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &most, sizeof most);
    return fd;
  }

 private:
  int fd_;
};

std::string call(int port, const std::string& word) {
  Wire wire(port);
  wire.send(word + "\n");
  return wire.until("\n");
}

std::string ready(int port) {
  Wire wire(port);
  wire.send("GET /health/ready HTTP/1.1\r\nConnection: close\r\n\r\n");
  return wire.until("\r\n");
}

// A replica that answers one request in two parts: begin() and finish().
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
    say("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" +
        http::write_chunk(
            "data: "
            "{\"choices\":[{\"index\":0,\"delta\":{\"content\":\"begins\"},\"finish_reason\":null}]}\n\n"));
  }
  // As discovery: one call is answered with this list, and the next one, a watch, is left waiting.
  void tell(const std::string& list) {
    attempt_ = listener_.accept_one();
    attempt_->read_until("\r\n\r\n");
    say("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" + list);
    CHECK(attempt_->read_until("\r\n\r\n").find("?after=2&") != std::string::npos);
  }
  void finish() { say(http::write_chunk("data: [DONE]\n\n") + std::string(http::kLastChunk)); }
  int port = 0;

 private:
  void say(const std::string& text) { attempt_->send_all(text); }
  Socket listener_;
  std::optional<Socket> attempt_;
};

std::string ask() {
  const std::string body =
      R"({"model":"m","stream":true,"max_tokens":50,"messages":[{"role":"user","content":"hi"}]})";
  return "POST /v1/chat/completions HTTP/1.1\r\nHost: b\r\nX-Request-ID: r1\r\nX-Priority-Class: chat\r\n"
         "X-Tenant-Id: acme\r\nX-Timeout-Ms: 9000\r\nX-Attrs: prompt_len=40,max_out=50\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

// A router with a admin endpoint; its ports as it says them.
struct Serving {
  Serving(const std::string& config, const std::string& folder) : program(config, "text", folder) {
    front = port_in(program.wait_for_line("platform front on"));
    admin_endpoint = port_in(program.wait_for_line("admin endpoint on"));
    REQUIRE(program.wait_for_line("n1 serves on") != "");
  }
  static int port_in(const std::string& line) { return std::atoi(line.substr(line.rfind(':') + 1).c_str()); }
  Program program;
  int front = 0;
  int admin_endpoint = 0;
};

struct Place {
  explicit Place(int replica = 1, int discovery = 1)
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
  Place place(replica.port);
  Serving first(place.config, place.tmp);
  Wire stream(first.front);
  stream.send(ask());
  replica.begin();
  CHECK(stream.until("begins").starts_with("HTTP/1.1 200"));
  Wire early(first.front);  // connects before the handover and sends its request after it
  std::atomic<bool> over = false;
  int received = 0;
  int sent = 0;
  std::thread crowd([&] {
    for (; !over; ++sent) {
      if (ready(first.front).starts_with("HTTP/1.1 200")) ++received;
    }
  });
  Serving second(place.config, place.tmp);
  CHECK(second.front == first.front);
  CHECK(first.program.wait_for_line("handed-over: a successor serves, 1 requests in flight") != "");
  CHECK(call(first.admin_endpoint, "HEALTH") == "-ERR handed-over\n");
  CHECK(call(second.admin_endpoint, "HEALTH") == "+OK serving\n");
  early.send("GET /health/ready HTTP/1.1\r\n\r\n");
  const std::string answer = early.until("}");
  CHECK(answer.starts_with("HTTP/1.1 200"));
  CHECK(answer.find("Connection: close") != std::string::npos);
  Serving third(place.config, place.tmp);
  CHECK(second.program.wait_for_line("handed-over: a successor serves") != "");
  CHECK(second.program.wait_for_exit() == 0);  // it has nothing to finish
  first.program.signal(SIGTERM);
  replica.finish();
  CHECK(stream.until("0\r\n\r\n").find("[DONE]") != std::string::npos);
  CHECK(first.program.wait_for_exit() == 0);
  over = true;
  crowd.join();
  CHECK(received == sent);
  CHECK(ready(third.front).starts_with("HTTP/1.1 200"));
}

TEST_CASE(
    "a request that is half read at the handover is completed by the process that read its first half") {
  Replica replica;
  Place place(replica.port);
  Serving first(place.config, place.tmp);
  Wire half(first.front);
  half.send("GET /health/ready HTTP/1.1\r\n\r\n");  // so that it is this process that has the connection
  CHECK(half.until("}").starts_with("HTTP/1.1 200"));
  const std::string request = ask();
  half.send(request.substr(0, 60));
  Serving second(place.config, place.tmp);
  CHECK(first.program.wait_for_line("handed-over: a successor serves") != "");
  half.send(request.substr(60));
  replica.begin();
  replica.finish();
  const std::string answer = half.until("0\r\n\r\n");
  CHECK(answer.find("[DONE]") != std::string::npos);
  CHECK(answer.find("Connection: close") != std::string::npos);
  CHECK(first.program.wait_for_exit() == 0);
  CHECK(ready(second.front).starts_with("HTTP/1.1 200"));
}

// The new process has an old list in its configuration, and discovery says nothing to it.
TEST_CASE("the new process uses the old one's endpoint list if that is newer than its configuration's") {
  Replica old_replica;
  Replica new_replica;
  Replica discovery;
  Place place(old_replica.port, discovery.port);
  Serving first(place.config, place.tmp);
  discovery.tell(R"({"rev":2,"all":true,"targets":[{"uid":"s-2","endpoint":"127.0.0.1:)" +
                 std::to_string(new_replica.port) + R"(","state":"SERVING"}]})");
  Serving second(place.config, place.tmp);
  CHECK(first.program.wait_for_line("handed-over: a successor serves") != "");
  Wire client(second.front);
  client.send(ask());
  new_replica.begin();
  new_replica.finish();
  CHECK(client.until("0\r\n\r\n").find("[DONE]") != std::string::npos);
}

TEST_CASE(
    "after the loss of a successor the old process serves on, whether or not the successor has served") {
  Replica replica;
  Place place(replica.port);
  Serving first(place.config, place.tmp);
  { Wire dies(place.path); }
  CHECK(first.program.wait_for_line("the successor disconnected before it was serving") != "");
  Wire stream(first.front);  // keeps the old process in work
  stream.send(ask());
  replica.begin();
  CHECK(stream.until("begins") != "");
  {
    Serving second(place.config, place.tmp);
    CHECK(first.program.wait_for_line("handed-over: a successor serves") != "");
  }
  CHECK(first.program.wait_for_line("serving: the successor is gone") != "");
  CHECK(ready(first.front).starts_with("HTTP/1.1 200"));
  CHECK(call(first.admin_endpoint, "LEAVE") == "+OK drained\n");
  Serving third(place.config, place.tmp);  // a drain holds for the router, whichever process serves it
  CHECK(first.program.wait_for_line("handed-over: a successor serves") != "");
  CHECK(ready(third.front).starts_with("HTTP/1.1 503"));
  CHECK(call(third.admin_endpoint, "JOIN") == "+OK serving\n");
}

TEST_CASE("a socket file that is stale, silent, of another version or malformed leads to an ordinary start") {
  Place place;
  {
    Serving killed(place.config, place.tmp);
    killed.program.signal(SIGKILL);
    killed.program.wait_for_exit();
  }
  REQUIRE(std::filesystem::exists(place.path));
  {
    Serving again(place.config, place.tmp);
    CHECK(ready(again.front).starts_with("HTTP/1.1 200"));
    again.program.signal(SIGKILL);
    again.program.wait_for_exit();
  }
  for (const std::string& said :
       {std::string(), std::string("another version of it"), std::string("1HWT\xff\xff\xff\xff"),
        std::string("1HWT\x03\0\0\0abc", 11)}) {
    std::filesystem::remove(place.path);
    const int listener = socket(AF_UNIX, SOCK_STREAM, 0);
    const sockaddr_un own = Wire::at(place.path);
    REQUIRE(bind(listener, reinterpret_cast<const sockaddr*>(&own), sizeof own) == 0);
    REQUIRE(listen(listener, 1) == 0);
    std::thread host([&] {
      const int come = accept(listener, nullptr, nullptr);
      if (write(come, said.data(), said.size()) < 0) return;
      char none = 0;
      while (read(come, &none, 1) > 0) {
      }
      close(come);
    });
    Program program(place.config, "text", place.tmp);
    CHECK(program.wait_for_line("handover from the process at ").find(" failed: ") != std::string::npos);
    CHECK(program.wait_for_line("n1 serves on") != "");
    host.join();
    close(listener);
  }
  Program elsewhere(place.config, "text", place.scratch.path("no such folder"));
  CHECK(elsewhere.wait_for_line("no successor can come") != "");
  CHECK(elsewhere.wait_for_line("n1 serves on") != "");
}

TEST_CASE("SIGTERM before the successor serves is a graceful shutdown") {
  Place place;
  Serving first(place.config, place.tmp);
  Wire waits(place.path);
  CHECK(first.program.wait_for_line("successor connected") != "");
  first.program.signal(SIGTERM);
  CHECK(first.program.wait_for_line("winding-down: shutdown requested") != "");
  CHECK(ready(first.front).starts_with("HTTP/1.1 503"));
  CHECK(first.program.wait_for_exit() == 0);
}
