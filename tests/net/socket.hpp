// A blocking socket on loopback, for tests that talk to processes: whatever it waits for comes, or the test
// fails.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <string>
#include <utility>

namespace thornwick::testing {

constexpr int kTimeoutMs = 20'000;  // far above any wait in a test: only a hang reaches it

class Socket {
 public:
  explicit Socket(int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) : fd_(fd) {}
  Socket(Socket&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Socket& operator=(Socket&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
  }
  ~Socket() {
    if (fd_ >= 0) close(fd_);
  }
  int fd() const { return fd_; }

  // At a port of the system's choice; nobody is let in before listen().
  std::string bind_any_port() {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(bind(fd_, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0);
    socklen_t size = sizeof at;
    REQUIRE(getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &size) == 0);
    return "127.0.0.1:" + std::to_string(ntohs(at.sin_port));
  }
  void start_listening() { REQUIRE(listen(fd_, 64) == 0); }
  Socket accept_one() {
    REQUIRE(ready());
    return Socket(accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC));
  }
  bool connect_to(const std::string& address) {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    at.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1))));
    return connect(fd_, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0;
  }
  void send_all(const std::string& bytes) {
    REQUIRE(::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size()));
  }
  // What comes up to this text, and no byte behind it; all of it if the other side ends before.
  std::string read_until(const std::string& text) {
    std::string got;
    for (char c = 0; !got.ends_with(text) && ready() && recv(fd_, &c, 1, 0) == 1;) got += c;
    return got;
  }

 private:
  bool ready() const {
    pollfd asked{fd_, POLLIN, 0};
    return poll(&asked, 1, kTimeoutMs) == 1;
  }
  int fd_;
};

}  // namespace thornwick::testing
