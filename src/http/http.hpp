// Reads and writes HTTP/1.1 messages (RFC 9112). The reader takes bytes as they arrive and returns a message
// in pieces. This module uses no sockets and nothing else of the project.
//
// The reader is strict where a lenient one would let two readers see different messages: a message has one
// length or one transfer coding, each line ends with CR LF, and header values have no control characters. The
// constants below bound every buffer.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "http/message_error.hpp"

namespace thornwick::http {

inline constexpr std::size_t kKibibyte = 1024;
// Bytes of a first line with all headers, or of all trailers.
inline constexpr std::size_t kMaxHead = 16 * kKibibyte;
// Bytes of a request's body.
inline constexpr std::size_t kMaxBody = 256 * kKibibyte;
// Header lines of a message.
inline constexpr std::size_t kMaxHeaders = 100;
// Interim answers (1xx) before the final one.
inline constexpr int kMaxInterimAnswers = 8;

// One header line. Names are compared without regard to case.
struct Header {
  std::string name;
  std::string value;
};

// The first line and the headers of a request or an answer.
struct Head {
  std::string method;  // of a request
  std::string target;  // of a request: path and query
  int status = 0;      // of an answer
  bool http_1_0 = false;
  std::vector<Header> headers;

  // The value of the first header of this name; null if there is none. Valid as long as the head.
  [[nodiscard]] const std::string* find(std::string_view name) const;
  // How many header lines have this name.
  [[nodiscard]] std::size_t count(std::string_view name) const;
  // Whether the sender keeps the connection open after this message.
  [[nodiscard]] bool keeps_alive() const;
};

// Whether two header names or tokens are equal without regard to ASCII case.
bool same_name(std::string_view a, std::string_view b);
// Whether a comma-separated header value (null: no such header) holds this token.
bool has_token(const std::string* value, std::string_view token);

// Reads the messages of one connection. The caller feeds bytes as they arrive and then calls next() until it
// returns `none`; after `end` the next message begins. The bytes of a body are returned as they arrive; the
// caller bounds what it collects.
class MessageReader {
 public:
  enum class Kind { request, answer };
  enum class Piece { none, head, body, end };

  // `max_chunk`: bytes that one chunk of an answer may announce.
  explicit MessageReader(Kind kind, std::size_t max_chunk = kMaxBody) : kind_(kind), max_chunk_(max_chunk) {}
  // Bytes of the connection, in order.
  void feed(std::string_view bytes);
  // Returns the next piece; `none` if it needs more bytes. Throws BadMessage, after which the reader must not
  // be used any more.
  [[nodiscard]] Piece next();
  // The head of the current message; valid from Piece::head on.
  const Head& head() const { return head_; }
  // Takes the bytes of the latest Piece::body.
  std::string take_body() { return std::move(body_); }
  // Whether the end of the connection completes the current message, as it does for an answer without a
  // length.
  bool complete_at_end_of_connection() const { return state_ == State::until_end; }
  // Whether all bytes belong to complete messages, so that the connection can be closed or reused.
  bool between_messages() const { return state_ == State::head && at_ == buffer_.size(); }
  // Bytes fed and not consumed yet.
  std::size_t held() const { return buffer_.size() - at_; }

 private:
  enum class State { head, counted, chunk_size, chunk_data, chunk_end, trailers, until_end, done };

  std::string_view rest() const { return std::string_view(buffer_).substr(at_); }
  void consume(std::size_t size);
  bool read_head();
  void parse_head(std::string_view text);
  void parse_first_line(std::string_view line);
  void parse_header(std::string_view line);
  void check_framing(const std::string* length, const std::string* coding) const;
  // How the body that follows is delimited: by length, chunks or the end of the connection.
  void choose_framing();
  bool read_chunk_size();
  bool read_chunk_end();
  bool read_trailer();
  bool take_line(std::string& line, std::size_t limit);
  Piece take_counted(State after);
  Piece take_rest();

  Kind kind_;
  std::size_t max_chunk_;
  State state_ = State::head;
  std::string buffer_;
  std::string body_;
  std::size_t at_ = 0;       // index in buffer_ of the first byte that is not consumed
  std::size_t scanned_ = 0;  // bytes from there on that were searched for the end of a head
  int blank_lines_ = 0;      // before the current head
  int interim_ = 0;          // 1xx answers before the current head
  Head head_;
  std::uint64_t left_ = 0;       // bytes of the body or chunk that are still to come
  std::uint64_t body_seen_ = 0;  // bytes of the body so far
  std::size_t trailer_bytes_ = 0;
};

// The text of a head: first line, headers as given, blank line.
std::string write_head(std::string_view first_line, const std::vector<Header>& headers);
// "HTTP/1.1 503 Service Unavailable", without a line end.
std::string status_line(int status);
// One chunk of a chunked body; the bytes are not empty.
std::string write_chunk(std::string_view bytes);
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

}  // namespace thornwick::http
