#include "net/discovery_client.hpp"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_01.hpp>
#include <utility>

#include "logging/log.hpp"
#include "net/endpoint_list.hpp"
#include "net/http_status.hpp"
#include "net/net_error.hpp"

namespace thornwick::net {
namespace {

using http::BadMessage;
using http::MessageReader;

constexpr Time kWatchGap = 50'000;  // after an answer without news; a watch goes on for 200 ms
constexpr Time kMicrosecondsPerMillisecond = 1000;
constexpr std::string_view kLogPart = "route_table";
constexpr std::size_t kMaxListBytes = 4UL * 1024 * 1024;

Owned<GSocketAddress> discovery_address(const std::string& text) {
  auto address = parse_address(text);
  if (!address) throw NetError("discovery: not an address: " + text);
  return address;
}

}  // namespace

DiscoveryClient::DiscoveryClient(Options options, Callbacks callbacks, DiscoveryCounters& counters)
    : options_(std::move(options)),
      callbacks_(std::move(callbacks)),
      counters_(counters),
      schedule_(options_.calls,
                [random = boost::random::mt19937_64(options_.seed)]() mutable {
                  return boost::random::uniform_01<double>()(random);
                }),
      address_(discovery_address(options_.address)) {
  call_at(schedule_.first(now_us()));
}

// ---------------------------------------------------------------- calling

void DiscoveryClient::call() {
  if (!calling_) send_request(has_revision_ ? Scope::changes : Scope::whole_list);
}

void DiscoveryClient::call_at(Time when) {
  next_call_.start(when - now_us(), [this] { call(); });
}

void DiscoveryClient::fetch() {
  if (!calling_) send_request(Scope::whole_list);
}

// Guards against a mixture of two sources: the old call is dropped with whatever it may still answer, and the
// old revision is not carried over, for the new address need not count as the old one did.
void DiscoveryClient::switch_to(const std::string& address) {
  address_ = discovery_address(address);
  options_.address = address;
  call_limit_.stop();
  drop_stream();
  has_revision_ = false;
  schedule_.turned();
  send_request(Scope::whole_list);
}

void DiscoveryClient::send_request(Scope scope) {
  next_call_.stop();
  calling_ = true;
  ++counters_.calls;
  call_begun_ = now_us();
  const auto planned = schedule_.begin(call_begun_);
  request_ = request_text(scope, planned.wait);
  // Every call has its limit: a discovery that vanished sends nothing and closes nothing.
  call_limit_.start(planned.limit, [this] { fail("no answer in time"); });
  reader_ = std::make_unique<MessageReader>(MessageReader::Kind::answer, kMaxListBytes);
  body_.clear();
  if (stream_ && stream_->open()) return stream_->write(request_);
  connect();
}

std::string DiscoveryClient::request_text(Scope scope, Time wait) const {
  std::string path = "/registry/instances";
  if (scope == Scope::changes) {
    path += "?after=" + std::to_string(revision_) + "&wait_ms=" + std::to_string(wait / 1000);
  }
  return http::write_head("GET " + path + " HTTP/1.1", {{"Host", options_.address}});
}

// ---------------------------------------------------------------- the connection

// It may be one of this stream's own callbacks that wants another one.
void DiscoveryClient::drop_stream() {
  if (!stream_) return;
  stream_->close();
  deferred_delete(std::move(stream_));
}

void DiscoveryClient::connect() {
  drop_stream();
  stream_ = std::make_unique<Stream>(
      Stream::Callbacks{.connected = [this] { stream_->write(request_); },
                        .arrived = [this](std::string_view bytes) { on_bytes(bytes); },
                        .drained = {},
                        .ended = [this] { on_ended(); }});
  if (!stream_->connect(address_.get())) {
    call_limit_.start(0, [this] { fail("no connection"); });
  }
}

void DiscoveryClient::on_ended() {
  if (calling_) return fail("the connection broke");
  stream_->close();
}

void DiscoveryClient::on_bytes(std::string_view bytes) {
  if (!calling_) return stream_->close();
  reader_->feed(bytes);
  try {
    while (read_piece()) {
    }
  } catch (const BadMessage& bad) {
    fail(bad.what());
  }
}

// False: there is no further piece, or the call is over. Throws BadMessage.
bool DiscoveryClient::read_piece() {
  switch (reader_->next()) {
    case MessageReader::Piece::none: return false;
    case MessageReader::Piece::head: return true;
    case MessageReader::Piece::body:
      body_ += reader_->take_body();
      if (body_.size() <= kMaxListBytes) return true;
      fail("the list is too long");
      return false;
    case MessageReader::Piece::end: on_answer(); return false;
  }
  return false;
}

// ---------------------------------------------------------------- the answer

void DiscoveryClient::on_answer() {
  call_limit_.stop();
  if (!reader_->head().keeps_alive()) stream_->close();
  if (reader_->head().status != kStatusOk) return fail("it answered with an error");
  simdjson::dom::element list;
  if (parser_.parse(body_).get(list) != simdjson::SUCCESS || !list.is_object()) return fail("no JSON");
  if (is_too_old(list)) return fail("an older version than the one in use");
  calling_ = false;
  const std::uint64_t revision_before = revision_;
  schedule_.answered();
  note_revision(list);
  log_answer(list, revision_before);
  callbacks_.list(list);
  schedule_after_list(revision_before);
}

void DiscoveryClient::schedule_after_list(std::uint64_t revision_before) {
  // Guards against a discovery that gives no version to wait behind, and one that does not wait: the loop
  // would spin.
  if (!has_revision_) return call_at(schedule_.failed(now_us()));
  if (revision_ == revision_before) return call_at(now_us() + kWatchGap);
  // At once: a watch goes on only if the next call comes within 200 ms.
  call();
}

// An answer without news is a debug line: every watch ends in one.
void DiscoveryClient::log_answer(simdjson::dom::element list, std::uint64_t revision_before) const {
  const auto level = revision_ == revision_before ? logging::Level::debug : logging::Level::info;
  const std::string whole = is_whole_list(list) ? "yes" : "no";
  describe_call(logging::Line(level, kLogPart)
                << "discovery answered: revision " << logging::field("revision", revision_) << " after "
                << logging::field("revision_before", revision_before)
                << ", whole=" << logging::field("whole", whole));
}

// Which call a line is about: its number, where it went, and how long it took.
void DiscoveryClient::describe_call(logging::Line& line) const {
  const Time took_ms = (now_us() - call_begun_) / kMicrosecondsPerMillisecond;
  line << ", call " << logging::field("call", counters_.calls) << " to "
       << logging::field("discovery", options_.address) << " took " << logging::field("took_ms", took_ms)
       << " ms";
}

void DiscoveryClient::note_revision(simdjson::dom::element list) {
  const auto revision = read_revision(list);
  has_revision_ = revision.has_value();
  revision_ = revision.value_or(0);
}

std::optional<std::uint64_t> DiscoveryClient::revision() const {
  return has_revision_ ? std::optional(revision_) : std::nullopt;
}

// An agent that has started anew may hold what was long ago. The list in use stays, until it is clear that
// the older one is all there is.
bool DiscoveryClient::is_too_old(simdjson::dom::element list) {
  const auto revision = read_revision(list);
  const bool older = options_.calls.pushed && has_revision_ && revision && *revision < revision_;
  if (!older) {
    old_since_ = 0;
    return false;
  }
  ++counters_.old;
  if (old_since_ == 0) old_since_ = now_us();
  return now_us() - old_since_ < options_.bear_old;
}

void DiscoveryClient::fail(const char* reason) {
  if (log_limiter_.due(now_us(), reason)) {
    describe_call(logging::info(kLogPart)
                  << "a call of discovery failed: " << logging::field("reason", reason));
  }
  ++counters_.failures;
  call_limit_.stop();
  if (stream_) stream_->close();
  calling_ = false;
  call_at(schedule_.failed(now_us()));
  if (!options_.calls.pushed) callbacks_.failed();
}

}  // namespace thornwick::net
