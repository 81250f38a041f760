// The errors of HTTP/1.1 messages: their kinds, texts and statuses, and the exception that reports them.
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>

namespace thornwick::http {

// The ways in which bytes break the rules for HTTP/1.1 messages.
enum class MessageError {
  bad_chunk_size,
  request_body_too_large,  // more than kMaxBody
  chunk_too_large,         // more than the reader accepts
  chunk_not_terminated,
  trailers_too_long,  // more than kMaxHead
  line_too_long,
  bare_line_feed,
  only_blank_lines,
  not_http,                   // an answer whose first bytes are not "HTTP/1."
  head_too_long,              // more than kMaxHead
  unexpected_interim_status,  // 101, or below 100
  too_many_interim_answers,   // more than kMaxInterimAnswers
  too_many_headers,           // more than kMaxHeaders
  bad_first_line,
  bad_status,
  unknown_version,
  bad_header_line,
  bad_header_value,
  several_lengths,
  several_transfer_codings,
  length_and_transfer_coding,
  transfer_coding_in_http_1_0,
  unknown_transfer_coding,
  bad_length
};

// The text that clients and the log get for an error.
[[nodiscard]] std::string_view to_string(MessageError error);
// The status that a server answers to a request with this error (4xx), or 502 for an error in an answer.
[[nodiscard]] int status_of(MessageError error);

// Thrown for a message that cannot be read, or that its receiver cannot accept. `status`: what a server
// answers to it (4xx), or 502 for an answer that cannot be used.
struct BadMessage : std::runtime_error {
  explicit BadMessage(MessageError error);
  // For receivers that have rules of their own, with their own texts.
  BadMessage(int code, const std::string& what) : std::runtime_error(what), status(code) {}
  int status;
};

}  // namespace thornwick::http
