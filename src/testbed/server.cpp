#include "testbed/server.hpp"

namespace thornwick::testbed {

Server::Server(const std::string& address, std::function<void(Connection&)> on_request)
    : on_request_(std::move(on_request)) {
  listener_ = std::make_unique<net::Listener>(
      address, [] { return net::descriptors().held < net::descriptors().limit; },
      [this](net::Owned<GSocket> socket) { accept(std::move(socket)); });
}

void Server::accept(net::Owned<GSocket> socket) {
  remove_closed();
  Connection* connection = connections_.emplace_back(std::make_unique<Connection>()).get();
  connection->number = ++last_number_;
  connection->stream = std::make_unique<net::Stream>(net::Stream::Callbacks{
      .connected = [] {},
      .arrived = [this, connection](std::string_view bytes) { arrived(*connection, bytes); },
      .drained = {},
      .ended = [connection] { connection->stream->close(); }});
  connection->stream->adopt(std::move(socket));
}

void Server::arrived(Connection& connection, std::string_view bytes) {
  try {
    connection.reader.feed(bytes);
    for (auto piece = connection.reader.next(); piece != http::MessageReader::Piece::none;
         piece = connection.reader.next()) {
      if (piece == http::MessageReader::Piece::head) connection.body.clear();
      if (piece == http::MessageReader::Piece::body) connection.body += connection.reader.take_body();
      if (piece == http::MessageReader::Piece::end) on_request_(connection);
      if (!connection.open()) return;
    }
  } catch (const http::BadMessage& bad) {
    connection.write(
        http::write_head(http::status_line(bad.status), {{"Content-Length", "0"}, {"Connection", "close"}}));
    connection.stream->close();
  }
}

Server::Connection* Server::find(std::uint64_t number) {
  for (auto& connection : connections_) {
    if (connection->number == number) return connection->open() ? connection.get() : nullptr;
  }
  return nullptr;
}

// Called only when a new connection is accepted, since a connection must not be deleted in its own callback.
void Server::remove_closed() {
  connections_.remove_if([](const auto& connection) { return !connection->open(); });
}

}  // namespace thornwick::testbed
