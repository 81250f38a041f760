#include "net/downstream_connection.hpp"

#include <utility>

#include "logging/log.hpp"
#include "net/downstream_limits.hpp"
#include "net/http_status.hpp"

namespace thornwick::net {
namespace {

using http::BadMessage;

}  // namespace

DownstreamServer::Connection::Connection(DownstreamServer& owner, Owned<GSocket> socket)
    : owner_(owner),
      stream_({.connected = {},
               .arrived = [this](std::string_view bytes) { on_bytes(bytes); },
               .drained = [this] { on_drained(); },
               .ended = [this] { close("closed by the client"); }}) {
  stream_.count_unsent_bytes(MemoryUse::answers);
  stream_.adopt(std::move(socket));
  move_to_queue(&owner_.new_connections_);
}

bool DownstreamServer::Connection::nothing_to_read() const {
  return state_ == State::idle && !closing_ && reader_.between_messages() && stream_.unsent() == 0 &&
         !stream_.readable_now();
}

void DownstreamServer::Connection::on_waiting_timed_out() {
  if (state_ == State::reading) return on_request_timed_out();
  // The loop reads the request next, or the client still reads its last answer.
  const bool writing = stream_.unsent() > 0 && !writing_stalled();
  if (stream_.readable_now() || writing) return move_to_queue(queue_.queue());
  if (queue_.queue() == &owner_.new_connections_) ++owner_.counters_.timed_out;
  close("no request in time");
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
  next_read_.stop();
  memory_timeout_.stop();
  move_to_queue(nullptr);
  half_read_.leave();
  memory_queue_.leave();
  // The request ends here rather than in the destructor, which may run after the server's destructor.
  const bool admitted = state_ == State::busy && !claiming_request_;
  if (admitted) owner_.core_.client_disconnected(core_request_id_);
  end_request();
  release_buffers();
  owner_.remove(*this);
}

void DownstreamServer::Connection::begin_answer(std::uint16_t model, const Allowance* allowance) {
  if (model != 0 && owner_.options_.model_name) {
    extra_headers_.push_back({"X-Served-Model", owner_.options_.model_name(model)});
  }
  if (allowance != nullptr) add_limit_headers(*allowance);
}

void DownstreamServer::Connection::send_event(const core::StreamEvent& event) {
  // An event from a replica of the client's own dialect is forwarded byte for byte.
  const bool same_dialect = event.dialect == dialect().name();
  if (!same_dialect && !writer_) writer_ = dialect().event_writer(request_id_);
  const std::string bytes = same_dialect ? event.raw_frame : writer_->write(event);
  if (bytes.empty()) return;
  std::string out;
  if (!std::exchange(head_sent_, true)) {
    out = write_stream_head(announce_after_answer(), std::exchange(extra_headers_, {}));
  }
  out += http::write_chunk(bytes);
  stream_.write(std::move(out));
  check_congestion();
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
  // A request that is too long gets no Retry-After, because a retry would be too long as well.
  const bool too_long = allowance.rejection == Allowance::Rejection::context_exceeded;
  answer(rejection_answer(dialect(), allowance, retry_after), too_long ? 0 : retry_after);
  on_answered();
}

void DownstreamServer::Connection::fail(core::FailureReason failure, Time retry_after) {
  answer(failure_answer(dialect(), failure), retry_after);
  on_answered();
}

bool DownstreamServer::Connection::client_connected() {
  read_ahead();
  if (!stream_.ended_now()) return true;
  next_step_.start(0, [this] { close("closed by the client"); });  // not within the request manager's call
  return false;
}

void DownstreamServer::Connection::add_limit_headers(const Allowance& allowance) {
  for (auto& header : dialect().limit_headers(allowance, now_us())) {
    extra_headers_.push_back(std::move(header));
  }
}

// Whether bytes of a further request have come. Its client may have written all of it, and then it is owed an
// answer like the current one.
bool DownstreamServer::Connection::has_further_requests() {
  if (!can_read_on_) return false;
  read_ahead();
  return !reader_.between_messages();
}

// Whether the connection stays open after the current answer: if both the request and the phase of the router
// permit it, and otherwise as long as further requests have come.
bool DownstreamServer::Connection::stays_open() {
  const bool wanted = keep_open_ && owner_.router_lifecycle().keeps_connections();
  return wanted || has_further_requests();
}

// Decides what the head of the current answer says of the connection.
AfterAnswer DownstreamServer::Connection::announce_after_answer() {
  close_announced_ = !stays_open();
  return close_announced_ ? AfterAnswer::close_connection : AfterAnswer::keep_connection;
}

// Pauses reading from the replica of a client that reads slowly, which bounds the memory for unsent bytes.
void DownstreamServer::Connection::check_congestion() {
  const bool scarce = memory_account().pressure() != MemoryPressure::none;
  const std::size_t limit = scarce ? std::min(kCongestionBytesUnderPressure, owner_.options_.congestion_bytes)
                                   : owner_.options_.congestion_bytes;
  if (stream_.unsent() <= limit || std::exchange(congested_, true)) return;
  owner_.core_.client_congested(core_request_id_);
  watch_writing();
}

// Closes the connection if the client reads nothing for a long time. A client that reads slowly is kept.
void DownstreamServer::Connection::watch_writing() {
  if (timeout_.running()) return;
  writing_stalled();
  timeout_.start(kWriteTimeout, [this] {
    if (writing_stalled()) return close("the client does not read its answer");
    watch_writing();
  });
}

// Returns whether the client has read nothing for kWriteTimeout.
bool DownstreamServer::Connection::writing_stalled() {
  const Time now = now_us();
  if (sent_at_ == 0 || stream_.sent() != sent_bytes_) {
    sent_bytes_ = stream_.sent();
    sent_at_ = now;
  }
  return now - sent_at_ >= kWriteTimeout;
}

// Rejects the request and closes its connection, unless further requests have come.
void DownstreamServer::Connection::reject_for_overload() {
  count_overload_rejection();
  keep_open_ = false;
  reject(owner_.options_.overload_retry_after);
}

void DownstreamServer::Connection::count_overload_rejection() {
  ++owner_.counters_.overload_rejections;
  const auto* priority = head_read_ ? reader_.head().find("X-Priority-Class") : nullptr;
  if (priority != nullptr) owner_.options_.on_overload_rejection(*priority);
}

// Rejects a request behind which so many others wait unread that the end of the connection would not be seen.
// The client may have gone already, and nothing may be sent for it then.
void DownstreamServer::Connection::reject_behind_others() {
  count_overload_rejection();
  keep_open_ = reader_.head().keeps_alive();
  reject(owner_.options_.overload_retry_after);
}

// Answers a request that another process may have run, and closes its connection unless further requests have
// come.
void DownstreamServer::Connection::fail_undecided() {
  ++owner_.counters_.invalid_requests;
  keep_open_ = false;
  fail(core::FailureReason::upstream, 0);
}

// Answers a request that cannot be read or used, and closes its connection, unless it was read completely and
// further requests have come.
void DownstreamServer::Connection::reject_bad_request(const BadMessage& bad) {
  ++owner_.counters_.invalid_requests;
  keep_open_ = false;
  logging::debug("downstream") << "bad request: " << logging::field("reason", bad.what());
  answer(bad_request_answer(dialect(), bad), 0);
  on_answered();
}

void DownstreamServer::Connection::answer(const fronts::ErrorAnswer& text, Time retry_after) {
  const AfterAnswer after = announce_after_answer();
  stream_.write(write_json_answer(text, after, retry_after, std::exchange(extra_headers_, {})));
}

void DownstreamServer::Connection::on_answered() {
  const bool open = !close_announced_ && stays_open();
  end_request();
  writer_.reset();
  std::string().swap(body_);
  if (!open) return close_after_sending();
  move_to_queue(&owner_.idle_connections_);
  stream_.resume_reading();
  if (!reader_.between_messages()) next_read_.start(0, [this] { read_requests(); });
}

void DownstreamServer::Connection::close_after_sending() {
  closing_ = true;
  unread_input_ = !reader_.between_messages();
  release_buffers();
  move_to_queue(nullptr);
  timeout_.stop();
  if (stream_.unsent() == 0) return on_last_byte_sent();
  watch_writing();
}

// If the connection were closed with unread input, the kernel would send a reset, and the client could lose
// bytes of the answer that it has not read yet. Therefore the sending side is closed first, and further input
// is discarded.
void DownstreamServer::Connection::on_last_byte_sent() {
  timeout_.start(kCloseTimeout, [this] { close("the client does not close the connection"); });
  if (!unread_input_ && !stream_.readable_now()) {
    next_step_.start(0, [this] { close("the last answer was sent"); });
  } else if (!std::exchange(finished_sending_, true)) {
    stream_.finish_sending();
    stream_.resume_reading();
  }
}

void DownstreamServer::Connection::on_drained() {
  if (closing_) return on_last_byte_sent();
  if (state_ == State::idle && !reader_.between_messages()) {
    timeout_.stop();
    next_read_.start(0, [this] { read_requests(); });
  }
  if (!std::exchange(congested_, false)) return;
  timeout_.stop();
  if (state_ == State::busy) owner_.core_.client_caught_up(core_request_id_);
}

// Ends the request that is being read or in flight.
void DownstreamServer::Connection::end_request() {
  half_read_.leave();
  memory_queue_.leave();
  body_bytes_.set(0);
  if (std::exchange(state_, State::idle) != State::busy) return;
  --owner_.busy_count_;
  claiming_request_.reset();
  owner_.shared_admission_.request_ids.release(request_id_);
}

void DownstreamServer::Connection::release_buffers() {
  reader_.reset();
  std::string().swap(body_);
  head_bytes_.set(0);
  body_bytes_.set(0);
}

// Moves the connection to a queue of its server, or out of its queue if `queue` is null. A connection without
// a request in flight waits in a queue or has a timeout of its own.
void DownstreamServer::Connection::move_to_queue(WaitingQueue* queue) {
  queue_.leave();
  if (queue == nullptr) return;
  queue_.enter(*queue);
  waiting_since_ = now_us();
  if (!owner_.waiting_check_timer_.running()) owner_.start_waiting_check();
}

}  // namespace thornwick::net
