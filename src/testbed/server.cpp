#include "testbed/server.hpp"

namespace thornwick::testbed {

Server::Server(const std::string& address, std::function<void(Connection&)> asked)
    : asked_(std::move(asked)) {
  listener_ = std::make_unique<net::Listener>(
      address, [] { return net::descriptors().held < net::descriptors().limit; },
      [this](net::Owned<GSocket> socket) { accept(std::move(socket)); });
}

void Server::accept(net::Owned<GSocket> socket) {
  sweep();
  Connection* line = lines_.emplace_back(std::make_unique<Connection>()).get();
  line->number = ++last_;
  line->stream = std::make_unique<net::Stream>(
      net::Stream::Callbacks{.connected = [] {},
                             .arrived = [this, line](std::string_view bytes) { arrived(*line, bytes); },
                             .drained = {},
                             .ended = [line] { line->stream->close(); }});
  line->stream->adopt(std::move(socket));
}

void Server::arrived(Connection& line, std::string_view bytes) {
  try {
    line.reader.feed(bytes);
    for (auto piece = line.reader.next(); piece != http::MessageReader::Piece::none;
         piece = line.reader.next()) {
      if (piece == http::MessageReader::Piece::head) line.body.clear();
      if (piece == http::MessageReader::Piece::body) line.body += line.reader.take_body();
      if (piece == http::MessageReader::Piece::end) asked_(line);
      if (!line.open()) return;
    }
  } catch (const http::BadMessage& bad) {
    line.write(
        http::write_head(http::status_line(bad.status), {{"Content-Length", "0"}, {"Connection", "close"}}));
    line.stream->close();
  }
}

Server::Connection* Server::find(std::uint64_t number) {
  for (auto& line : lines_) {
    if (line->number == number) return line->open() ? line.get() : nullptr;
  }
  return nullptr;
}

// Never while a line's own callback runs: only when another one comes.
void Server::sweep() {
  lines_.remove_if([](const auto& line) { return !line->open(); });
}

}  // namespace thornwick::testbed
