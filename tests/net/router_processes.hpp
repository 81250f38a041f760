// Real router processes at one address, and their clients, for tests of hand-overs and of limits.
#pragma once

#include <arpa/inet.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdlib>
#include <filesystem>
#include <string>

#include "../store/scratch.hpp"
#include "net/handover.hpp"
#include "program.hpp"

namespace thornwick::testing {

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

inline std::string call_admin_endpoint(int port, const std::string& line) {
  ClientSocket client(port);
  client.send(line + "\n");
  return client.read_until("\n");
}

// A request with this id, which the client gives up after `timeout_ms`.
inline std::string request_text(const std::string& id = "r1", int timeout_ms = 9000) {
  const std::string body =
      R"({"model":"m","stream":true,"max_tokens":50,"messages":[{"role":"user","content":"hi"}]})";
  return "POST /v1/chat/completions HTTP/1.1\r\nHost: b\r\nX-Request-ID: " + id +
         "\r\nX-Priority-Class: chat\r\nX-Tenant-Id: acme\r\nX-Timeout-Ms: " + std::to_string(timeout_ms) +
         "\r\nX-Attrs: prompt_len=40,max_out=50\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

// A router with an admin endpoint, and the ports that the router has logged.
struct ServingRouter {
  ServingRouter(const std::string& config, const std::string& folder, const std::string& operator_file = {})
      : program(config, "text", folder, {}, operator_file) {
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
  // `limits`: the JSON object of the limits, empty for the default. `class_rules`: further members of the
  // class of all requests, each with a comma before it.
  explicit SharedFiles(int replica = 1, int discovery = 1, const std::string& limits = {},
                       const std::string& class_rules = {})
      : config(scratch.path("config.json")), tmp(scratch.path("tmp")) {
    std::filesystem::create_directory(tmp);
    write_bytes(
        config,
        R"({"name":"n1","listen":"127.0.0.1:0","ops":"127.0.0.1:0","discovery":"127.0.0.1:)" +
            std::to_string(discovery) + R"(","seed":"ff",)" +
            (limits.empty() ? std::string() : "\"limits\":" + limits + ",") +
            R"("known":{"rev":1,"all":true,"targets":[{"uid":"s-1","endpoint":"127.0.0.1:)" +
            std::to_string(replica) +
            R"(","state":"SERVING"}]},"settings":{"grades":[{"name":"chat","objective":4000000,"deadline":9000000,"streamed":true)" +
            class_rules + R"(}],"tenants":[{"name":"acme","share":1}]}})");
    path = net::handover_path(tmp, "n1", "127.0.0.1:0");
  }
  Scratch scratch;
  std::string config;
  std::string tmp;
  std::string path;
};

}  // namespace thornwick::testing
