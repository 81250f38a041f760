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

// If the agent has an older list than this router, it does not know what has changed since this router's one.
void DiscoveryClient::call() {
  send_request(has_revision_ && stale_since_ == 0 ? Scope::changes : Scope::full_list);
}

void DiscoveryClient::call_at(Time when) {
  next_call_.start(when - now_us(), [this] { call(); });
}

void DiscoveryClient::fetch() {
  if (open_calls_.empty()) send_request(Scope::full_list);
}

// Answers of the two addresses must not be mixed: calls to the old address are dropped, and the revision of
// its list is forgotten, because the new address may count revisions differently.
void DiscoveryClient::switch_to(const std::string& address) {
  address_ = discovery_address(address);
  options_.address = address;
  drop(std::move(idle_connection_));
  for (auto& open : std::exchange(open_calls_, {})) drop(std::move(open));
  has_revision_ = false;
  schedule_.on_server_changed();
  send_request(Scope::full_list);
}

void DiscoveryClient::send_request(Scope scope) {
  ++counters_.calls;
  const DiscoveryCall call{.number = counters_.calls, .plan = schedule_.begin_call(now_us())};
  call_at(call.plan.next_call_at);
  limit_open_calls(core::DiscoverySchedule::kMaxCallsInFlight - 1);
  auto connection = take_connection();
  if (!connection) return fail(call, {.kind = CallFailureKind::no_connection});
  connection->send_call(call, request_text(scope, call.plan.max_wait));
  open_calls_.push_back(std::move(connection));
}

std::string DiscoveryClient::request_text(Scope scope, Time wait) const {
  std::string path = "/registry/instances";
  if (scope == Scope::changes) {
    path += "?after=" + std::to_string(revision_) + "&wait_ms=" + std::to_string(wait / milliseconds(1));
  }
  return http::write_head("GET " + path + " HTTP/1.1", {{"Host", options_.address}});
}

// Returns an open connection, idle or new; null if there is none.
std::unique_ptr<DiscoveryConnection> DiscoveryClient::take_connection() {
  if (idle_connection_ && idle_connection_->open()) return std::move(idle_connection_);
  drop(std::move(idle_connection_));
  if (open_calls_.empty() || descriptors().held < descriptors().limit) return connect();
  // If no descriptor is free, the oldest call is dropped, because its connection may be dead.
  drop(std::move(open_calls_.front()));
  open_calls_.erase(open_calls_.begin());
  ++counters_.failures;
  return connect();
}

// Returns a new connection; null if connecting failed at once.
std::unique_ptr<DiscoveryConnection> DiscoveryClient::connect() {
  auto connection = std::make_unique<DiscoveryConnection>();
  DiscoveryConnection& created = *connection;
  created.set_callbacks(
      {.on_answer = [this, &created](const std::string& body) { on_answer(created, body); },
       .on_failure = [this, &created](const CallFailure& failure) { on_failure(created, failure); }});
  if (!connection->connect(address_.get())) return nullptr;
  return connection;
}

// Drops the second oldest call until at most `max_calls` calls are open (core/discovery_schedule.hpp).
void DiscoveryClient::limit_open_calls(std::size_t max_calls) {
  while (open_calls_.size() > max_calls) drop_open_call(open_calls_.size() > 1 ? 1 : 0);
}

// Drops the calls whose answers are not needed after this one. Later calls to an agent stay open: their
// answers are newer, and an agent that answers late would otherwise be asked anew after each answer only. A
// shared server is spared the answers.
void DiscoveryClient::drop_calls_superseded_by(const DiscoveryCall& answered) {
  if (!options_.schedule.uses_local_agent) return limit_open_calls(0);
  while (!open_calls_.empty() && open_calls_.front()->call().number < answered.number) drop_open_call(0);
}

void DiscoveryClient::drop_open_call(std::size_t index) {
  const auto abandoned = open_calls_.begin() + static_cast<std::ptrdiff_t>(index);
  ++counters_.failures;
  logging::debug(kLogPart) << "call " << (*abandoned)->call().number << " abandoned";
  drop(std::move(*abandoned));
  open_calls_.erase(abandoned);
}

// Closes the connection, and destroys it later, because a callback of the connection may be running now.
void DiscoveryClient::drop(std::unique_ptr<DiscoveryConnection> connection) {
  if (!connection) return;
  connection->close();
  deferred_delete(std::move(connection));
}

