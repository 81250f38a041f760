// The parts of a chat request's body that both dialects read and write alike. Knows no sockets.
#pragma once

#include "fronts/dialect.hpp"
#include "fronts/json.hpp"

namespace thornwick::fronts {

// A parsed chat body. The parser owns the memory that root() refers to, so the body has to outlive its users.
class ChatBody {
 public:
  // Throws http::BadMessage (400) unless the text is one JSON object.
  explicit ChatBody(std::string_view text);
  Json root() const { return root_; }

 private:
  simdjson::dom::parser parser_;
  Json root_;
};

// How a dialect names one kind of error: the HTTP status, and the type inside the error object.
struct ErrorKind {
  int status = 0;
  std::string_view type;  // refers to static storage
};

// The error kinds of one dialect, one for each Rejection.
struct ErrorKinds {
  ErrorKind bad_request;
  ErrorKind too_large;
  ErrorKind not_found;
  ErrorKind overloaded;
  ErrorKind over_limit;
  ErrorKind failed;
  ErrorKind timed_out;

  [[nodiscard]] ErrorKind of(Rejection rejection) const;
};

// The member "error" of a JSON object, without the object's braces. Both dialects write an error like this.
[[nodiscard]] std::string error_member(std::string_view type, std::string_view message);

// Whether a replica's answer reports, by the rules that all replicas share, that it rejected the request
// before it began to work on it.
bool rejected_by_replica(const http::Head& answer);

// Values of rate limit headers.
// Whole tokens; 0 for a negative amount.
std::string tokens(double amount);
// Seconds with three decimal places.
std::string seconds_text(Time time);
// A moment in microseconds since 1970 as RFC 3339 in UTC, rounded up to whole seconds.
std::string rfc3339(Time moment);

// The text of a message's content: a string, or a list of text parts. Throws http::BadMessage for any other
// part.
std::string content_text(Json content);
// Model, limits, streaming and sampling.
void read_common(Json json, ChatRequest& chat);
// The messages, in order. Throws http::BadMessage where there are none, or one has no content.
void read_turns(Json json, ChatRequest& chat);
// Stop sequences under this key: one string, or a list of them.
void read_stops(Json json, std::string_view key, ChatRequest& chat);

// The same as members of a JSON object, without its braces.
std::string write_common(const ChatRequest& chat);
std::string write_stops(std::string_view key, const ChatRequest& chat);
std::string write_turn(const ChatRequest::Turn& turn);

}  // namespace thornwick::fronts
