#include "http/http.hpp"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <utility>

namespace thornwick::http {
namespace {

// Maximal capacity in bytes of the buffer of a connection without unread input.
constexpr std::size_t kMaxIdleBuffer = 4096;
constexpr std::string_view kProtocol = "HTTP/1.";
constexpr int kMaxBlankLines = 4;  // before a message
constexpr std::size_t kMaxChunkSizeLineBytes = 256;
constexpr std::size_t kLineEndBytes = 2;  // "\r\n"
constexpr char kDelete = 127;             // the first ASCII character above the printable ones
constexpr int kDecimalBase = 10;
constexpr int kHexadecimalBase = 16;

// Frees the memory of the text. An assignment of an empty text would keep it.
void release(std::string& text) { std::string().swap(text); }

char lower(char letter) {
  return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

std::string_view trim(std::string_view text) {
  const auto is_blank = [](char letter) { return letter == ' ' || letter == '\t'; };
  while (!text.empty() && is_blank(text.front())) text.remove_prefix(1);
  while (!text.empty() && is_blank(text.back())) text.remove_suffix(1);
  return text;
}

bool is_token(std::string_view text) {
  const auto is_token_character = [](char letter) {
    return (letter >= '0' && letter <= '9') || (lower(letter) >= 'a' && lower(letter) <= 'z') ||
           std::string_view("!#$%&'*+-.^_`|~").find(letter) != std::string_view::npos;
  };
  return !text.empty() && std::all_of(text.begin(), text.end(), is_token_character);
}

bool is_printable(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char letter) { return letter > ' ' && letter < kDelete; });
}

bool has_control_character(std::string_view text) {
  return std::any_of(text.begin(), text.end(),
                     [](char letter) { return letter != '\t' && static_cast<unsigned char>(letter) < ' '; });
}

// Converts the complete text to a number. Throws BadMessage with `error` if the text is not a number.
std::uint64_t parse_number(std::string_view text, int base, MessageError error) {
  std::uint64_t value = 0;
  const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), value, base);
  if (text.empty() || status != std::errc{} || end != text.data() + text.size()) throw BadMessage(error);
  return value;
}

}  // namespace

bool same_name(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](char left, char right) { return lower(left) == lower(right); });
}

bool has_token(const std::string* value, std::string_view token) {
  if (value == nullptr) return false;
  for (std::string_view rest = *value; !rest.empty();) {
    const auto comma = rest.find(',');
    if (same_name(trim(rest.substr(0, comma)), token)) return true;
    rest = comma == std::string_view::npos ? std::string_view{} : rest.substr(comma + 1);
  }
  return false;
}

const std::string* Head::find(std::string_view name) const {
  const auto at = std::find_if(headers.begin(), headers.end(),
                               [&](const Header& header) { return same_name(header.name, name); });
  return at == headers.end() ? nullptr : &at->value;
}

std::size_t Head::count(std::string_view name) const {
  return static_cast<std::size_t>(std::count_if(
      headers.begin(), headers.end(), [&](const Header& header) { return same_name(header.name, name); }));
}

bool Head::keeps_alive() const {
  const auto* connection = find("Connection");
  return http_1_0 ? has_token(connection, "keep-alive") : !has_token(connection, "close");
}

// Erases consumed bytes only when they are the larger part of the buffer. Erasing after each piece would take
// time that grows with the square of the size of a message that arrives in small pieces.
void MessageReader::feed(std::string_view bytes) {
  if (position_ > buffer_.size() / 2) buffer_.erase(0, std::exchange(position_, 0));
  buffer_.append(bytes);
}

void MessageReader::reset() {
  release(buffer_);
  release(body_);
  *this = MessageReader(kind_, max_chunk_);
}

void MessageReader::consume(std::size_t size) {
  position_ += size;
  if (position_ < buffer_.size()) return;
  position_ = 0;
  if (buffer_.capacity() > kMaxIdleBuffer) {
    release(buffer_);
  } else {
    buffer_.clear();
  }
}

MessageReader::Piece MessageReader::next() {
  for (;;) {
    switch (state_) {
      case State::head: return read_head() ? Piece::head : Piece::none;
      case State::counted: return take_counted(State::done);
      case State::chunk_size:
        if (!read_chunk_size()) return Piece::none;
        break;
      case State::chunk_data: {
        const Piece piece = take_counted(State::chunk_end);
        if (piece != Piece::end) return piece;
        break;
      }
      case State::chunk_end:
        if (!read_chunk_end()) return Piece::none;
        break;
      case State::trailers:
        if (!read_trailer()) return Piece::none;
        break;
      case State::until_end: return take_rest();
      case State::done: state_ = State::head; return Piece::end;
    }
  }
}

