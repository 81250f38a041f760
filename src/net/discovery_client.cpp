#include "net/discovery_client.hpp"

#include <algorithm>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_01.hpp>
#include <utility>

#include "http/http.hpp"
#include "logging/log.hpp"
#include "net/descriptors.hpp"
#include "net/endpoint_list.hpp"
#include "net/net_error.hpp"

namespace thornwick::net {
namespace {

constexpr Time kWatchGap = milliseconds(50);  // after an answer without news; a watch goes on for 200 ms
constexpr std::string_view kLogPart = "discovery";

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
      schedule_(options_.schedule,
                [random = boost::random::mt19937_64(options_.seed)]() mutable {
                  return boost::random::uniform_01<double>()(random);
                }),
      address_(discovery_address(options_.address)) {
  call_at(schedule_.first_call_time(now_us()));
}

// ---------------------------------------------------------------- calling

void DiscoveryClient::call() { send_request(has_revision_ ? Scope::changes : Scope::whole_list); }

void DiscoveryClient::call_at(Time when) {
  next_call_.start(when - now_us(), [this] { call(); });
}

void DiscoveryClient::fetch() {
  if (calls_out_.empty()) send_request(Scope::whole_list);
}

// Answers of the two addresses must not be mixed: calls to the old address are dropped, and its revision is
// forgotten, because the new address may count revisions differently.
void DiscoveryClient::switch_to(const std::string& address) {
  address_ = discovery_address(address);
  options_.address = address;
  drop(std::move(idle_));
  for (auto& out : std::exchange(calls_out_, {})) drop(std::move(out));
  has_revision_ = false;
  schedule_.on_server_changed();
  send_request(Scope::whole_list);
}

void DiscoveryClient::send_request(Scope scope) {
  ++counters_.calls;
  const DiscoveryCall call{.number = counters_.calls, .plan = schedule_.begin_call(now_us())};
  call_at(call.plan.next_call_at);
  limit_calls_out(core::DiscoverySchedule::kMaxCallsInFlight - 1);
  auto connection = take_connection();
  if (!connection) return fail(call, {.kind = CallFailureKind::no_connection});
  connection->begin(call, request_text(scope, call.plan.max_wait));
  calls_out_.push_back(std::move(connection));
}

std::string DiscoveryClient::request_text(Scope scope, Time wait) const {
  std::string path = "/registry/instances";
  if (scope == Scope::changes) {
    path += "?after=" + std::to_string(revision_) + "&wait_ms=" + std::to_string(wait / milliseconds(1));
  }
  return http::write_head("GET " + path + " HTTP/1.1", {{"Host", options_.address}});
}

// ---------------------------------------------------------------- connections

// Returns null if no connection can be had.
std::unique_ptr<DiscoveryConnection> DiscoveryClient::take_connection() {
  if (idle_ && idle_->open()) return std::move(idle_);
  drop(std::move(idle_));
  if (calls_out_.empty() || descriptors().held < descriptors().limit) return connect();
  // Without a free descriptor the oldest call is dropped, because its connection may be dead.
  drop(std::move(calls_out_.front()));
  calls_out_.erase(calls_out_.begin());
  ++counters_.failures;
  return connect();
}

// Returns null if it failed at once.
std::unique_ptr<DiscoveryConnection> DiscoveryClient::connect() {
  auto connection = std::make_unique<DiscoveryConnection>();
  DiscoveryConnection& made = *connection;
  made.set_callbacks({.answered = [this, &made](const std::string& body) { on_answer(made, body); },
                      .failed = [this, &made](const CallFailure& failure) { on_failure(made, failure); }});
  if (!connection->connect(address_.get())) return nullptr;
  return connection;
}

// Drops the second oldest call until no more than `max_calls` are out (core/discovery_schedule.hpp).
void DiscoveryClient::limit_calls_out(std::size_t max_calls) {
  while (calls_out_.size() > max_calls) {
    const auto given_up = calls_out_.begin() + (calls_out_.size() > 1 ? 1 : 0);
    ++counters_.failures;
    logging::debug(kLogPart) << "call " << (*given_up)->call().number << " abandoned";
    drop(std::move(*given_up));
    calls_out_.erase(given_up);
  }
}

// Deferred, because a callback of the connection itself may run now.
void DiscoveryClient::drop(std::unique_ptr<DiscoveryConnection> connection) {
  if (!connection) return;
  connection->close();
  deferred_delete(std::move(connection));
}

// Returns null if its call was dropped meanwhile.
std::unique_ptr<DiscoveryConnection> DiscoveryClient::take_out(const DiscoveryConnection& connection) {
  const auto found = std::find_if(calls_out_.begin(), calls_out_.end(),
                                  [&](const auto& out) { return out.get() == &connection; });
  if (found == calls_out_.end()) return nullptr;
  auto taken = std::move(*found);
  calls_out_.erase(found);
  return taken;
}

// ---------------------------------------------------------------- answers

void DiscoveryClient::on_answer(DiscoveryConnection& connection, const std::string& body) {
  const DiscoveryCall call = connection.call();
  simdjson::dom::element list;
  if (parser_.parse(body).get(list) != simdjson::SUCCESS || !list.is_object()) {
    return on_failure(connection, {.kind = CallFailureKind::no_json});
  }
  if (is_too_old(list)) return on_failure(connection, {.kind = CallFailureKind::older_revision});
  drop(std::exchange(idle_, take_out(connection)));
  limit_calls_out(0);
  const std::uint64_t revision_before = revision_;
  schedule_.on_call_answered();
  note_revision(list);
  log_answer(call, list, revision_before);
  callbacks_.list(list);
  schedule_after_list(call, revision_before);
}

// Only a failure of the latest call schedules the next one; failures of earlier calls do not.
void DiscoveryClient::on_failure(DiscoveryConnection& connection, const CallFailure& failure) {
  const DiscoveryCall call = connection.call();
  drop(take_out(connection));
  fail(call, failure);
}

void DiscoveryClient::fail(const DiscoveryCall& call, const CallFailure& failure) {
  ++counters_.failures;
  const bool due = log_limiter_.allows(now_us(), to_string(failure.kind));
  const auto level = due ? logging::Level::info : logging::Level::debug;
  logging::Line line(level, kLogPart);
  line << "call failed: " << logging::field("reason", to_string(failure.kind));
  if (!failure.detail.empty()) line << " (" << logging::field("detail", failure.detail) << ")";
  describe_call(line, call);
  if (call.number == counters_.calls) call_at(schedule_.on_call_failed(now_us(), call.plan));
  if (!options_.schedule.uses_local_agent) callbacks_.failed();
}

void DiscoveryClient::schedule_after_list(const DiscoveryCall& call, std::uint64_t revision_before) {
  if (!calls_out_.empty()) return;  // the callback has asked for another list
  // Without these two pauses the loop would spin if discovery's list has no revision, or if discovery answers
  // a watch at once.
  if (!has_revision_) return call_at(schedule_.on_call_failed(now_us(), call.plan));
  if (revision_ == revision_before) return call_at(now_us() + kWatchGap);
  // At once: a watch goes on only if the next call comes within 200 ms.
  this->call();
}

// An answer without a change has level debug: every watch ends in one.
void DiscoveryClient::log_answer(const DiscoveryCall& call, simdjson::dom::element list,
                                 std::uint64_t revision_before) const {
  const auto level = revision_ == revision_before ? logging::Level::debug : logging::Level::info;
  const std::string full = is_whole_list(list) ? "yes" : "no";
  logging::Line line(level, kLogPart);
  line << "endpoint list received: revision " << logging::field("revision", revision_) << " after "
       << logging::field("revision_before", revision_before) << ", full=" << logging::field("full", full);
  describe_call(line, call);
}

// Adds the fields of the call: its number, its address and how long it took.
void DiscoveryClient::describe_call(logging::Line& line, const DiscoveryCall& call) const {
  const Time took_ms = (now_us() - call.plan.started_at) / milliseconds(1);
  line << ", call " << logging::field("call", call.number) << " to "
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

// A discovery that has restarted may send a list of long ago. The list in use stays until discovery has sent
// only older ones for `stale_list_delay`.
bool DiscoveryClient::is_too_old(simdjson::dom::element list) {
  const auto revision = read_revision(list);
  const bool older = options_.schedule.uses_local_agent && has_revision_ && revision && *revision < revision_;
  if (!older) {
    old_since_ = 0;
    return false;
  }
  ++counters_.stale_lists;
  if (old_since_ == 0) old_since_ = now_us();
  return now_us() - old_since_ < options_.stale_list_delay;
}

}  // namespace thornwick::net
