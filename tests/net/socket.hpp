// A blocking socket on the loopback interface, for tests with processes. A test fails if what the socket
// waits for does not come in time.
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

constexpr int kTimeoutMs =
    20'000;  // far longer than any wait in a test, so that only a hang reaches this limit

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

  // Binds the socket to a port that the system chooses, and returns the address. Connections are refused
  // until start_listening().
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
    REQUIRE(is_readable());
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
  // Returns the bytes up to and including this text, and leaves later bytes unread. Returns all bytes if the
  // other side ends the connection first.
  std::string read_until(const std::string& text) {
    std::string received;
    for (char c = 0; !received.ends_with(text) && is_readable() && recv(fd_, &c, 1, 0) == 1;) received += c;
    return received;
  }

 private:
  // Waits until bytes or a connection can be read.
  bool is_readable() const {
    pollfd query{fd_, POLLIN, 0};
    return poll(&query, 1, kTimeoutMs) == 1;
  }
  int fd_;
};

}  // namespace thornwick::testing
