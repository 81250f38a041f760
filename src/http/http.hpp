// Reads and writes HTTP/1.1 messages (RFC 9112). The reader gets bytes as they arrive and returns a message
// in pieces. This module uses no sockets and no other module of the project.
//
// The reader is strict wherever two lenient readers could see different messages in the same bytes: a message
// has one length or one transfer coding, each line ends with CR LF, and header values have no control
// characters. The constants below bound every buffer.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "http/message_error.hpp"

namespace thornwick::http {

inline constexpr std::size_t kKibibyte = 1024;
// Maximal bytes of a first line with all headers, or of all trailers.
inline constexpr std::size_t kMaxHead = 16 * kKibibyte;
// Maximal bytes of a request's body.
inline constexpr std::size_t kMaxBody = 256 * kKibibyte;
// Maximal number of header lines of a message.
inline constexpr std::size_t kMaxHeaders = 100;
// Maximal number of interim answers (1xx) before the final answer.
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

  // Returns the value of the first header with this name, valid as long as the head; null if there is none.
  [[nodiscard]] const std::string* find(std::string_view name) const;
  // Returns the number of header lines with this name.
  [[nodiscard]] std::size_t count(std::string_view name) const;
  // Whether the sender keeps the connection open after this message.
  [[nodiscard]] bool keeps_alive() const;
};

// Whether two header names or tokens are equal without regard to ASCII case.
bool same_name(std::string_view a, std::string_view b);
// Whether a comma-separated header value contains this token. A null `value` stands for a missing header.
bool has_token(const std::string* value, std::string_view token);

// Reads the messages of one connection. The caller feeds bytes as they arrive, and then calls next() until it
// returns `none`. After `end` the next message begins. The bytes of a body are returned as they arrive; the
// caller must bound the bytes that it collects.
class MessageReader {
 public:
  enum class Kind { request, answer };
  enum class Piece { none, head, body, end };

  // `max_chunk`: the maximal size in bytes of one chunk of an answer.
  explicit MessageReader(Kind kind, std::size_t max_chunk = kMaxBody) : kind_(kind), max_chunk_(max_chunk) {}
  // Begins anew, for another connection or because the rest of this one is not read. Frees all buffers.
  void reset();
  // Adds bytes of the connection, in order.
  void feed(std::string_view bytes);
  // Returns the next piece; `none` if more bytes are needed. After it has thrown a BadMessage, the reader
  // must not be used any more.
  [[nodiscard]] Piece next();
  // The head of the current message, valid after next() has returned Piece::head.
  const Head& head() const { return head_; }
  // The length of the body that the current head announces; 0 if it announces none.
  std::size_t announced_body_bytes() const {
    return state_ == State::counted ? static_cast<std::size_t>(remaining_) : 0;
  }
  // Takes the bytes of the latest Piece::body.
  std::string take_body() { return std::move(body_); }
  // Whether the end of the connection completes the current message, which has no length and no chunks.
  bool complete_at_end_of_connection() const { return state_ == State::until_end; }
  // Whether all bytes belong to complete messages, so that the connection can be closed or reused.
  bool between_messages() const { return state_ == State::head && position_ == buffer_.size(); }
  // The number of bytes that the reader keeps in memory.
  std::size_t memory() const { return buffer_.capacity() + body_.capacity() + head_bytes_; }
  // The number of bytes that were fed and are not consumed yet.
  std::size_t held() const { return buffer_.size() - position_; }

 private:
  enum class State { head, counted, chunk_size, chunk_data, chunk_end, trailers, until_end, done };

  std::string_view rest() const { return std::string_view(buffer_).substr(position_); }
  void consume(std::size_t size);
  bool read_head();
  void parse_head(std::string_view text);
  void parse_first_line(std::string_view line);
  void parse_header(std::string_view line);
  void check_framing(const std::string* length, const std::string* coding) const;
  // Determines what delimits the body that follows: a length, chunks, or the end of the connection.
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
  std::size_t position_ = 0;  // index in buffer_ of the first byte that is not consumed
  std::size_t scanned_ = 0;   // bytes after position_ that were searched for the end of a head
  int blank_lines_ = 0;       // blank lines before the current head
  int interim_answers_ = 0;   // interim answers (1xx) before the current head
  Head head_;
  std::size_t head_bytes_ = 0;     // that head_ takes
  std::uint64_t remaining_ = 0;    // bytes of the body or chunk that are still to come
  std::uint64_t body_bytes_ = 0;   // bytes of the body so far
  std::size_t trailer_bytes_ = 0;  // bytes of the trailers so far
};

// Returns the text of a head: the first line, the headers as given, and a blank line.
std::string write_head(std::string_view first_line, const std::vector<Header>& headers);
// Returns the first line of an answer, such as "HTTP/1.1 503 Service Unavailable", without a line end.
std::string status_line(int status);
// Returns one chunk of a chunked body. `bytes` must not be empty.
std::string write_chunk(std::string_view bytes);
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

}  // namespace thornwick::http
