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
    case CallFailureKind::malformed_answer: return "a malformed answer";
    case CallFailureKind::error_status: return "it answered with an error";
    case CallFailureKind::list_too_long: return "the list is too long";
    case CallFailureKind::no_json: return "no JSON";
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

void DiscoveryConnection::begin(const DiscoveryCall& call, std::string request) {
  call_ = call;
  calling_ = true;
  reader_ = MessageReader(MessageReader::Kind::answer, kMaxListBytes);
  body_.clear();
  // Without this timeout a call to a discovery that has vanished would never end.
  timeout_.start(call.plan.give_up_at - now_us(), [this] { fail({.kind = CallFailureKind::timed_out}); });
  if (connected_) return stream_.write(std::move(request));
  request_ = std::move(request);
}

void DiscoveryConnection::close() {
  calling_ = false;
  timeout_.stop();
  stream_.close();
}

void DiscoveryConnection::on_connected() {
  connected_ = true;
  stream_.write(std::move(request_));
}

void DiscoveryConnection::on_ended() {
  if (calling_) return fail({.kind = CallFailureKind::connection_broken});
  close();
}

void DiscoveryConnection::on_bytes(std::string_view bytes) {
  if (!calling_) return close();  // no call is out
  reader_.feed(bytes);
  try {
    while (read_piece()) {
    }
  } catch (const BadMessage& bad) {
    fail({.kind = CallFailureKind::malformed_answer, .detail = bad.what()});
  }
}

// Returns false if no further piece has come yet, or the call has ended. Throws BadMessage.
bool DiscoveryConnection::read_piece() {
  switch (reader_.next()) {
    case MessageReader::Piece::none: return false;
    case MessageReader::Piece::head: return true;
    case MessageReader::Piece::body:
      body_ += reader_.take_body();
      if (body_.size() <= kMaxListBytes) return true;
      fail({.kind = CallFailureKind::list_too_long});
      return false;
    case MessageReader::Piece::end: on_whole_answer(); return false;
  }
  return false;
}

void DiscoveryConnection::on_whole_answer() {
  if (reader_.head().status != kStatusOk) {
    return fail({.kind = CallFailureKind::error_status, .detail = std::to_string(reader_.head().status)});
  }
  calling_ = false;
  timeout_.stop();
  if (!reader_.head().keeps_alive()) stream_.close();
  callbacks_.answered(body_);
}

void DiscoveryConnection::fail(const CallFailure& failure) {
  close();
  callbacks_.failed(failure);
}

}  // namespace thornwick::net
