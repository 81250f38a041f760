// Reads and writes the members of a chat request's body that both dialects share. Uses no sockets.
#pragma once

#include "fronts/dialect.hpp"
#include "fronts/json.hpp"

namespace thornwick::fronts {

// A parsed chat body. It owns the memory to which root() refers, and therefore must outlive all uses of
// root().
class ChatBody {
 public:
  // Throws http::BadMessage (400) if `text` is not a JSON object.
  explicit ChatBody(std::string_view text);
  Json root() const { return root_; }

 private:
  simdjson::dom::parser parser_;
  Json root_;
};

// The HTTP status and the error object's type with which a dialect reports one kind of error.
struct ErrorKind {
  int status = 0;
  std::string_view type;  // refers to static storage
};

// The error kinds of one dialect: one kind for each Rejection.
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

// Returns the member "error" of a JSON object, without the object's braces. Both dialects write errors like
// this.
[[nodiscard]] std::string error_member(std::string_view type, std::string_view message);

// Whether a replica's answer states, by the rules that all replicas share, that the replica rejected the
// request before it began to work on the request.
bool rejected_by_replica(const http::Head& answer);

// The functions below return values of rate limit headers.
// Returns an amount in whole tokens; 0 for a negative amount.
std::string token_text(double amount);
// Returns a duration in seconds, with three decimal places.
std::string seconds_text(Time duration);
// Returns a time in microseconds since 1970 as RFC 3339 text in UTC, rounded up to whole seconds.
std::string rfc3339_text(Time time);

// Returns the text of a message's content, which is a string or a list of text parts. Throws http::BadMessage
// if a part is not a text.
std::string content_text(Json content);
// Reads the model, the limits, and the options of streaming and sampling.
void read_common(Json json, ChatRequest& chat);
// Reads the messages, in order. Throws http::BadMessage if there are no messages, or a message has no
// content.
void read_turns(Json json, ChatRequest& chat);
// Reads the stop sequences under this key: a string or a list of strings.
void read_stop_sequences(Json json, std::string_view key, ChatRequest& chat);

// The functions below write the same values as members of a JSON object, without its braces.
std::string write_common(const ChatRequest& chat);
std::string write_stop_sequences(std::string_view key, const ChatRequest& chat);
std::string write_turn(const ChatRequest::Turn& turn);

}  // namespace thornwick::fronts
