#include "net/http.hpp"

#include <algorithm>
#include <charconv>
#include <cstdio>

namespace sprucecourse::net {
namespace {

char lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

std::string_view trim(std::string_view text) {
  const auto blank = [](char c) { return c == ' ' || c == '\t'; };
  while (!text.empty() && blank(text.front())) text.remove_prefix(1);
  while (!text.empty() && blank(text.back())) text.remove_suffix(1);
  return text;
}

bool is_token(std::string_view text) {
  const auto fits = [](char c) {
    return (c >= '0' && c <= '9') || (lower(c) >= 'a' && lower(c) <= 'z') ||
           std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
  };
  return !text.empty() && std::all_of(text.begin(), text.end(), fits);
}

std::uint64_t number(std::string_view text, int base, int status, const char* what) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
  if (text.empty() || error != std::errc{} || end != text.data() + text.size()) {
    throw BadMessage(status, what);
  }
  return value;
}

}  // namespace

bool same_name(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](char x, char y) { return lower(x) == lower(y); });
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
  const auto at =
      std::find_if(headers.begin(), headers.end(), [&](auto& h) { return same_name(h.name, name); });
  return at == headers.end() ? nullptr : &at->value;
}

bool Head::keeps_alive() const {
  const auto* connection = find("Connection");
  return http_1_0 ? has_token(connection, "keep-alive") : !has_token(connection, "close");
}

// ---------------------------------------------------------------- reading

MessageReader::Piece MessageReader::next() {
  std::string line;
  for (;;) {
    switch (state_) {
      case State::head:
        if (!read_head()) return Piece::none;
        return Piece::head;
      case State::counted: return take_counted(State::done);
      case State::chunk_size:
        if (!take_line(line, 256)) return Piece::none;
        left_ = number(trim(std::string_view(line).substr(0, line.find(';'))), 16, 400, "bad chunk size");
        state_ = left_ == 0 ? State::trailers : State::chunk_data;
        break;
      case State::chunk_data: {
        const Piece piece = take_counted(State::chunk_end);
        if (piece != Piece::end) return piece;
        break;
      }
      case State::chunk_end:
        if (!take_line(line, 2)) return Piece::none;
        if (!line.empty()) throw BadMessage(400, "chunk without its end");
        state_ = State::chunk_size;
        break;
      case State::trailers:
        if (!take_line(line, kMaxHead)) return Piece::none;
        if ((trailer_bytes_ += line.size()) > kMaxHead) throw BadMessage(431, "trailers too long");
        if (line.empty()) state_ = State::done;
        break;
      case State::until_end:
        if (buffer_.empty()) return Piece::none;
        body_ = std::exchange(buffer_, {});
        return Piece::body;
      case State::done: state_ = State::head; return Piece::end;
    }
  }
}

// Takes what is there of `left_` bytes; `end` (to the caller inside) once none is left to take.
MessageReader::Piece MessageReader::take_counted(State after) {
  if (left_ == 0) {
    state_ = after;
    if (after != State::done) return Piece::end;
    state_ = State::head;
    return Piece::end;
  }
  if (buffer_.empty()) return Piece::none;
  const auto size = static_cast<std::size_t>(std::min<std::uint64_t>(left_, buffer_.size()));
  body_seen_ += size;
  if (kind_ == Kind::request && body_seen_ > kMaxBody) throw BadMessage(413, "body too large");
  body_ = buffer_.substr(0, size);
  buffer_.erase(0, size);
  left_ -= size;
  return Piece::body;
}

bool MessageReader::take_line(std::string& line, std::size_t limit) {
  const auto end = buffer_.find('\n');
  if (end == std::string::npos) {
    if (buffer_.size() > limit) throw BadMessage(400, "line too long");
    return false;
  }
  line = buffer_.substr(0, end);
  buffer_.erase(0, end + 1);
  if (!line.empty() && line.back() == '\r') line.pop_back();
  return true;
}

