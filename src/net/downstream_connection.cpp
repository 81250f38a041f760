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
               .ended = [this] { leave("the client ended it"); }}) {
  stream_.adopt(std::move(socket));
  wait_in(&owner_.new_);
}

bool DownstreamServer::Connection::nothing_to_read() const {
  return state_ == State::idle && !closing_ && reader_.between_messages() && !stream_.readable_now();
}

void DownstreamServer::Connection::on_waited_out() {
  if (state_ == State::reading) return reject_bad_request(request_too_slow());
  if (stream_.readable_now()) return wait_in(queue_);  // it is just about to be read
  if (queue_ == &owner_.new_) ++owner_.counters_.silent;
  leave("nothing came on it for long");
}

void DownstreamServer::Connection::leave(std::string_view reason) {
  if (std::exchange(left_, true)) return;
  if (logging::writes_debug()) {
    const std::string request = state_ == State::busy ? request_id_ : "none";
    logging::debug("downstream") << "connection closed: " << logging::field("reason", reason)
                                 << ", request in flight: " << logging::field("request", request);
  }
  stream_.close();
  limit_.stop();
  next_step_.stop();
  wait_in(nullptr);
  // Not in the destructor, which may run when the server is gone.
  const bool busy = state_ == State::busy;
  end_request();
  if (busy) owner_.core_.client_gone(core_request_id_);
  owner_.remove(*this);
}

// ---------------------------------------------------------------- reading requests

void DownstreamServer::Connection::on_bytes(std::string_view bytes) {
  if (closing_) {
    discarded_ += bytes.size();
    if (discarded_ > kMaxDiscarded) leave("it goes on sending after its last answer");
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
    while (!left_ && !closing_ && state_ != State::busy && read_piece()) {
    }
  } catch (const BadMessage& bad) {
    reject_bad_request(bad);
  }
  in_read_requests_ = false;
}

// False: there is no further piece yet, or the request was turned away. Throws BadMessage.
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
  keep_ = false;  // until all of it is read: what follows a broken request cannot be trusted
  request_begun_ = now_us();
  // The first one's time runs since the connection was accepted, whatever has come of it.
  if (queue_ == &owner_.new_) return;
  wait_in(nullptr);
  limit_.start(kReadLimit, [this] { reject_bad_request(request_too_slow()); });
}

