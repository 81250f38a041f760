// The part of a client's connection that reads requests and admits them.
#include <algorithm>
#include <charconv>
#include <utility>

#include "logging/log.hpp"
#include "net/downstream_connection.hpp"
#include "net/downstream_limits.hpp"
#include "net/http_status.hpp"

namespace thornwick::net {
namespace {

using http::BadMessage;
using http::Head;
using http::MessageReader;

BadMessage id_in_use() { return {kStatusConflict, "this id has a request in work"}; }

BadMessage request_too_slow() { return {kStatusTimeout, "the request did not come in time"}; }

}  // namespace

void DownstreamServer::Connection::on_bytes(std::string_view bytes) {
  if (closing_) {
    discarded_bytes_ += bytes.size();
    if (discarded_bytes_ > kMaxDiscardedBytes) close("the client keeps sending after its last answer");
    return;
  }
  arrival_times_.record(bytes.size(), reader_.held(), now_us());
  reader_.feed(bytes);
  if (state_ != State::busy) return read_requests();
  update_held_bytes();
  if (reader_.held() > read_ahead_limit()) stream_.pause_reading();
}

// While memory is short, no more of the next request is read than a small one needs.
std::size_t DownstreamServer::Connection::read_ahead_limit() const {
  return memory_account().pressure() == MemoryPressure::none ? kMaxReadAheadBytes : kSmallRequestBytes;
}

// Reads what has come, as far as the limit allows, so that the end of the connection behind it is seen.
void DownstreamServer::Connection::read_ahead() {
  while (!stream_.ended_now() && reader_.held() <= read_ahead_limit() && stream_.readable_now()) {
    stream_.resume_reading();
    stream_.receive_pending();
  }
}

// Whether requests are left that have to wait: for other connections, or for the client to read its answers.
bool DownstreamServer::Connection::has_unread_requests() const {
  return !closed_ && !closing_ && state_ == State::idle && !reader_.between_messages();
}

void DownstreamServer::Connection::read_requests() {
  if (reading_requests_ || closed_ || closing_) return;
  if (state_ != State::busy && stream_.unsent() <= kMaxUnsentAnswerBytes) read_pieces();
  if (closed_) return;
  update_held_bytes();
  if (memory_account().pressure() == MemoryPressure::refuse) owner_.free_memory();
  if (closed_ || closing_) return;
  if (stream_.unsent() > kMaxUnsentAnswerBytes) {
    stream_.pause_reading();  // until on_drained()
    return watch_writing();
  }
  if (has_unread_requests()) {
    stream_.pause_reading();
    return next_read_.start(0, [this] { read_requests(); });
  }
  if (state_ == State::reading) pause_for_memory();
  if (state_ != State::busy && memory_queue_.queue() == nullptr) stream_.resume_reading();
}

// Reads a bounded number of requests, so that a connection with many small ones does not delay others.
void DownstreamServer::Connection::read_pieces() {
  reading_requests_ = true;
  try {
    for (int requests = 0;
         requests < kMaxRequestsPerRound && !closed_ && !closing_ && state_ != State::busy;) {
      if (!read_piece()) break;
      if (state_ != State::reading) ++requests;
    }
  } catch (const BadMessage& bad) {
    reject_bad_request(bad);
  }
  reading_requests_ = false;
}

// Large requests wait while memory is short, and small ones are still read.
void DownstreamServer::Connection::pause_for_memory() {
  if (memory_account().pressure() == MemoryPressure::none) return;
  if (reader_.held() + body_.size() <= kSmallRequestBytes) return;
  stream_.pause_reading();
  if (memory_queue_.queue() != nullptr) return;
  owner_.wait_for_memory(memory_queue_);
  memory_timeout_.start(std::max<Time>(0, request_started_at_ + client_time_limit() - now_us()), [this] {
    if (memory_queue_.queue() != nullptr) reject_for_overload();
  });
}

// Returns how long the client of the half-read request waits, as far as its head has come.
Time DownstreamServer::Connection::client_time_limit() const {
  const auto* text = head_read_ ? reader_.head().find("X-Timeout-Ms") : nullptr;
  Time limit_ms = 0;
  if (text == nullptr ||
      std::from_chars(text->data(), text->data() + text->size(), limit_ms).ec != std::errc{})
    return kRequestTimeout;
  return std::clamp<Time>(limit_ms, 0, kRequestTimeout / milliseconds(1)) * milliseconds(1);
}

void DownstreamServer::Connection::resume_reading() {
  memory_queue_.leave();
  stream_.resume_reading();
}

void DownstreamServer::Connection::update_held_bytes() {
  const std::size_t copies =
      state_ == State::busy ? 2 : 1;  // the request in flight has its own copy of the head
  head_bytes_.set(copies * reader_.memory() + (state_ == State::busy ? kRequestBytes : 0));
  if (state_ != State::busy) body_bytes_.set(body_.size());
}

// A request that was not read in time because memory was short is rejected as harmless to repeat.
void DownstreamServer::Connection::on_request_timed_out() {
  if (memory_queue_.queue() != nullptr) return reject_for_overload();
  reject_bad_request(request_too_slow());
}

// Reads the next piece of a request. Returns false if no further piece has come yet, or the request was
// rejected. Throws BadMessage.
bool DownstreamServer::Connection::read_piece() {
  if (state_ == State::idle && !reader_.between_messages()) on_first_byte();
  switch (reader_.next()) {
    case MessageReader::Piece::none: return false;
    case MessageReader::Piece::head: on_head(); return true;
    case MessageReader::Piece::body: return on_body();
    case MessageReader::Piece::end: on_complete_request(); return true;
  }
  return false;
}

void DownstreamServer::Connection::on_first_byte() {
  state_ = State::reading;
  head_read_ = false;
  half_read_.enter(owner_.half_read_);
  // Until the complete request is read, because bytes after a malformed request cannot be trusted.
  keep_open_ = false;
  can_read_on_ = false;
  request_started_at_ = arrival_times_.first_of(reader_.held(), now_us());
  // The timeout of the first request has run since the connection was accepted.
  if (queue_.queue() == &owner_.new_connections_) return;
  move_to_queue(nullptr);
  timeout_.start(kRequestTimeout, [this] { on_request_timed_out(); });
}

void DownstreamServer::Connection::on_head() {
  head_read_ = true;
  body_.clear();
  body_.reserve(reader_.announced_body_bytes());  // no larger than the request, and resident only as it comes
  if (http::has_token(reader_.head().find("Expect"), "100-continue")) {
    stream_.write("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

// Returns false if the request was rejected.
bool DownstreamServer::Connection::on_body() {
  body_ += reader_.take_body();
  if (body_.size() > http::kMaxBody) throw BadMessage(kStatusTooLarge, "body too large");
  body_bytes_.set(body_.size());
  if (memory_account().held(MemoryUse::bodies) <= owner_.options_.max_body_bytes) return true;
  reject_for_overload();
  return false;
}

void DownstreamServer::Connection::on_complete_request() {
  timeout_.stop();
  move_to_queue(nullptr);
  half_read_.leave();
  memory_queue_.leave();
  head_sent_ = false;
  congested_ = false;
  extra_headers_.clear();
  writer_.reset();
  const Head& head = reader_.head();
  can_read_on_ = head.keeps_alive();
  const std::string_view target = head.target;
  const auto path = target.substr(0, target.find('?'));
  if (head.method == "GET" && path == "/health/ready") return answer_health();
  if (path != dialect().path()) throw BadMessage(kStatusNotFound, "no such path");
  if (head.method != "POST") throw BadMessage(kStatusMethodNotAllowed, "not a POST");
  core::IncomingRequest arrival = read_arrival();
  if (!has_room_for_request()) return reject_for_overload();
  read_ahead();
  if (reader_.held() > read_ahead_limit() && stream_.readable_now()) return reject_behind_others();
  claim_id(std::move(arrival), *head.find("X-Request-ID"));
}

void DownstreamServer::Connection::answer_health() {
  keep_open_ = reader_.head().keeps_alive();
  ++owner_.counters_.health_checks;
  answer(health_answer(owner_.router_lifecycle().ready(now_us())), 0);
  on_answered();
}

core::IncomingRequest DownstreamServer::Connection::read_arrival() {
  auto call = std::make_shared<fronts::ClientRequest>();
  call->dialect = &dialect();
  call->head = reader_.head();
  call->body = std::make_shared<const std::string>(std::exchange(body_, {}));
  const Request request = fronts::read_request(*call, owner_.names_, request_started_at_);
  return {request, std::move(call)};
}

bool DownstreamServer::Connection::has_room_for_request() const {
  return owner_.busy_count_ < owner_.options_.max_busy_connections &&
         memory_account().pressure() != MemoryPressure::refuse &&
         owner_.router_lifecycle().admits_requests(now_us());
}

// A request with the id of a request in flight must not run a second time, even if another client sends it,
// and whichever process of the router has the first one.
void DownstreamServer::Connection::claim_id(core::IncomingRequest arrival, const std::string& request_id) {
  const lifecycle::IdClaim claim = owner_.shared_admission_.request_ids.claim(request_id, now_us(), *this);
  if (claim == lifecycle::IdClaim::in_use) throw id_in_use();
  request_id_ = request_id;
  arrival.external_id = request_id;
  claiming_request_ = std::move(arrival);
  keep_open_ = reader_.head().keeps_alive();
  state_ = State::busy;
  ++owner_.busy_count_;
  if (claim == lifecycle::IdClaim::granted) admit();
}

// This process has not run a request whose id nobody decided about, but the other process may have: so the
// request is rejected only where that permits it.
void DownstreamServer::Connection::on_id_decided(lifecycle::IdClaim claim) {
  if (claim == lifecycle::IdClaim::granted) return admit();
  const std::uint8_t priority_class = claiming_request_->request.priority_class;
  claiming_request_.reset();
  if (claim == lifecycle::IdClaim::in_use) return reject_bad_request(id_in_use());
  if (owner_.core_.may_reject_after_unknown_attempts(priority_class)) return reject_for_overload();
  fail_undecided();
}

void DownstreamServer::Connection::admit() {
  core::IncomingRequest arrival = std::move(*claiming_request_);
  claiming_request_.reset();
  // The request manager may answer within this call; then the connection is idle afterwards.
  const RequestId core_request_id = owner_.core_.admit(std::move(arrival), *this);
  if (state_ == State::busy) core_request_id_ = core_request_id;
}

}  // namespace thornwick::net
