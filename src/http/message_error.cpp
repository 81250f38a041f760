#include "http/message_error.hpp"

namespace thornwick::http {

std::string_view to_string(MessageError error) {
  switch (error) {
    case MessageError::bad_chunk_size: return "bad chunk size";
    case MessageError::request_body_too_large: return "body too large";
    case MessageError::chunk_too_large: return "chunk too large";
    case MessageError::chunk_not_terminated: return "chunk without its end";
    case MessageError::trailers_too_long: return "trailers too long";
    case MessageError::line_too_long: return "line too long";
    case MessageError::bare_line_feed: return "bare line feed";
    case MessageError::only_blank_lines: return "nothing but blank lines";
    case MessageError::not_http: return "no HTTP";
    case MessageError::head_too_long: return "head too long";
    case MessageError::unexpected_interim_status: return "not an answer";
    case MessageError::too_many_interim_answers: return "too many interim answers";
    case MessageError::too_many_headers: return "too many headers";
    case MessageError::bad_first_line: return "bad first line";
    case MessageError::bad_status: return "bad status";
    case MessageError::unknown_version: return "unknown HTTP version";
    case MessageError::bad_header_line: return "bad header line";
    case MessageError::bad_header_value: return "bad header value";
    case MessageError::several_lengths: return "two lengths";
    case MessageError::several_transfer_codings: return "two transfer codings";
    case MessageError::length_and_transfer_coding: return "length and transfer coding";
    case MessageError::transfer_coding_in_http_1_0: return "transfer coding in HTTP/1.0";
    case MessageError::unknown_transfer_coding: return "unknown transfer coding";
    case MessageError::bad_length: return "bad length";
  }
  return {};
}

int status_of(MessageError error) {
  switch (error) {
    case MessageError::request_body_too_large: return 413;
    case MessageError::trailers_too_long:
    case MessageError::head_too_long:
    case MessageError::too_many_headers: return 431;
    case MessageError::chunk_too_large:
    case MessageError::not_http:
    case MessageError::unexpected_interim_status:
    case MessageError::too_many_interim_answers:
    case MessageError::bad_status: return 502;
    default: return 400;
  }
}

BadMessage::BadMessage(MessageError error) : BadMessage(status_of(error), std::string(to_string(error))) {}

}  // namespace thornwick::http
