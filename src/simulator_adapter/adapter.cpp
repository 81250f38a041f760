// The adapter for the simulator: a process that hosts numbered router instances and speaks the simulator's
// wire protocol on standard input and output. Instances share only the endpoint lists, which they do not
// change. The adapter makes no decision of its own.
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

// A request without a final answer, with the data that the affinity table needs when the answer
// arrives.
struct RequestInFlight {
  Request request;
  affinity::Expectation expectation;
};

// One router with its affinity table and its requests in flight.
struct Instance {
  Instance(const Settings& settings, Time now) : router(settings, now), affinity_table(affinity::Options{}) {}

  RoutingPolicy router;
  affinity::AffinityTable affinity_table;
  std::unordered_map<RequestId, RequestInFlight> in_flight;
};

// All instances of the process, by number, and the endpoint lists that they share.
class Host {
 public:
  // Delivers the events of a batch in order. Returns the reply: a frame with all actions that the instances
  // decide.
  std::vector<std::uint8_t> process(const simulator_adapter::Batch& batch) {
    std::vector<std::uint8_t> records;
    for (std::size_t i = 0; i < batch.events.size(); ++i) {
      const auto& event = batch.events[i];
      record_number_ = i;
      if (const auto* list = std::get_if<simulator_adapter::EndpointList>(&event.body)) {
        lists_[list->list_number] = list->members;
        continue;
      }
      deliver(batch.now, event);
      collect(event.instance, batch.now, records);
    }
    return simulator_adapter::frame(records);
  }

 private:
  [[noreturn]] void reject(const std::string& reason) const {
    throw simulator_adapter::MalformedInput("record " + std::to_string(record_number_) + ": " + reason);
  }

  // Starts or stops the instance of the event, or passes the event to the instance.
  void deliver(Time now, const simulator_adapter::Event& event) {
    if (const auto* start = std::get_if<simulator_adapter::Start>(&event.body)) {
      instances_.erase(event.instance);
      instances_.try_emplace(event.instance,
                             simulator_adapter::parse_settings(start->settings_text, start->seed), now);
      return;
    }
    const auto found = instances_.find(event.instance);
    if (found == instances_.end()) {
      reject("event for instance " + std::to_string(event.instance) + ", which is not running");
    }
    if (std::holds_alternative<simulator_adapter::Stop>(event.body)) {
      instances_.erase(found);
      return;
    }
    std::visit([&](const auto& body) { handle(now, found->second, body); }, event.body);
  }

  void handle(Time now, Instance& instance, const simulator_adapter::EndpointListUpdate& update) {
    if (update.scope == EndpointUpdate::failed) return instance.router.on_endpoints(now, update.scope, {});
    if (update.list_number >= lists_.size() || !lists_[update.list_number]) {
      reject("list number " + std::to_string(update.list_number) + " was never sent");
    }
    instance.affinity_table.on_endpoints(update.scope, *lists_[update.list_number]);
    instance.router.on_endpoints(now, update.scope, *lists_[update.list_number]);
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
  void handle(Time now, Instance& instance, const simulator_adapter::ClientDisconnected& disconnected) {
    instance.in_flight.erase(disconnected.id);
    instance.router.on_client_disconnected(now, disconnected.id);
  }
  void handle(Time now, Instance& instance, const simulator_adapter::TimerExpired& timer) {
    instance.router.on_timer(now, timer.token);
  }
  void handle(Time now, Instance& instance, const simulator_adapter::ProbeResult& probe) {
    instance.router.on_probe_result(now, probe.replica, probe.alive, probe.report);
  }
  void handle(Time now, Instance& instance, const simulator_adapter::PeerMessage& message) {
    instance.router.on_peer_message(now, message.peer, message.message);
  }
  void handle(Time, Instance&, const simulator_adapter::Start&) {}         // handled in deliver()
  void handle(Time, Instance&, const simulator_adapter::Stop&) {}          // handled in deliver()
  void handle(Time, Instance&, const simulator_adapter::EndpointList&) {}  // handled in process()

  // Appends the records of the actions that an instance has decided.
  void collect(std::uint16_t instance, Time now, std::vector<std::uint8_t>& records) {
    const auto found = instances_.find(instance);
    if (found == instances_.end()) return;
    for (const auto& action : found->second.router.take_actions()) {
      const bool is_final = action.kind == ActionKind::reject || action.kind == ActionKind::fail;
      if (is_final) found->second.in_flight.erase(action.id);
      simulator_adapter::encode_action(instance, action, now, records);
    }
  }

  std::map<std::uint16_t, Instance> instances_;
  std::array<std::optional<std::vector<Endpoint>>, simulator_adapter::kMaxLists> lists_;
  std::size_t record_number_ = 0;  // index of the current event in its batch
};

// The section of the input that is being read, for errors.
enum class InputSection : std::uint8_t { length, batch };

const char* to_string(InputSection section) {
  return section == InputSection::length ? "the length" : "a batch";
}

// Reads exactly `size` bytes of standard input into `buffer`. Returns false if the input ends before the
// first byte. Throws MalformedInput if it ends later. Reads in slices, so that a wrong length does not
// allocate memory for bytes that never arrive.
bool read_exactly(std::vector<std::uint8_t>& buffer, std::size_t size, InputSection section) {
  constexpr std::size_t kMaxSliceBytes = 1 << 20;
  buffer.clear();
  while (buffer.size() < size) {
    const std::size_t received = buffer.size();
    buffer.resize(std::min(size, received + kMaxSliceBytes));
    const std::size_t count = std::fread(buffer.data() + received, 1, buffer.size() - received, stdin);
    if (count != buffer.size() - received) {
      if (received + count == 0) return false;
      throw simulator_adapter::MalformedInput(std::string("input ends within ") + to_string(section) +
                                              ", byte " + std::to_string(received + count));
    }
  }
  return true;
}

// Processes batches until the input ends.
void serve() {
  Host host;
  std::vector<std::uint8_t> header;
  std::vector<std::uint8_t> payload;
  while (read_exactly(header, simulator_adapter::kHeaderBytes, InputSection::length)) {
    const auto length = simulator_adapter::read_length(
        std::span<const std::uint8_t, simulator_adapter::kHeaderBytes>(header.data(), 4));
    if (length > simulator_adapter::kMaxFrameBytes)
      throw simulator_adapter::MalformedInput("header, byte 0: length " + std::to_string(length) +
                                              " exceeds the limit of " +
                                              std::to_string(simulator_adapter::kMaxFrameBytes) + " bytes");
    if (!read_exactly(payload, length + simulator_adapter::kClockAndCountBytes, InputSection::batch)) {
      throw simulator_adapter::MalformedInput("input ends after the length of a batch, byte 4");
    }
    const auto reply = host.process(simulator_adapter::decode_batch(payload));
    if (std::fwrite(reply.data(), 1, reply.size(), stdout) != reply.size() || std::fflush(stdout) != 0) {
      throw std::runtime_error("cannot write to standard output");
    }
  }
}

}  // namespace

int main() {
  try {
    serve();
    return 0;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "thornwick_simulator_adapter: %s\n", error.what());
    return 1;
  }
}
