// The HTTP reader without sockets, so that the tests determine how the bytes are split.
#include <catch2/catch.hpp>

#include "http/http.hpp"

using namespace thornwick::http;

namespace {

using Kind = MessageReader::Kind;
using Piece = MessageReader::Piece;

// Feeds `text` in steps of `step` bytes. Returns the bodies of all complete messages, each followed by a bar.
std::string read_all(Kind kind, const std::string& text, std::size_t step) {
  MessageReader reader(kind);
  std::string bodies;
  for (std::size_t position = 0; position < text.size(); position += step) {
    reader.feed(std::string_view(text).substr(position, step));
    for (auto piece = reader.next(); piece != Piece::none; piece = reader.next()) {
      if (piece == Piece::body) bodies += reader.take_body();
      if (piece == Piece::end) bodies += '|';
    }
  }
  CHECK(reader.between_messages());
  return bodies;
}

const std::string kChunked = "Transfer-Encoding: chunked\r\n\r\n";

}  // namespace

TEST_CASE("messages are read in the same way however their bytes are split") {
  const std::string text = "\r\nPOST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello" +
                           std::string("POST / HTTP/1.1\r\n") + kChunked +
                           "3;x=y\r\nabc\r\nA\r\n0123456789\r\n0\r\nT: v\r\n\r\nGET / HTTP/1.1\r\n\r\n";
  for (const std::size_t step : {1, 2, 3, 7, 1000})
    CHECK(read_all(Kind::request, text, step) == "hello|abc0123456789||");
}

TEST_CASE("interim answers are skipped up to a limit") {
  const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
  const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  CHECK(read_all(Kind::answer, interim + interim + answer, 10) == "ok|");
  std::string many;
  for (int i = 0; i <= kMaxInterimAnswers; ++i) many += interim;
  CHECK_THROWS_AS(read_all(Kind::answer, many + answer, 1000), BadMessage);
  CHECK_THROWS_AS(read_all(Kind::answer, "HTTP/1.1 101 Switching\r\n\r\n" + answer, 1000), BadMessage);
}

TEST_CASE("a chunk that exceeds the limit of an answer is rejected at its size line") {
  const std::string head = "HTTP/1.1 200 OK\r\n" + kChunked;
  CHECK_THROWS_AS(read_all(Kind::answer, head + "b2d05e00\r\n\n\n\n", 1000), BadMessage);
  CHECK_THROWS_AS(read_all(Kind::answer, head + "3\r\nabcdef\r\n", 1000), BadMessage);
}

TEST_CASE("heads with too many or too long headers are rejected") {
  std::string head = "GET / HTTP/1.1\r\n";
  for (std::size_t i = 0; i <= kMaxHeaders; ++i) head += "a: b\r\n";
  CHECK_THROWS_AS(read_all(Kind::request, head + "\r\n", 1000), BadMessage);
  CHECK_THROWS_AS(read_all(Kind::request, "GET / HTTP/1.1\r\nA: " + std::string(kMaxHead, 'x'), 1000),
                  BadMessage);
}
