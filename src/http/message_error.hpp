// The kinds of errors in HTTP/1.1 messages, with their texts and statuses, and the exception for these
// errors.
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>

namespace thornwick::http {

// The ways in which bytes violate the rules for HTTP/1.1 messages.
enum class MessageError {
  bad_chunk_size,
  request_body_too_large,  // more than kMaxBody
  chunk_too_large,         // more than the reader's max_chunk
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

// The text of the error for clients and for log lines.
[[nodiscard]] std::string_view to_string(MessageError error);
// The status with which a server answers a request that has this error (4xx), or 502 for an error in an
// answer.
[[nodiscard]] int status_of(MessageError error);

// Thrown for a message that cannot be read, or that its receiver cannot accept. `status`: the status with
// which a server answers the request (4xx), or 502 for an answer that cannot be used.
struct BadMessage : std::runtime_error {
  explicit BadMessage(MessageError error);
  // For receivers with further rules, which have their own texts.
  BadMessage(int code, const std::string& what) : std::runtime_error(what), status(code) {}
  int status;
};

}  // namespace thornwick::http