// Removes the connection from the open calls. Returns null if its call was dropped meanwhile.
std::unique_ptr<DiscoveryConnection> DiscoveryClient::take_open_call(const DiscoveryConnection& connection) {
  const auto found = std::find_if(open_calls_.begin(), open_calls_.end(),
                                  [&](const auto& open) { return open.get() == &connection; });
  if (found == open_calls_.end()) return nullptr;
  auto taken = std::move(*found);
  open_calls_.erase(found);
  return taken;
}

void DiscoveryClient::on_answer(DiscoveryConnection& connection, const std::string& body) {
  const DiscoveryCall call = connection.call();
  simdjson::dom::element list;
  if (parser_.parse(body).get(list) != simdjson::SUCCESS || !list.is_object()) {
    return on_failure(connection, {.kind = CallFailureKind::not_json});
  }
  if (is_stale(list)) return on_failure(connection, {.kind = CallFailureKind::older_revision});
  drop(std::exchange(idle_connection_, take_open_call(connection)));
  drop_calls_superseded_by(call);
  const std::uint64_t revision_before = revision_;
  if (open_calls_.empty()) schedule_.on_call_answered();
  note_revision(list);
  log_answer(call, list, revision_before);
  callbacks_.on_list(list);
  schedule_after_list(call, revision_before);
}

// Only a failure of the latest call schedules the next call; failures of earlier calls do not.
void DiscoveryClient::on_failure(DiscoveryConnection& connection, const CallFailure& failure) {
  const DiscoveryCall call = connection.call();
  drop(take_open_call(connection));
  fail(call, failure);
}

void DiscoveryClient::fail(const DiscoveryCall& call, const CallFailure& failure) {
  ++counters_.failures;
  const bool is_due = log_limiter_.allows(now_us(), to_string(failure.kind));
  const auto level = is_due ? logging::Level::info : logging::Level::debug;
  logging::Line line(level, kLogPart);
  line << "call failed: " << logging::field("reason", to_string(failure.kind));
  if (!failure.detail.empty()) line << " (" << logging::field("detail", failure.detail) << ")";
  describe_call(line, call);
  if (call.number == counters_.calls) call_at(schedule_.on_call_failed(now_us(), call.plan));
  if (!options_.schedule.uses_local_agent) callbacks_.on_failure();
}

void DiscoveryClient::schedule_after_list(const DiscoveryCall& call, std::uint64_t revision_before) {
  // The callback has requested another list, or a later call is open, which decides when the next one begins.
  if (!open_calls_.empty()) return;
  // Without these two pauses the loop would spin if discovery's list has no revision, or if discovery answers
  // a watch at once.
  if (!has_revision_) return call_at(schedule_.on_call_failed(now_us(), call.plan));
  if (revision_ == revision_before) {
    return call_at(schedule_.next_call_after_unchanged(now_us(), call.plan));
  }
  // Without a pause, because discovery keeps a watch only if the next call comes within 200 ms.
  this->call();
}

// An answer without a change is logged at level debug, because every watch ends with one.
void DiscoveryClient::log_answer(const DiscoveryCall& call, simdjson::dom::element list,
                                 std::uint64_t revision_before) const {
  const auto level = revision_ == revision_before ? logging::Level::debug : logging::Level::info;
  const std::string full = is_full_list(list) ? "yes" : "no";
  logging::Line line(level, kLogPart);
  line << "endpoint list received: revision " << logging::field("revision", revision_) << " after "
       << logging::field("revision_before", revision_before) << ", full=" << logging::field("full", full);
  describe_call(line, call);
}

// Adds the fields of the call: its number, its address and its duration.
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

// An agent may have an older list after a restart, and what it has counts as known. Such a list is applied as
// soon as it cannot be an overtaken answer, and only whole.
bool DiscoveryClient::is_stale(simdjson::dom::element list) {
  const auto revision = read_revision(list);
  const bool older = options_.schedule.uses_local_agent && has_revision_ && revision && *revision < revision_;
  if (!older) {
    stale_since_ = 0;
    return false;
  }
  ++counters_.stale_lists;
  if (stale_since_ == 0) stale_since_ = now_us();
  if (!is_full_list(list) || now_us() - stale_since_ < schedule_.waits().older_list_delay) return true;
  stale_since_ = 0;
  return false;
}

}  // namespace thornwick::net
