#include "net/upstream_connection.hpp"

#include <utility>

#include "net/http_status.hpp"
#include "net/load_report.hpp"

namespace thornwick::net {
namespace {

using http::BadMessage;
using http::Head;
using http::MessageReader;

// The fraction of the keep-alive time after which an idle connection is closed.
constexpr double kIdleFraction = 0.7;
constexpr Time kProbeTimeout = milliseconds(250);
constexpr Time kHeadTimeout = milliseconds(250);      // from the first byte of a head to its end
constexpr Time kMaxEventTime = seconds(30);           // from the first byte of an event to its end
constexpr std::size_t kMaxAnswerBytes = 64UL * 1024;  // of an answer that is not an event stream
constexpr std::string_view kReportHeader = "X-Server-Load";
constexpr std::string_view kReportComment = "X-Server-Load:";

}  // namespace

UpstreamPool::Connection::Connection(UpstreamPool& owner, const EndpointEntry& entry)
    : owner_(owner),
      replica_(entry.listing.id),
      uid_(entry.uid),
      endpoint_(entry.endpoint),
      process_started_at_(entry.listing.started_at),
      dialect_(owner.dialect_of(entry)),
      stream_({.connected = [this] { on_connected(); },
               .arrived = [this](std::string_view bytes) { on_bytes(bytes); },
               .drained = [this] { on_drained(); },
               .ended = [this] { on_ended(); }}) {}

bool UpstreamPool::Connection::connect(GSocketAddress* address) {
  new_connection_ = true;
  opened_at_ = now_us();
  return stream_.connect(address);
}

void UpstreamPool::Connection::close(std::string_view reason) {
  if (std::exchange(closed_, true)) return;
  if (logging::is_debug_enabled()) {
    describe_attempt(logging::debug("upstream")) << "connection to " << logging::field("endpoint", endpoint_)
                                                 << " closed: " << logging::field("reason", reason);
  }
  job_ = Job::none;
  timeout_.stop();
  stream_.close();
  owner_.remove(*this);
}

void UpstreamPool::Connection::pause_reading() {
  reading_paused_ = true;
  stream_.pause_reading();
  if (streaming_) watch_silence();
}

void UpstreamPool::Connection::resume_reading() {
  reading_paused_ = false;
  stream_.resume_reading();
  if (streaming_) watch_silence();
}

void UpstreamPool::Connection::carry_attempt(core::AttemptId attempt,
                                             std::shared_ptr<const core::Payload> payload, Time deadline,
                                             std::uint16_t model) {
  job_ = Job::attempt;
  attempt_ = attempt;
  payload_ = std::move(payload);
  deadline_ = deadline;
  model_ = model;
  start_job();
}

void UpstreamPool::Connection::carry_probe() {
  job_ = Job::probe;
  deadline_ = now_us() + kProbeTimeout;
  start_job();
}

void UpstreamPool::Connection::start_job() {
  timeout_.stop();  // the idle timeout would close the connection during the attempt
  reader_.reset();
  frames_ = {};
  events_ = owner_.core_ == nullptr ? nullptr : dialect_.event_reader();
  body_.clear();
  load_report_.clear();
  written_ = false;
  sent_ = false;
  head_received_ = false;
  streaming_ = false;
  event_began_at_ = 0;
  reading_paused_ = false;
  if (!new_connection_) return write_request();
  timeout_.start(owner_.options_.connect_timeout,
                 [this] { finish(Outcome::connect_failed, Reuse::close, "no connection in time"); });
}

void UpstreamPool::Connection::on_connected() {
  timeout_.stop();
  write_request();
}

void UpstreamPool::Connection::write_request() {
  if (job_ == Job::probe) {
    write_probe();
  } else {
    write_attempt();
  }
}

void UpstreamPool::Connection::write_probe() {
  timeout_.start(deadline_ - now_us(),
                 [this] { finish(Outcome::timed_out, Reuse::close, "the probe got no answer in time"); });
  stream_.write("GET /stats HTTP/1.1\r\nHost: backend.local\r\n\r\n");
}

void UpstreamPool::Connection::write_attempt() {
  if (!owner_.core_->client_is_waiting(attempt_)) return;
  // The connection may come up in the round of the loop in which the attempt's deadline passes. The
  // connection itself can be reused.
  if (now_us() >= deadline_)
    return finish(Outcome::not_sent, Reuse::keep, "the deadline had passed when the connection came up");
  if (!owner_.core_->repeat_is_allowed(attempt_))
    return finish(Outcome::not_sent, Reuse::keep,
                  "the time in which replicas discard a repeat had passed when the connection came up");
  // The endpoint list may have changed while the connection came up. A draining replica gets no new attempt,
  // and another process may have this one's address now.
  if (!owner_.leads_to_listed_endpoint(*this)) {
    ++owner_.counters_.replica_draining;
    return finish(Outcome::not_sent, Reuse::keep,
                  "the replica has been draining since the connection was started");
  }
  const auto& call = static_cast<const fronts::ClientRequest&>(*payload_);
  try {
    const bool named = model_ != 0 && owner_.options_.model_name;
    auto bytes = fronts::write_attempt(call, dialect_, deadline_ - now_us(),
                                       named ? owner_.options_.model_name(model_) : "");
    stream_.write(std::move(bytes.head));
    written_ = true;
    stream_.write(std::move(bytes.body));
    on_drained();
  } catch (const BadMessage& bad) {
    describe_attempt(logging::info("upstream"))
        << "request cannot be translated to the replica's dialect: " << logging::field("reason", bad.what());
    return finish(Outcome::not_sent, Reuse::keep,
                  "the request cannot be translated to the replica's dialect");
  }
  payload_.reset();
}

void UpstreamPool::Connection::on_drained() {
  if (!written_ || stream_.broken() || stream_.unsent() > 0) return;
  if (!std::exchange(sent_, true)) owner_.options_.on_attempt_sent();
}

void UpstreamPool::Connection::on_bytes(std::string_view bytes) {
  if (job_ == Job::none) return close("unexpected bytes from the replica");
  reader_.feed(bytes);
  try {
    while (job_ != Job::none && !closed_ && read_piece()) {
    }
  } catch (const BadMessage& bad) {
    on_broken_answer(bad.what());
  }
  update_held_bytes();
  if (job_ == Job::attempt && !head_received_) watch_head();
}

void UpstreamPool::Connection::update_held_bytes() {
  answer_bytes_.set(job_ == Job::none ? 0 : reader_.memory() + frames_.memory() + body_.capacity());
}

// Reads the next piece of the answer. Returns false if no further piece has come yet. Throws BadMessage.
bool UpstreamPool::Connection::read_piece() {
  switch (reader_.next()) {
    case MessageReader::Piece::none: return false;
    case MessageReader::Piece::head: on_head(); return true;
    case MessageReader::Piece::body: on_body(reader_.take_body()); return true;
    case MessageReader::Piece::end: on_complete_answer(); return true;
  }
  return false;
}

void UpstreamPool::Connection::on_head() {
  const Head& head = reader_.head();
  if (const auto* load = head.find(kReportHeader)) {
    load_report_ = read_load_report(*load, owner_.options_.report_names);
  }
  if (job_ != Job::attempt) return;
  head_received_ = true;
  streaming_ = head.status == kStatusOk;
  watch_silence();
}

void UpstreamPool::Connection::on_body(const std::string& bytes) {
  if (streaming_) return on_stream_bytes(bytes);
  if (job_ == Job::attempt) watch_silence();
  body_ += bytes;
  if (body_.size() > kMaxAnswerBytes) throw BadMessage(kStatusBadGateway, "answer too long");
}

void UpstreamPool::Connection::on_stream_bytes(const std::string& bytes) {
  frames_.feed(bytes);
  while (job_ == Job::attempt) {
    auto frame = frames_.next();
    if (!frame) break;
    // Only a frame with an event or a comment restarts the timeout, because blank lines can go on for ever.
    watch_silence();
    forward_event(std::move(*frame));
  }
  if (job_ == Job::attempt) watch_partial_event();
  if (frames_.held() > owner_.options_.max_event_bytes) throw BadMessage(kStatusBadGateway, "event too long");
}

// A replica that writes one event slowly is alive, so each part of an event restarts the timeout, for a
// bounded time.
void UpstreamPool::Connection::watch_partial_event() {
  if (!frames_.has_partial_frame()) {
    event_began_at_ = 0;
    return;
  }
  const Time now = now_us();
  if (event_began_at_ == 0) event_began_at_ = now;
  if (now - event_began_at_ < kMaxEventTime) watch_silence();
}

bool UpstreamPool::Connection::leads_to(const EndpointEntry& entry) const {
  const Time started_at = entry.listing.started_at;
  const bool restarted = started_at > process_started_at_ && started_at > opened_at_;
  return entry.uid == uid_ && entry.endpoint == endpoint_ && !restarted;
}

void UpstreamPool::Connection::forward_event(std::string frame) {
  core::StreamEvent event = events_->read(std::move(frame));
  event.dialect = dialect_.name();
  if (event.kind == core::EventKind::comment && event.text.starts_with(kReportComment)) {
    std::string_view report = event.text;
    report.remove_prefix(kReportComment.size());
    load_report_ = read_load_report(report, owner_.options_.report_names);
  }
  owner_.core_->attempt_event(attempt_, event);
}

void UpstreamPool::Connection::on_complete_answer() {
  const Head& head = reader_.head();
  const Reuse reuse = head.keeps_alive() && reader_.between_messages() ? Reuse::keep : Reuse::close;
  if (streaming_) {
    if (std::string last_frame = frames_.rest(); !last_frame.empty()) forward_event(std::move(last_frame));
    if (job_ == Job::attempt) finish(Outcome::served, reuse, "served");
  } else if (job_ == Job::probe) {
    const bool served = head.status == kStatusOk;
    if (served && load_report_.empty()) load_report_ = read_load_report(body_, owner_.options_.report_names);
    finish(served ? Outcome::served : Outcome::error, reuse, "probed");
  } else {
    const bool full = dialect_.proves_not_started(head);
    finish(full ? Outcome::full : Outcome::error, reuse,
           full ? "the replica is full" : "the replica answered with an error");
  }
}

void UpstreamPool::Connection::on_ended() {
  if (job_ == Job::none) return close("the replica closed the idle connection");
  if (!streaming_ || !reader_.complete_at_end_of_connection()) {
    if (!sent_)
      return finish(Outcome::connect_failed, Reuse::close,
                    "no connection, or the connection broke before the request was sent");
    return finish(Outcome::reset, Reuse::close, "the connection ended before the answer was complete");
  }
  try {
    on_complete_answer();
  } catch (const BadMessage& bad) {
    on_broken_answer(bad.what());
  }
}

// The answer violates the protocol, but the replica may have run the request. Therefore the attempt fails as
// if its connection had broken. The connection cannot be reused.
void UpstreamPool::Connection::on_broken_answer(std::string_view reason) {
  ++owner_.counters_.malformed_answers;
  describe_attempt(logging::warning("upstream"))
      << "invalid response from the replica: " << logging::field("reason", reason);
  finish(Outcome::reset, Reuse::close, reason);
}

// Limits the time from the first byte of a head to its end. The time between an interim answer and the final
// answer is not limited.
void UpstreamPool::Connection::watch_head() {
  if (reader_.between_messages()) return timeout_.stop();
  if (timeout_.running()) return;
  timeout_.start(kHeadTimeout, [this] { on_broken_answer("the head did not end in time"); });
}

// Detects a replica that has vanished in mid-stream. Without this timeout, the client would wait for ever.
void UpstreamPool::Connection::watch_silence() {
  if (reading_paused_) return timeout_.stop();  // the client is slow, not the replica
  timeout_.start(owner_.options_.silence_timeout, [this] {
    ++owner_.counters_.stalled_streams;
    finish(Outcome::reset, Reuse::close, "no event in time");
  });
}

// Ends the job. The connection becomes idle or is closed before the request manager is notified of the end,
// because the request manager may launch the next attempt at once.
void UpstreamPool::Connection::finish(Outcome outcome, Reuse reuse, std::string_view reason) {
  const Job job = std::exchange(job_, Job::none);
  if (job == Job::none) return;
  if (job == Job::attempt && logging::is_debug_enabled()) {
    describe_attempt(logging::debug("upstream")) << "attempt ended: " << logging::field("reason", reason);
  }
  timeout_.stop();
  payload_.reset();
  owner_.attempts_.erase(attempt_);
  const std::vector<float> report = std::exchange(load_report_, {});
  if (reuse == Reuse::keep && stream_.open() && owner_.leads_to_listed_endpoint(*this)) {
    become_idle();
  } else {
    close(reason);
  }
  if (job == Job::probe) return owner_.core_->probe_ended(replica_, outcome == Outcome::served, report);
  owner_.core_->attempt_ended(attempt_, outcome, report);
}

// Idle connections are closed well before the replica would close them, because a request that is written to
// a closed connection counts as reset and is not sent again silently.
void UpstreamPool::Connection::become_idle() {
  new_connection_ = false;
  idle_since_ = now_us();
  reading_paused_ = false;
  stream_.resume_reading();
  owner_.add_to_idle(*this);
  const double idle_time = kIdleFraction * static_cast<double>(owner_.options_.keepalive);
  timeout_.start(static_cast<Time>(idle_time), [this] { close("the idle timeout has passed"); });
}

// Adds the fields that identify the attempt and its replica to a log line, whose text is the same for all
// attempts.
logging::Line& UpstreamPool::Connection::describe_attempt(logging::Line&& line) const {
  const EndpointEntry* entry = owner_.endpoints_.find(replica_);
  return line.with("request_number", attempt_.request_id)
      .with("attempt", attempt_.number + 1)
      .with("replica", entry == nullptr ? std::string("removed") : entry->uid);
}

}  // namespace thornwick::net
