// The simulator's adapter: a process that hosts router instances by their number and speaks the simulator's
// wire protocol on standard input and output. Instances share nothing but the endpoint lists, which they only
// read. The adapter itself takes no decision.
#include <array>
#include <cstdio>
#include <exception>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "affinity/affinity_table.hpp"
#include "simulator_adapter/wire.hpp"
#include "thornwick/routing_policy.hpp"

namespace {

using namespace thornwick;

// A request without an answer yet, with what the cache estimates need when the answer arrives.
struct RequestInFlight {
  Request request;
  affinity::Expectation expectation;
};

// One router with its cache estimates and the requests in flight.
struct Instance {
  Instance(const Settings& settings, Time now) : router(settings, now), affinity_table(affinity::Options{}) {}

  RoutingPolicy router;
  affinity::AffinityTable affinity_table;
  std::unordered_map<RequestId, RequestInFlight> in_flight;
};

// All instances of the process, by their number, and the endpoint lists that they share.
class Host {
 public:
  // Delivers the events of a batch in order. Returns the reply: the frame with all actions that follow.
  std::vector<std::uint8_t> answer(const simulator_adapter::Batch& batch) {
    std::vector<std::uint8_t> records;
    for (std::size_t i = 0; i < batch.events.size(); ++i) {
      const auto& event = batch.events[i];
      record_ = i;
      if (const auto* roster = std::get_if<simulator_adapter::Roster>(&event.body)) {
        tables_[roster->table] = roster->members;
        continue;
      }
      deliver(batch.now, event);
      collect(event.instance, batch.now, records);
    }
    return simulator_adapter::frame(records);
  }

 private:
  [[noreturn]] void reject(const std::string& reason) const {
    throw simulator_adapter::MalformedInput("record " + std::to_string(record_) + ": " + reason);
  }

  // Starts or stops the instance of the event, or hands the event to it.
  void deliver(Time now, const simulator_adapter::Event& event) {
    if (const auto* start = std::get_if<simulator_adapter::Start>(&event.body)) {
      routers_.erase(event.instance);
      routers_.try_emplace(event.instance, simulator_adapter::parse_settings(start->params, start->seed),
                           now);
      return;
    }
    const auto found = routers_.find(event.instance);
    if (found == routers_.end()) {
      reject("event for instance " + std::to_string(event.instance) + ", which was never enlisted");
    }
    if (std::holds_alternative<simulator_adapter::Stop>(event.body)) {
      routers_.erase(found);
      return;
    }
    std::visit([&](const auto& body) { handle(now, found->second, body); }, event.body);
  }

  void handle(Time now, Instance& instance, const simulator_adapter::EndpointListUpdate& update) {
    if (update.scope == EndpointUpdate::failed) return instance.router.on_endpoints(now, update.scope, {});
    if (update.table >= tables_.size() || !tables_[update.table]) {
      reject("list number " + std::to_string(update.table) + " was never sent");
    }
    instance.affinity_table.on_endpoints(update.scope, *tables_[update.table]);
    instance.router.on_endpoints(now, update.scope, *tables_[update.table]);
  }
  void handle(Time now, Instance& instance, const Request& request) {
    Request hinted = request;
    hinted.cache_hint = instance.affinity_table.find_hint(now, request);
    instance.in_flight[request.id] = {hinted, {}};
    instance.router.on_request(now, hinted);
  }
  void handle(Time now, Instance& instance, const simulator_adapter::FirstToken& first) {
    const auto found = instance.in_flight.find(first.id);
    if (found != instance.in_flight.end()) {
      found->second.expectation =
          instance.affinity_table.on_answer_started(now, found->second.request, first.replica);
    }
    instance.router.on_first_token(now, first.id, first.attempt, first.replica, first.elapsed);
  }
  void handle(Time now, Instance& instance, const simulator_adapter::Result& event) {
    AttemptResult result = event.result;
    result.report = event.report;
    const auto found = instance.in_flight.find(result.id);
    if (found != instance.in_flight.end() && result.outcome == Outcome::served) {
      const auto& [request, expectation] = found->second;
      instance.affinity_table.on_answer_complete(now, request, result.replica, expectation,
                                                 result.cached_tokens, 0);
    }
    if (found != instance.in_flight.end() && result.concluded) instance.in_flight.erase(found);
    instance.router.on_attempt_result(now, result);
  }
  void handle(Time now, Instance& instance, const simulator_adapter::ClientGone& gone) {
    instance.in_flight.erase(gone.id);
    instance.router.on_client_disconnected(now, gone.id);
  }
  void handle(Time now, Instance& instance, const simulator_adapter::Timer& timer) {
    instance.router.on_timer(now, timer.token);
  }
  void handle(Time now, Instance& instance, const simulator_adapter::Probed& probed) {
    instance.router.on_probe_result(now, probed.replica, probed.alive, probed.report);
  }
  void handle(Time now, Instance& instance, const simulator_adapter::PeerMessage& message) {
    instance.router.on_peer_message(now, message.peer, message.message);
  }
  void handle(Time, Instance&, const simulator_adapter::Start&) {}   // dealt with in deliver()
  void handle(Time, Instance&, const simulator_adapter::Stop&) {}    // dealt with in deliver()
  void handle(Time, Instance&, const simulator_adapter::Roster&) {}  // dealt with in answer()

