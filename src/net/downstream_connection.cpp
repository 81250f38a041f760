#include "net/downstream_connection.hpp"

#include <utility>

#include "logging/log.hpp"
#include "net/downstream_limits.hpp"
#include "net/http_status.hpp"

namespace thornwick::net {
namespace {

using http::BadMessage;
using http::Head;
using http::MessageReader;

BadMessage request_too_slow() { return {kStatusTimeout, "the request did not come in time"}; }

}  // namespace

DownstreamServer::Connection::Connection(DownstreamServer& owner, Owned<GSocket> socket)
    : owner_(owner),
      stream_({.connected = {},
               .arrived = [this](std::string_view bytes) { on_bytes(bytes); },
               .drained = [this] { on_drained(); },
               .ended = [this] { close("the client ended it"); }}) {
  stream_.adopt(std::move(socket));
  wait_in(&owner_.new_);
}

bool DownstreamServer::Connection::nothing_to_read() const {
  return state_ == State::idle && !closing_ && reader_.between_messages() && !stream_.readable_now();
}

void DownstreamServer::Connection::on_waiting_timed_out() {
  if (state_ == State::reading) return reject_bad_request(request_too_slow());
  if (stream_.readable_now()) return wait_in(queue_);  // the loop reads it next
  if (queue_ == &owner_.new_) ++owner_.counters_.timed_out;
  close("nothing came on it for long");
}

void DownstreamServer::Connection::close(std::string_view reason) {
  if (std::exchange(closed_, true)) return;
  if (logging::is_debug_enabled()) {
    const std::string request = state_ == State::busy ? request_id_ : "none";
    logging::debug("downstream") << "connection closed: " << logging::field("reason", reason)
                                 << ", request in flight: " << logging::field("request", request);
  }
  stream_.close();
  timeout_.stop();
  next_step_.stop();
  wait_in(nullptr);
  // Not in the destructor, which may run after that of the server.
  const bool busy = state_ == State::busy;
  end_request();
  if (busy) owner_.core_.client_disconnected(core_request_id_);
  owner_.remove(*this);
}

// ---------------------------------------------------------------- reading requests

void DownstreamServer::Connection::on_bytes(std::string_view bytes) {
  if (closing_) {
    discarded_ += bytes.size();
    if (discarded_ > kMaxDiscarded) close("it goes on sending after its last answer");
    return;
  }
  reader_.feed(bytes);
  if (state_ == State::busy) {
    if (reader_.held() > kMaxReadAhead) stream_.pause_reading();
    return;
  }
  read_requests();
}

void DownstreamServer::Connection::read_requests() {
  if (in_read_requests_) return;
  in_read_requests_ = true;
  try {
    while (!closed_ && !closing_ && state_ != State::busy && read_piece()) {
    }
  } catch (const BadMessage& bad) {
    reject_bad_request(bad);
  }
  in_read_requests_ = false;
}

// Returns false if no further piece has come yet, or the request was rejected. Throws BadMessage.
bool DownstreamServer::Connection::read_piece() {
  if (state_ == State::idle && !reader_.between_messages()) on_first_byte();
  switch (reader_.next()) {
    case MessageReader::Piece::none: return false;
    case MessageReader::Piece::head: on_head(); return true;
    case MessageReader::Piece::body: return on_body();
    case MessageReader::Piece::end: on_whole_request(); return true;
  }
  return false;
}

void DownstreamServer::Connection::on_first_byte() {
  state_ = State::reading;
  keep_ = false;  // until the whole request is read: bytes after a broken request cannot be trusted
  request_begun_ = now_us();
  // The timeout of the first request began when the connection was accepted.
  if (queue_ == &owner_.new_) return;
  wait_in(nullptr);
  timeout_.start(kReadLimit, [this] { reject_bad_request(request_too_slow()); });
}

void DownstreamServer::Connection::on_head() {
  body_.clear();
  if (http::has_token(reader_.head().find("Expect"), "100-continue")) {
    stream_.write("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

// Returns false if the request was rejected.
bool DownstreamServer::Connection::on_body() {
  body_ += reader_.take_body();
  if (body_.size() > http::kMaxBody) throw BadMessage(kStatusTooLarge, "body too large");
  account_body_bytes(body_.size());
  if (owner_.shared_admission_.held_bytes <= owner_.options_.max_body_bytes) return true;
  reject_for_overload();
  return false;
}

void DownstreamServer::Connection::on_whole_request() {
  timeout_.stop();
  wait_in(nullptr);
  head_sent_ = false;
  congested_ = false;
  extra_headers_.clear();
  writer_.reset();
  const Head& head = reader_.head();
  const std::string_view target = head.target;
  const auto path = target.substr(0, target.find('?'));
  if (head.method == "GET" && path == "/health/ready") return answer_health();
  if (path != dialect().path()) throw BadMessage(kStatusNotFound, "no such path");
  if (head.method != "POST") throw BadMessage(kStatusMethodNotAllowed, "not a POST");
  core::IncomingRequest arrival = read_arrival();
  if (!has_room_for_request()) return reject_for_overload();
  admit(std::move(arrival), *head.find("X-Request-ID"));
}

void DownstreamServer::Connection::answer_health() {
  keep_ = reader_.head().keeps_alive();
  ++owner_.counters_.health_checks;
  answer(health_answer(owner_.router_lifecycle().ready(now_us())), 0);
  on_answered();
}

core::IncomingRequest DownstreamServer::Connection::read_arrival() {
  auto call = std::make_shared<fronts::ClientRequest>();
  call->dialect = &dialect();
  call->head = reader_.head();
  call->body = std::make_shared<const std::string>(std::exchange(body_, {}));
  const Request request = fronts::read_request(*call, owner_.names_, request_begun_);
  return {request, std::move(call)};
}

bool DownstreamServer::Connection::has_room_for_request() const {
  return owner_.busy_ < owner_.options_.max_busy_connections &&
         owner_.router_lifecycle().admits_requests(now_us());
}

void DownstreamServer::Connection::admit(core::IncomingRequest arrival, const std::string& request_id) {
  // A request with the id of one that is in flight must not run a second time, whoever sends it.
  if (!owner_.shared_admission_.open_ids.insert(request_id).second) {
    throw BadMessage(kStatusConflict, "this id has a request in work");
  }
  request_id_ = request_id;
  arrival.external_id = request_id;
  keep_ = reader_.head().keeps_alive();
  state_ = State::busy;
  ++owner_.busy_;
  // The request manager may answer within this call, and then the connection is idle again.
  const RequestId core_request_id = owner_.core_.admit(std::move(arrival), *this);
  if (state_ == State::busy) core_request_id_ = core_request_id;
}

// ---------------------------------------------------------------- core::Reply

void DownstreamServer::Connection::begin_answer(std::uint16_t model, const Allowance* allowance) {
  if (model != 0 && owner_.options_.model_name) {
    extra_headers_.push_back({"X-Served-Model", owner_.options_.model_name(model)});
  }
  if (allowance != nullptr) add_limit_headers(*allowance);
}

void DownstreamServer::Connection::send_event(const core::StreamEvent& event) {
  // An event from a replica of the client's own dialect is forwarded byte for byte.
  const bool same = event.dialect == dialect().name();
  if (!same && !writer_) writer_ = dialect().event_writer(request_id_);
  const std::string bytes = same ? event.raw_frame : writer_->write(event);
  if (bytes.empty()) return;
  drop_keep_while_draining();
  std::string out;
  if (!std::exchange(head_sent_, true)) {
    out = write_stream_head(after_answer(), std::exchange(extra_headers_, {}));
  }
  out += http::write_chunk(bytes);
  stream_.write(std::move(out));
  watch_congestion();
}

void DownstreamServer::Connection::finish() {
  stream_.write(std::string(http::kLastChunk));
  on_answered();
}

void DownstreamServer::Connection::abort_answer() {
  end_request();
  close_after_sending();
}

void DownstreamServer::Connection::reject(Time retry_after) {
  answer(overload_answer(dialect()), retry_after);
  on_answered();
}

void DownstreamServer::Connection::reject_over_limit(const Allowance& allowance, Time retry_after) {
  if (allowance.rejection == Allowance::Rejection::limit_exceeded) add_limit_headers(allowance);
  // No Retry-After for a request that is too long: a retry would be too long as well.
  const bool too_long = allowance.rejection == Allowance::Rejection::context_exceeded;
  answer(rejection_answer(dialect(), allowance, retry_after), too_long ? 0 : retry_after);
  on_answered();
}

void DownstreamServer::Connection::fail(core::FailureReason failure, Time retry_after) {
  answer(failure_answer(dialect(), failure), retry_after);
  on_answered();
}

bool DownstreamServer::Connection::client_connected() {
  if (!stream_.ended_now()) return true;
  next_step_.start(0, [this] { close("the client ended it"); });  // not within the request manager's call
  return false;
}

// ---------------------------------------------------------------- answers

void DownstreamServer::Connection::add_limit_headers(const Allowance& allowance) {
  for (auto& header : dialect().limit_headers(allowance, now_us())) {
    extra_headers_.push_back(std::move(header));
  }
}

void DownstreamServer::Connection::drop_keep_while_draining() {
  if (!owner_.router_lifecycle().keeps_connections()) keep_ = false;
}

AfterAnswer DownstreamServer::Connection::after_answer() const {
  return keep_ ? AfterAnswer::keep_connection : AfterAnswer::close_connection;
}

// Bounds the memory for clients that read slowly: reading from their replica pauses.
void DownstreamServer::Connection::watch_congestion() {
  if (stream_.unsent() <= owner_.options_.congestion_bytes || std::exchange(congested_, true)) return;
  owner_.core_.client_congested(core_request_id_);
  timeout_.start(kWriteLimit, [this] { close("the client does not read"); });
}

// Rejects the request and closes its connection.
void DownstreamServer::Connection::reject_for_overload() {
  ++owner_.counters_.overload_rejections;
  if (const auto* priority = reader_.head().find("X-Priority-Class"))
    owner_.options_.on_overload_rejection(*priority);
  keep_ = false;
  reject(owner_.options_.overload_retry_after);
}

// Answers a request that cannot be read or used, and closes its connection.
void DownstreamServer::Connection::reject_bad_request(const BadMessage& bad) {
  ++owner_.counters_.invalid_requests;
  keep_ = false;
  logging::debug("downstream") << "bad request: " << logging::field("reason", bad.what());
  answer(bad_request_answer(dialect(), bad), 0);
  on_answered();
}

void DownstreamServer::Connection::answer(const fronts::ErrorAnswer& text, Time retry_after) {
  drop_keep_while_draining();
  stream_.write(write_json_answer(text, after_answer(), retry_after, std::exchange(extra_headers_, {})));
}

void DownstreamServer::Connection::on_answered() {
  end_request();
  writer_.reset();
  body_ = {};
  if (!keep_) return close_after_sending();
  wait_in(&owner_.idle_);
  stream_.resume_reading();
  if (!reader_.between_messages()) next_step_.start(0, [this] { read_requests(); });
}

// ---------------------------------------------------------------- closing

void DownstreamServer::Connection::close_after_sending() {
  closing_ = true;
  wait_in(nullptr);
  timeout_.start(kCloseLimit, [this] { close("the client does not end it"); });
  if (stream_.unsent() == 0) on_last_byte_sent();
}

// Closing a connection with unread input would send a reset, and the client might lose the part of the answer
// that it has not read yet. Therefore the sending side is closed first, and further input is discarded.
void DownstreamServer::Connection::on_last_byte_sent() {
  if (reader_.between_messages() && !stream_.readable_now()) {
    next_step_.start(0, [this] { close("its last answer is out"); });
  } else if (!std::exchange(finished_sending_, true)) {
    stream_.finish_sending();
    stream_.resume_reading();
  }
}

void DownstreamServer::Connection::on_drained() {
  if (closing_) return on_last_byte_sent();
  if (!std::exchange(congested_, false)) return;
  timeout_.stop();
  if (state_ == State::busy) owner_.core_.client_caught_up(core_request_id_);
}

// ---------------------------------------------------------------- accounting

void DownstreamServer::Connection::account_body_bytes(std::size_t size) {
  owner_.shared_admission_.held_bytes += size - body_bytes_;
  body_bytes_ = size;
}

// Ends the request that is being read or in flight.
void DownstreamServer::Connection::end_request() {
  account_body_bytes(0);
  if (std::exchange(state_, State::idle) != State::busy) return;
  --owner_.busy_;
  owner_.shared_admission_.open_ids.erase(request_id_);
}

// Moves the connection to a queue of its server; null: out of its queue. A connection without a request in
// flight waits in a queue, or has a timeout of its own.
void DownstreamServer::Connection::wait_in(Waiting* queue) {
  if (queue_ != nullptr) queue_->erase(queue_position_);
  queue_ = queue;
  if (queue == nullptr) return;
  queue_position_ = queue->insert(queue->end(), this);
  waiting_since_ = now_us();
  if (!owner_.waiting_check_timer_.running()) owner_.start_waiting_check();
}

}  // namespace thornwick::net