bool MessageReader::read_chunk_size() {
  std::string line;
  if (!take_line(line, kMaxChunkSizeLineBytes)) return false;
  remaining_ = parse_number(trim(std::string_view(line).substr(0, line.find(';'))), kHexadecimalBase,
                            MessageError::bad_chunk_size);
  // Without these limits, a huge size would make the reader take the remaining bytes of the connection as one
  // chunk.
  if (kind_ == Kind::request && remaining_ > kMaxBody) throw BadMessage(MessageError::request_body_too_large);
  if (kind_ == Kind::answer && remaining_ > max_chunk_) throw BadMessage(MessageError::chunk_too_large);
  state_ = remaining_ == 0 ? State::trailers : State::chunk_data;
  return true;
}

bool MessageReader::read_chunk_end() {
  std::string line;
  if (!take_line(line, kLineEndBytes)) return false;
  if (!line.empty()) throw BadMessage(MessageError::chunk_not_terminated);
  state_ = State::chunk_size;
  return true;
}

bool MessageReader::read_trailer() {
  std::string line;
  if (!take_line(line, kMaxHead)) return false;
  trailer_bytes_ += line.size() + kLineEndBytes;
  if (trailer_bytes_ > kMaxHead) throw BadMessage(MessageError::trailers_too_long);
  if (line.empty()) state_ = State::done;
  return true;
}

MessageReader::Piece MessageReader::take_rest() {
  if (held() == 0) return Piece::none;
  body_ = rest();
  consume(held());
  return Piece::body;
}

// Takes as many as are available of the `remaining_` bytes. When all of them have been taken, enters the
// state `after` and returns `end`, which is the end of the message or, if the body is chunked, of one chunk.
MessageReader::Piece MessageReader::take_counted(State after) {
  if (remaining_ == 0) {
    state_ = after == State::done ? State::head : after;
    return Piece::end;
  }
  if (held() == 0) return Piece::none;
  const auto size = static_cast<std::size_t>(std::min<std::uint64_t>(remaining_, held()));
  body_bytes_ += size;
  if (kind_ == Kind::request && body_bytes_ > kMaxBody)
    throw BadMessage(MessageError::request_body_too_large);
  body_ = rest().substr(0, size);
  consume(size);
  remaining_ -= size;
  return Piece::body;
}

bool MessageReader::take_line(std::string& line, std::size_t limit) {
  const auto end = rest().find('\n');
  if (std::min(end, held()) > limit + kLineEndBytes) throw BadMessage(MessageError::line_too_long);
  if (end == std::string_view::npos) return false;
  // A line must end with CR LF. Readers that accept a bare LF would split messages differently from other
  // readers.
  if (end == 0 || rest()[end - 1] != '\r') throw BadMessage(MessageError::bare_line_feed);
  line = rest().substr(0, end - 1);
  consume(end + 1);
  return true;
}

bool MessageReader::read_head() {
  for (;;) {
    while (rest().starts_with("\r\n")) {
      if (++blank_lines_ > kMaxBlankLines) throw BadMessage(MessageError::only_blank_lines);
      consume(2);
    }
    // Fails as soon as the first bytes cannot be the start of an answer, instead of waiting for the end of a
    // head.
    const auto start = rest().substr(0, kProtocol.size());
    if (kind_ == Kind::answer && !kProtocol.starts_with(start)) throw BadMessage(MessageError::not_http);
    const auto end = rest().find("\r\n\r\n", scanned_);
    if (std::min(end, held()) > kMaxHead) throw BadMessage(MessageError::head_too_long);
    if (end == std::string_view::npos) {
      scanned_ = held() - std::min<std::size_t>(held(), 3);
      return false;
    }
    scanned_ = 0;
    blank_lines_ = 0;
    parse_head(rest().substr(0, end + 2));
    consume(end + 4);
    if (kind_ == Kind::request || head_.status >= 200) break;
    // An interim answer (1xx) is skipped; the final head follows. The router never requests an upgrade (101).
    if (head_.status == 101 || head_.status < 100) throw BadMessage(MessageError::unexpected_interim_status);
    if (++interim_answers_ > kMaxInterimAnswers) throw BadMessage(MessageError::too_many_interim_answers);
  }
  interim_answers_ = 0;
  choose_framing();
  return true;
}

void MessageReader::parse_head(std::string_view text) {
  head_ = {};
  head_bytes_ = text.size();
  const auto first_end = text.find("\r\n");
  parse_first_line(text.substr(0, first_end));
  text.remove_prefix(first_end + kLineEndBytes);
  while (!text.empty()) {
    if (head_.headers.size() >= kMaxHeaders) throw BadMessage(MessageError::too_many_headers);
    const auto line_end = text.find("\r\n");
    parse_header(text.substr(0, line_end));
    text.remove_prefix(line_end + kLineEndBytes);
  }
  head_bytes_ += head_.headers.capacity() * sizeof(Header);
}