  // Appends the records of the actions that an instance has decided.
  void collect(std::uint16_t instance, Time now, std::vector<std::uint8_t>& records) {
    const auto found = routers_.find(instance);
    if (found == routers_.end()) return;
    for (const auto& action : found->second.router.take_actions()) {
      const bool final = action.kind == ActionKind::reject || action.kind == ActionKind::fail;
      if (final) found->second.in_flight.erase(action.id);
      simulator_adapter::encode_action(instance, action, now, records);
    }
  }

  std::map<std::uint16_t, Instance> routers_;
  std::array<std::optional<std::vector<Endpoint>>, simulator_adapter::kTables> tables_;
  std::size_t record_ = 0;  // the number of the event in its batch
};

// The part of the input that is being read, for errors.
enum class InputPart : std::uint8_t { length, batch };

const char* to_string(InputPart part) { return part == InputPart::length ? "the length" : "a batch"; }

// Reads exactly `size` bytes of standard input into `into`. It reads in slices, so that a false length does
// not allocate memory for bytes that never arrive. Returns false if the input ends before the first byte.
// Throws MalformedInput if it ends later.
bool read_exactly(std::vector<std::uint8_t>& into, std::size_t size, InputPart part) {
  constexpr std::size_t kSlice = 1 << 20;
  into.clear();
  while (into.size() < size) {
    const std::size_t have = into.size();
    into.resize(std::min(size, have + kSlice));
    const std::size_t got = std::fread(into.data() + have, 1, into.size() - have, stdin);
    if (got != into.size() - have) {
      if (have + got == 0) return false;
      throw simulator_adapter::MalformedInput(std::string("input ends within ") + to_string(part) +
                                              ", byte " + std::to_string(have + got));
    }
  }
  return true;
}

// Answers batches until the input ends.
void serve() {
  Host host;
  std::vector<std::uint8_t> header;
  std::vector<std::uint8_t> payload;
  while (read_exactly(header, simulator_adapter::kHeaderBytes, InputPart::length)) {
    const auto length = simulator_adapter::read_length(
        std::span<const std::uint8_t, simulator_adapter::kHeaderBytes>(header.data(), 4));
    if (length > simulator_adapter::kMaxFrameBytes)
      throw simulator_adapter::MalformedInput("header, byte 0: length beyond any batch");
    if (!read_exactly(payload, length + simulator_adapter::kClockAndCountBytes, InputPart::batch)) {
      throw simulator_adapter::MalformedInput("input ends after the length of a batch, byte 4");
    }
    const auto reply = host.answer(simulator_adapter::decode_batch(payload));
    if (std::fwrite(reply.data(), 1, reply.size(), stdout) != reply.size() || std::fflush(stdout) != 0) {
      throw std::runtime_error("standard output is closed");
    }
  }
}

}  // namespace

int main() {
  try {
    serve();
    return 0;
  } catch (const std::exception& problem) {
    std::fprintf(stderr, "thornwick_simulator_adapter: %s\n", problem.what());
    return 1;
  }
}
