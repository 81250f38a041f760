#include "net/discovery_connection.hpp"

#include <utility>

#include "net/clock.hpp"
#include "net/http_status.hpp"

namespace thornwick::net {
namespace {

using http::BadMessage;
using http::MessageReader;

constexpr std::size_t kMaxListBytes = 4UL * 1024 * 1024;

}  // namespace

std::string_view to_string(CallFailureKind kind) {
  switch (kind) {
    case CallFailureKind::no_connection: return "no connection";
    case CallFailureKind::connection_broken: return "the connection broke";
    case CallFailureKind::timed_out: return "no answer in time";
    case CallFailureKind::malformed_answer: return "the answer is malformed";
    case CallFailureKind::error_status: return "the answer has an error status";
    case CallFailureKind::list_too_long: return "the list is too long";
    case CallFailureKind::not_json: return "the answer is not a JSON object";
    case CallFailureKind::older_revision: break;
  }
  return "an older version than the one in use";
}

DiscoveryConnection::DiscoveryConnection()
    : stream_({.connected = [this] { on_connected(); },
               .arrived = [this](std::string_view bytes) { on_bytes(bytes); },
               .drained = {},
               .ended = [this] { on_ended(); }}),
      reader_(MessageReader::Kind::answer, kMaxListBytes) {}

void DiscoveryConnection::send_call(const DiscoveryCall& call, std::string request) {
  call_ = call;
  call_in_progress_ = true;
  reader_ = MessageReader(MessageReader::Kind::answer, kMaxListBytes);
  body_.clear();
  // Without this timeout, a call would never end if discovery vanished without closing the connection.
  timeout_.start(call.plan.give_up_at - now_us(), [this] { fail({.kind = CallFailureKind::timed_out}); });
  if (connected_) return stream_.write(std::move(request));
  request_ = std::move(request);
}

void DiscoveryConnection::close() {
  call_in_progress_ = false;
  timeout_.stop();
  stream_.close();
}

void DiscoveryConnection::on_connected() {
  connected_ = true;
  stream_.write(std::move(request_));
}

// An answer without a length or chunks ends with its connection. If it was cut, its list is no JSON object.
void DiscoveryConnection::on_ended() {
  if (!call_in_progress_) return close();
  if (!reader_.complete_at_end_of_connection()) return fail({.kind = CallFailureKind::connection_broken});
  stream_.close();
  on_complete_answer();
}

void DiscoveryConnection::on_bytes(std::string_view bytes) {
  if (!call_in_progress_) return close();  // no call is in progress
  reader_.feed(bytes);
  try {
    while (read_piece()) {
    }
  } catch (const BadMessage& bad) {
    fail({.kind = CallFailureKind::malformed_answer, .detail = bad.what()});
  }
}

// Reads the next piece of the answer. Returns false if no further piece has come yet, or the call has ended.
// Throws BadMessage.
bool DiscoveryConnection::read_piece() {
  switch (reader_.next()) {
    case MessageReader::Piece::none: return false;
    case MessageReader::Piece::head: return true;
    case MessageReader::Piece::body:
      body_ += reader_.take_body();
      if (body_.size() <= kMaxListBytes) return true;
      fail({.kind = CallFailureKind::list_too_long});
      return false;
    case MessageReader::Piece::end: on_complete_answer(); return false;
  }
  return false;
}

void DiscoveryConnection::on_complete_answer() {
  if (reader_.head().status != kStatusOk) {
    return fail({.kind = CallFailureKind::error_status, .detail = std::to_string(reader_.head().status)});
  }
  call_in_progress_ = false;
  timeout_.stop();
  if (!reader_.head().keeps_alive()) stream_.close();
  callbacks_.on_answer(body_);
}

void DiscoveryConnection::fail(const CallFailure& failure) {
  close();
  callbacks_.on_failure(failure);
}

}  // namespace thornwick::net