bool MessageReader::read_head() {
  while (buffer_.starts_with("\r\n")) buffer_.erase(0, 2);
  const auto end = buffer_.find("\r\n\r\n");
  if (std::min(end, buffer_.size()) > kMaxHead) throw BadMessage(431, "head too long");
  if (end == std::string::npos) return false;
  parse_head(std::string_view(buffer_).substr(0, end + 2));
  buffer_.erase(0, end + 4);
  // An interim answer tells nothing of the exchange; the real head follows.
  if (kind_ == Kind::answer && head_.status >= 100 && head_.status < 200) return read_head();
  frame();
  return true;
}

void MessageReader::parse_head(std::string_view text) {
  head_ = {};
  const auto first_end = text.find("\r\n");
  const auto first = text.substr(0, first_end);
  text.remove_prefix(first_end + 2);
  const auto space = first.find(' ');
  if (space == std::string_view::npos) throw BadMessage(400, "bad first line");
  std::string_view version;
  if (kind_ == Kind::request) {
    const auto second = first.find(' ', space + 1);
    if (second == std::string_view::npos) throw BadMessage(400, "bad first line");
    head_.method = first.substr(0, space);
    head_.target = first.substr(space + 1, second - space - 1);
    version = first.substr(second + 1);
    const bool printable =
        std::all_of(head_.target.begin(), head_.target.end(), [](char c) { return c > ' ' && c < 127; });
    if (!is_token(head_.method) || head_.target.empty() || !printable)
      throw BadMessage(400, "bad first line");
  } else {
    version = first.substr(0, space);
    head_.status = static_cast<int>(number(first.substr(space + 1, 3), 10, 502, "bad status"));
  }
  if (version != "HTTP/1.1" && version != "HTTP/1.0") throw BadMessage(400, "unknown HTTP version");
  head_.http_1_0 = version == "HTTP/1.0";
  while (!text.empty()) {
    const auto line_end = text.find("\r\n");
    const auto line = text.substr(0, line_end);
    text.remove_prefix(line_end + 2);
    const auto colon = line.find(':');
    if (colon == std::string_view::npos || !is_token(line.substr(0, colon))) {
      throw BadMessage(400, "bad header line");
    }
    const auto value = trim(line.substr(colon + 1));
    const auto control = [](char c) { return c != '\t' && static_cast<unsigned char>(c) < ' '; };
    if (std::any_of(value.begin(), value.end(), control)) throw BadMessage(400, "bad header value");
    head_.headers.push_back({std::string(line.substr(0, colon)), std::string(value)});
  }
}

// How the body is framed. Guards against messages that two readers would cut differently.
void MessageReader::frame() {
  body_seen_ = left_ = 0;
  trailer_bytes_ = 0;
  const std::string* length = nullptr;
  for (const auto& header : head_.headers) {
    if (!same_name(header.name, "Content-Length")) continue;
    if (length != nullptr && *length != header.value) throw BadMessage(400, "two lengths");
    length = &header.value;
  }
  const std::string* coding = head_.find("Transfer-Encoding");
  if (coding != nullptr && length != nullptr) throw BadMessage(400, "length and transfer coding");
  const bool empty = kind_ == Kind::answer && (head_.status == 204 || head_.status == 304);
  if (coding != nullptr) {
    if (!same_name(*coding, "chunked")) throw BadMessage(400, "unknown transfer coding");
    state_ = State::chunk_size;
  } else if (length != nullptr || kind_ == Kind::request || empty) {
    if (length != nullptr && !empty) left_ = number(*length, 10, 400, "bad length");
    if (kind_ == Kind::request && left_ > kMaxBody) throw BadMessage(413, "body too large");
    state_ = State::counted;
  } else {
    state_ = State::until_end;
  }
}

// ---------------------------------------------------------------- writing

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
  std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
  return std::string(size).append(bytes).append("\r\n");
}

}  // namespace sprucecourse::net
