// A small HTTP/1.1 server for stand-in replicas and discovery, not for production. It passes on complete
// requests, runs in one loop and has no limits but those of the message reader.
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
  // A connection of a client. It is deleted by remove_closed() after the client has disconnected.
  struct Connection {
    std::unique_ptr<net::Stream> stream;
    http::MessageReader reader{http::MessageReader::Kind::request};
    std::string body;
    std::uint64_t number = 0;  // unique; never reused
    bool open() const { return stream->open(); }
    void write(std::string bytes) {
      if (open()) stream->write(std::move(bytes));
    }
  };
  // Throws net::NetError if it cannot listen. `on_request` is called with each complete request.
  Server(const std::string& address, std::function<void(Connection&)> on_request);

  std::string address() const { return listener_->address(); }
  Connection* find(std::uint64_t number);
  std::list<std::unique_ptr<Connection>>& connections() { return connections_; }

 private:
  void accept(net::Owned<GSocket> socket);
  void arrived(Connection& connection, std::string_view bytes);
  void remove_closed();

  std::function<void(Connection&)> on_request_;
  std::list<std::unique_ptr<Connection>> connections_;
  std::uint64_t last_number_ = 0;
  std::unique_ptr<net::Listener> listener_;
};

}  // namespace thornwick::testbed