void DownstreamServer::Connection::on_head() {
  body_.clear();
  if (http::has_token(reader_.head().find("Expect"), "100-continue")) {
    stream_.write("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

// False: the request was turned away.
bool DownstreamServer::Connection::on_body() {
  body_ += reader_.take_body();
  if (body_.size() > http::kMaxBody) throw BadMessage(kStatusTooLarge, "body too large");
  account_body_bytes(body_.size());
  if (owner_.shared_admission_.held_bytes <= owner_.options_.most_body_bytes) return true;
  turn_away();
  return false;
}

void DownstreamServer::Connection::on_whole_request() {
  limit_.stop();
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
  core::Arrival arrival = read_arrival();
  if (!has_room_for_request()) return turn_away();
  admit(std::move(arrival), *head.find("X-Request-ID"));
}

void DownstreamServer::Connection::answer_health() {
  keep_ = reader_.head().keeps_alive();
  ++owner_.counters_.health;
  answer(health_answer(owner_.router_lifecycle().ready(now_us())), 0);
  on_answered();
}

core::Arrival DownstreamServer::Connection::read_arrival() {
  auto call = std::make_shared<fronts::Call>();
  call->dialect = &dialect();
  call->head = reader_.head();
  call->body = std::make_shared<const std::string>(std::exchange(body_, {}));
  const Request request = fronts::read_request(*call, owner_.names_, request_begun_);
  return {request, std::move(call)};
}

bool DownstreamServer::Connection::has_room_for_request() const {
  return owner_.busy_ < owner_.options_.most_connections &&
         owner_.router_lifecycle().admits_requests(now_us());
}

void DownstreamServer::Connection::admit(core::Arrival arrival, const std::string& request_id) {
  // Guards against a second run under the id of a request that is still in work, whoever sends it.
  if (!owner_.shared_admission_.open_ids.insert(request_id).second) {
    throw BadMessage(kStatusConflict, "this id has a request in work");
  }
  request_id_ = request_id;
  arrival.external_id = request_id;
  keep_ = reader_.head().keeps_alive();
  state_ = State::busy;
  ++owner_.busy_;
  // The core may answer within this call; the connection is idle again then.
  const RequestId core_request_id = owner_.core_.admit(std::move(arrival), *this);
  if (state_ == State::busy) core_request_id_ = core_request_id;
}

// ---------------------------------------------------------------- core::Reply

void DownstreamServer::Connection::served_by(std::uint16_t model, const Allowance* allowance) {
  if (model != 0 && owner_.options_.model_name) {
    extra_headers_.push_back({"X-Served-Model", owner_.options_.model_name(model)});
  }
  if (allowance != nullptr) add_limit_headers(*allowance);
}

void DownstreamServer::Connection::event(const core::StreamEvent& event) {
  // An event of a replica that speaks the client's own dialect goes on byte for byte.
  const bool same = event.dialect == dialect().name();
  if (!same && !writer_) writer_ = dialect().writer(request_id_);
  const std::string bytes = same ? event.raw : writer_->write(event);
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

void DownstreamServer::Connection::break_off() {
  end_request();
  close_soon();
}

void DownstreamServer::Connection::reject(Time retry_after) {
  answer(overload_answer(dialect()), retry_after);
  on_answered();
}

void DownstreamServer::Connection::reject_for(const Allowance& allowance, Time retry_after) {
  if (allowance.rejected == Allowance::Rejection::over) add_limit_headers(allowance);
  // Waiting does not make a request shorter.
  const bool too_long = allowance.rejected == Allowance::Rejection::too_long;
  answer(rejection_answer(dialect(), allowance, retry_after), too_long ? 0 : retry_after);
  on_answered();
}

void DownstreamServer::Connection::fail(core::Failure failure, Time retry_after) {
  answer(failure_answer(dialect(), failure), retry_after);
  on_answered();
}

bool DownstreamServer::Connection::client_connected() {
  if (!stream_.ended_now()) return true;
  next_step_.start(0, [this] { leave("the client ended it"); });  // not from within the core's call
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

// Guards the memory against clients that read slowly: their replica has to wait.
void DownstreamServer::Connection::watch_congestion() {
  if (stream_.unsent() <= owner_.options_.congested || std::exchange(congested_, true)) return;
  owner_.core_.client_congested(core_request_id_);
  limit_.start(kWriteLimit, [this] { leave("the client does not read"); });
}

// There is no room for this request: nothing of it is kept, and its connection goes too.
void DownstreamServer::Connection::turn_away() {
  ++owner_.counters_.crowded;
  if (const auto* priority = reader_.head().find("X-Priority-Class")) owner_.options_.turned_away(*priority);
  keep_ = false;
  reject(owner_.options_.crowded_absence);
}

// Whoever sends what cannot be read, or not be used, is sent away: its connection is not kept.
void DownstreamServer::Connection::reject_bad_request(const BadMessage& bad) {
  ++owner_.counters_.bad;
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
  if (!keep_) return close_soon();
  wait_in(&owner_.idle_);
  stream_.resume_reading();
  if (!reader_.between_messages()) next_step_.start(0, [this] { read_requests(); });
}

// ---------------------------------------------------------------- closing

void DownstreamServer::Connection::close_soon() {
  closing_ = true;
  wait_in(nullptr);
  limit_.start(kCloseLimit, [this] { leave("the client does not end it"); });
  if (stream_.unsent() == 0) on_last_byte_sent();
}

// Guards the answer against a reset: closing a connection with unread input would send one, and the client
// might lose what it has not read yet. So it is sent the end first, and what it still sends is dropped.
void DownstreamServer::Connection::on_last_byte_sent() {
  if (reader_.between_messages() && !stream_.readable_now()) {
    next_step_.start(0, [this] { leave("its last answer is out"); });
  } else if (!std::exchange(finished_sending_, true)) {
    stream_.finish_sending();
    stream_.resume_reading();
  }
}

void DownstreamServer::Connection::on_drained() {
  if (closing_) return on_last_byte_sent();
  if (!std::exchange(congested_, false)) return;
  limit_.stop();
  if (state_ == State::busy) owner_.core_.client_caught_up(core_request_id_);
}

// ---------------------------------------------------------------- accounting

void DownstreamServer::Connection::account_body_bytes(std::size_t size) {
  owner_.shared_admission_.held_bytes += size - body_bytes_;
  body_bytes_ = size;
}

// Whatever was being read or in work is over.
void DownstreamServer::Connection::end_request() {
  account_body_bytes(0);
  if (std::exchange(state_, State::idle) != State::busy) return;
  --owner_.busy_;
  owner_.shared_admission_.open_ids.erase(request_id_);
}

// A connection without a request in work waits in one of its server's queues (nullptr: in none), or has a
// limit of its own.
void DownstreamServer::Connection::wait_in(Waiting* queue) {
  if (queue_ != nullptr) queue_->erase(queue_position_);
  queue_ = queue;
  if (queue == nullptr) return;
  queue_position_ = queue->insert(queue->end(), this);
  waiting_since_ = now_us();
  if (!owner_.waiting_check_timer_.running()) owner_.start_waiting_check();
}

}  // namespace thornwick::net