void MessageReader::parse_first_line(std::string_view line) {
  const auto space = line.find(' ');
  if (space == std::string_view::npos) throw BadMessage(MessageError::bad_first_line);
  std::string_view version;
  if (kind_ == Kind::request) {
    const auto second = line.find(' ', space + 1);
    if (second == std::string_view::npos) throw BadMessage(MessageError::bad_first_line);
    head_.method = line.substr(0, space);
    head_.target = line.substr(space + 1, second - space - 1);
    version = line.substr(second + 1);
    if (!is_token(head_.method) || head_.target.empty() || !is_printable(head_.target)) {
      throw BadMessage(MessageError::bad_first_line);
    }
  } else {
    version = line.substr(0, space);
    head_.status =
        static_cast<int>(parse_number(line.substr(space + 1, 3), kDecimalBase, MessageError::bad_status));
  }
  if (version != "HTTP/1.1" && version != "HTTP/1.0") throw BadMessage(MessageError::unknown_version);
  head_.http_1_0 = version == "HTTP/1.0";
}

void MessageReader::parse_header(std::string_view line) {
  const auto colon = line.find(':');
  if (colon == std::string_view::npos || !is_token(line.substr(0, colon))) {
    throw BadMessage(MessageError::bad_header_line);
  }
  const auto value = trim(line.substr(colon + 1));
  if (has_control_character(value)) throw BadMessage(MessageError::bad_header_value);
  head_.headers.push_back({std::string(line.substr(0, colon)), std::string(value)});
}

// Throws BadMessage where two readers could disagree on the length of the body (request smuggling).
void MessageReader::check_framing(const std::string* length, const std::string* coding) const {
  if (head_.count("Content-Length") > 1) throw BadMessage(MessageError::several_lengths);
  if (head_.count("Transfer-Encoding") > 1) throw BadMessage(MessageError::several_transfer_codings);
  if (coding != nullptr && length != nullptr) throw BadMessage(MessageError::length_and_transfer_coding);
  if (coding != nullptr && head_.http_1_0) throw BadMessage(MessageError::transfer_coding_in_http_1_0);
  if (coding != nullptr && !same_name(*coding, "chunked"))
    throw BadMessage(MessageError::unknown_transfer_coding);
}

void MessageReader::choose_framing() {
  body_bytes_ = 0;
  remaining_ = 0;
  trailer_bytes_ = 0;
  const std::string* length = head_.find("Content-Length");
  const std::string* coding = head_.find("Transfer-Encoding");
  check_framing(length, coding);
  const bool empty = kind_ == Kind::answer && (head_.status == 204 || head_.status == 304);
  if (coding != nullptr) {
    state_ = State::chunk_size;
  } else if (length != nullptr || kind_ == Kind::request || empty) {
    if (length != nullptr && !empty)
      remaining_ = parse_number(*length, kDecimalBase, MessageError::bad_length);
    if (kind_ == Kind::request && remaining_ > kMaxBody)
      throw BadMessage(MessageError::request_body_too_large);
    state_ = State::counted;
  } else {
    state_ = State::until_end;
  }
}

std::string write_head(std::string_view first_line, const std::vector<Header>& headers) {
  std::string text(first_line);
  text += "\r\n";
  for (const auto& header : headers)
    text.append(header.name).append(": ").append(header.value).append("\r\n");
  return text += "\r\n";
}

std::string status_line(int status) {
  const char* reason = "Status";
  switch (status) {
    case 200: reason = "OK"; break;
    case 400: reason = "Bad Request"; break;
    case 404: reason = "Not Found"; break;
    case 405: reason = "Method Not Allowed"; break;
    case 409: reason = "Conflict"; break;
    case 408: reason = "Request Timeout"; break;
    case 413: reason = "Content Too Large"; break;
    case 429: reason = "Too Many Requests"; break;
    case 431: reason = "Request Header Fields Too Large"; break;
    case 502: reason = "Bad Gateway"; break;
    case 503: reason = "Service Unavailable"; break;
    case 504: reason = "Gateway Timeout"; break;
    case 529: reason = "Overloaded"; break;
    default: break;
  }
  return "HTTP/1.1 " + std::to_string(status) + " " + reason;
}

std::string write_chunk(std::string_view bytes) {
  char size[20];
  const int size_length = std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
  std::string chunk;
  chunk.reserve(static_cast<std::size_t>(size_length) + bytes.size() + kLineEndBytes);
  return chunk.append(size).append(bytes).append("\r\n");
}

}  // namespace thornwick::http
