#include "net/downstream_answers.hpp"

#include "fronts/chat.hpp"
#include "net/http_status.hpp"

namespace thornwick::net {
namespace {

using fronts::ErrorAnswer;
using fronts::Rejection;
using http::Header;

std::string_view connection_text(AfterAnswer after) {
  return after == AfterAnswer::keep_connection ? "keep-alive" : "close";
}

Rejection rejection_of(int status) {
  if (status == kStatusTooLarge) return Rejection::too_large;
  if (status == kStatusNotFound) return Rejection::not_found;
  return Rejection::bad_request;
}

}  // namespace

ErrorAnswer health_answer(bool ready) {
  if (ready) return {kStatusOk, "{\"ready\":true}"};
  return {kStatusUnavailable, "{\"ready\":false}"};
}

ErrorAnswer overload_answer(const fronts::Dialect& dialect) {
  return dialect.error(Rejection::overloaded, "refused: try again later");
}

ErrorAnswer rejection_answer(const fronts::Dialect& dialect, const Allowance& allowance, Time retry_after) {
  if (allowance.rejection == Allowance::Rejection::limit_exceeded) {
    const std::string text = "the limit of " + allowance.subject + " is used up" +
                             (retry_after > 0 ? "" : ", and this request is larger than all of it");
    return dialect.error(Rejection::over_limit, text);
  }
  if (allowance.rejection == Allowance::Rejection::context_exceeded) {
    return dialect.error(Rejection::bad_request,
                         "prompt and answer limit are longer than the context of " + allowance.subject);
  }
  return dialect.error(Rejection::overloaded, "no box serves " + allowance.subject + " now");
}

ErrorAnswer failure_answer(const fronts::Dialect& dialect, core::FailureReason failure) {
  if (failure == core::FailureReason::timed_out)
    return dialect.error(Rejection::timed_out, "no answer in time");
  return dialect.error(Rejection::failed, "the answer failed");
}

ErrorAnswer bad_request_answer(const fronts::Dialect& dialect, const http::BadMessage& bad) {
  ErrorAnswer answer = dialect.error(rejection_of(bad.status), bad.what());
  answer.status = bad.status;
  return answer;
}

std::string write_json_answer(const ErrorAnswer& answer, AfterAnswer after, Time retry_after,
                              const std::vector<Header>& extra_headers) {
  std::vector<Header> headers = {{"Content-Type", "application/json"},
                                 {"Content-Length", std::to_string(answer.body.size())},
                                 {"Connection", std::string(connection_text(after))}};
  if (retry_after > 0) headers.push_back({"Retry-After", fronts::seconds_text(retry_after)});
  headers.insert(headers.end(), extra_headers.begin(), extra_headers.end());
  return http::write_head(http::status_line(answer.status), headers) + answer.body;
}

std::string write_stream_head(AfterAnswer after, const std::vector<Header>& extra_headers) {
  std::vector<Header> headers = {{"Content-Type", "text/event-stream"},
                                 {"Cache-Control", "no-cache"},
                                 {"Transfer-Encoding", "chunked"},
                                 {"Connection", std::string(connection_text(after))}};
  headers.insert(headers.end(), extra_headers.begin(), extra_headers.end());
  return http::write_head(http::status_line(kStatusOk), headers);
}

}  // namespace thornwick::net
