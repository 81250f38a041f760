// A small HTTP/1.1 server for stand-ins: whole requests in, bytes out. One loop, no limits of its own beyond
// the reader's; not for service.
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <string>

#include "http/http.hpp"
#include "net/loop.hpp"

namespace thornwick::testbed {

class Server {
 public:
  // A connection that a client keeps. It lives until the client has gone and sweep() was called.
  struct Connection {
    std::unique_ptr<net::Stream> stream;
    http::MessageReader reader{http::MessageReader::Kind::request};
    std::string body;
    std::uint64_t number = 0;  // never used again
    bool open() const { return stream->open(); }
    void write(std::string bytes) {
      if (open()) stream->write(std::move(bytes));
    }
  };
  // Throws net::NetError if it cannot listen. `asked` gets each whole request.
  Server(const std::string& address, std::function<void(Connection&)> asked);

  std::string address() const { return listener_->address(); }
  Connection* find(std::uint64_t number);
  std::list<std::unique_ptr<Connection>>& lines() { return lines_; }

 private:
  void accept(net::Owned<GSocket> socket);
  void arrived(Connection& line, std::string_view bytes);
  void sweep();

  std::function<void(Connection&)> asked_;
  std::list<std::unique_ptr<Connection>> lines_;
  std::uint64_t last_ = 0;
  std::unique_ptr<net::Listener> listener_;
};

}  // namespace thornwick::testbed
