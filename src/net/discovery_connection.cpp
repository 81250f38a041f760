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
  // Every call has its limit: a discovery that vanished sends nothing and closes nothing.
  limit_.start(call.plan.limit - now_us(), [this] { fail({.kind = "no answer in time"}); });
  if (connected_) return stream_.write(std::move(request));
  request_ = std::move(request);
}

void DiscoveryConnection::close() {
  calling_ = false;
  limit_.stop();
  stream_.close();
}

void DiscoveryConnection::on_connected() {
  connected_ = true;
  stream_.write(std::move(request_));
}

void DiscoveryConnection::on_ended() {
  if (calling_) return fail({.kind = "the connection broke"});
  close();
}

void DiscoveryConnection::on_bytes(std::string_view bytes) {
  if (!calling_) return close();  // nothing was asked
  reader_.feed(bytes);
  try {
    while (read_piece()) {
    }
  } catch (const BadMessage& bad) {
    fail({.kind = "a malformed answer", .detail = bad.what()});
  }
}

// False: there is no further piece, or the call is over. Throws BadMessage.
bool DiscoveryConnection::read_piece() {
  switch (reader_.next()) {
    case MessageReader::Piece::none: return false;
    case MessageReader::Piece::head: return true;
    case MessageReader::Piece::body:
      body_ += reader_.take_body();
      if (body_.size() <= kMaxListBytes) return true;
      fail({.kind = "the list is too long"});
      return false;
    case MessageReader::Piece::end: on_whole_answer(); return false;
  }
  return false;
}

void DiscoveryConnection::on_whole_answer() {
  if (reader_.head().status != kStatusOk) {
    return fail({.kind = "it answered with an error", .detail = std::to_string(reader_.head().status)});
  }
  calling_ = false;
  limit_.stop();
  if (!reader_.head().keeps_alive()) stream_.close();
  callbacks_.answered(body_);
}

void DiscoveryConnection::fail(const CallFailure& failure) {
  close();
  callbacks_.failed(failure);
}

}  // namespace thornwick::net
