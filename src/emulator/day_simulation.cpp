#include "emulator/day_simulation.hpp"

#include <algorithm>
#include <chrono>
#include <stdexcept>
#include <utility>

#include "emulator/baseline_policies.hpp"

namespace thornwick::emulator {
namespace {

constexpr double kSamples = 200;  // maximum number of samples of each replica's load
constexpr double kMinSampleSeconds = 0.25;
constexpr double kMaxWindows = 600;  // maximum number of windows in which weights are summed
constexpr double kMinWindowSeconds = 10;
constexpr double kMinFaultSeconds = 0.001;
constexpr std::size_t kMaxZones = 1000;

double draw(RandomStream& random, const Range& range) { return random.between(range.low, range.high); }

Time from_seconds(double seconds) { return static_cast<Time>(seconds * 1e6); }

// Throws std::invalid_argument for an invalid scenario.
void check(const Scenario& scenario) {
  const auto reject = [](const std::string& what) { throw std::invalid_argument("scenario: " + what); };
  if (scenario.routers == 0 || scenario.replicas == 0) reject("no router or no box");
  if (scenario.zones.empty() || scenario.kinds.empty() || scenario.classes.empty() ||
      scenario.members.empty())
    reject("an empty list");
  if (scenario.zones.size() > kMaxZones) reject("more than 1000 halls");
  const auto& names = baseline_policy_names();
  if (scenario.policy != "module" && std::find(names.begin(), names.end(), scenario.policy) == names.end())
    reject("no such policy: " + scenario.policy);
}

// Returns the scenario if it is valid. Throws std::invalid_argument otherwise.
const Scenario& checked(const Scenario& scenario) {
  check(scenario);
  return scenario;
}

}  // namespace

DaySimulation::DaySimulation(const Scenario& scenario, std::uint64_t seed, const DayOptions& options)
    : scenario_(checked(scenario)),
      seed_(seed),
      options_(options),
      day_end_(from_seconds(scenario.seconds)),
      fleet_random_(seed, StreamPurpose::fleet),
      client_random_(seed, StreamPurpose::clients),
      replica_random_(seed, StreamPurpose::replicas),
      peer_random_(seed, StreamPurpose::peers),
      fault_random_(seed, StreamPurpose::faults),
      network_(scenario, seed),
      discovery_(scenario, seed),
      result_(empty_result(scenario, seed)) {
  first_frame_.kind = core::EventKind::start;
  usage_frame_.kind = core::EventKind::usage;
  end_frame_.kind = core::EventKind::end;
  result_.window_s = std::max(kMinWindowSeconds, scenario.seconds / kMaxWindows);
  result_.sample_s = std::max(kMinSampleSeconds, scenario.seconds / kSamples);
  peer_delay_us_ = 1000 * draw(peer_random_, scenario.peer_ms);
  backoff_us_ = 1000 * draw(client_random_, scenario.backoff_ms);
  set_up_fleet();
  set_up_routers();
  double capacity = 0;
  for (const auto& replica : replicas_) capacity += 1e6 * replica.speed;
  demand_ = std::make_unique<DemandModel>(scenario, seed, capacity, client_random_);
  set_up_faults();
}

// Creates the replicas that discovery has registered from the start.
void DaySimulation::set_up_fleet() {
  for (std::size_t i = 0; i < scenario_.replicas; ++i) create_replica();
  for (const auto& replica : replicas_) discovery_.add(endpoint_of(replica, EndpointState::ready));
}

void DaySimulation::set_up_routers() {
  for (std::uint32_t i = 0; i < scenario_.routers; ++i) {
    const auto zone = static_cast<std::uint16_t>(i % scenario_.zones.size());
    routers_.push_back(std::make_unique<EmulatedRouter>(*this, i, zone));
    routers_.back()->idle_connections.resize(replicas_.size());
  }
  for (const auto& router : routers_) start_router(*router);
}

void DaySimulation::set_up_faults() {
  for (std::uint32_t i = 0; i < scenario_.faults.size(); ++i) {
    const DayFault& drawn = scenario_.faults[i];
    ActiveFault& fault = faults_.emplace_back();
    fault.size = draw(fault_random_, drawn.size);
    fault.from = static_cast<Time>(1e6 * draw(fault_random_, drawn.at_s));
    fault.until =
        fault.from + static_cast<Time>(1e6 * std::max(kMinFaultSeconds, draw(fault_random_, drawn.seconds)));
    fault.zone = static_cast<std::uint16_t>(fault_random_.below(scenario_.zones.size()));
    fault.replica = static_cast<std::uint32_t>(fault_random_.below(scenario_.replicas));
    if (drawn.kind == DayFaultKind::burst) max_rate_factor_ *= std::max(1.0, fault.size);
    schedule(fault.from, EventType::fault_started, 0, i);
  }
}

void DaySimulation::schedule(Time at, EventType type, std::uint64_t subject, std::uint32_t index) {
  events_.schedule(std::max(at, now_), type, subject, index);
}

void DaySimulation::handle(const Event& event) {
  switch (event.type) {
    case EventType::session_arrived: return on_session_arrived();
    case EventType::session_turn_due: return send_next_turn(event.subject);
    case EventType::retry_due: return send_try(event.subject);
    case EventType::client_cancelled: return cancel_request(event.subject);
    case EventType::router_timer: return on_router_timer(event.index, event.subject);
    case EventType::attempt_arrived: return on_attempt_arrived(event.subject);
    case EventType::attempt_connect_failed: return end_attempt(event.subject, Outcome::connect_failed);
    case EventType::attempt_rejected: return end_attempt(event.subject, Outcome::full);
    case EventType::attempt_first_token: return on_first_token(event.subject);
    case EventType::attempt_completed: return on_completed(event.subject);
    case EventType::attempt_reset: return end_attempt(event.subject, Outcome::reset);
    case EventType::replica_timer: return on_replica_timer(event.index, event.subject);
    case EventType::replica_warm_up: return set_replica_speed(event.index);
    case EventType::endpoint_change_registered: return on_change_registered(event.subject);
    case EventType::watch_event_delivered: return deliver_watch_event(event.subject, *routers_[event.index]);
    case EventType::endpoint_list_delivered:
      if (routers_[event.index]->up) deliver_endpoint_list(*routers_[event.index]);
      return;
    case EventType::peer_message_delivered: return on_peer_message(event.subject);
    case EventType::fault_started: return start_fault(event.index);
    case EventType::fault_ended: return end_fault(event.index);
    case EventType::fault_progressed: return progress_fault(event.index);
    case EventType::load_sampled: return sample_load();
  }
}

void DaySimulation::sample_load() {
  for (auto& replica : replicas_) {
    const EngineLoad load = replica.engine->load();
    replica.result.request_counts.push_back(static_cast<std::uint32_t>(load.running + load.waiting));
  }
  const double next_s = static_cast<double>(now_) / 1e6 + result_.sample_s;
  if (next_s <= scenario_.seconds) schedule(from_seconds(next_s), EventType::load_sampled);
}

void DaySimulation::play() {
  on_session_arrived();
  schedule(0, EventType::load_sampled);
  const Time limit = from_seconds(scenario_.seconds + scenario_.max_overtime_s);
  while (!events_.empty() && events_.next_time() <= limit) {
    const Event event = events_.pop();
    now_ = event.at;
    ++result_.events;
    handle(event);
    if (now_ > day_end_ && requests_.size() == 0) break;
  }
}

Result DaySimulation::run() {
  const auto start = std::chrono::steady_clock::now();
  play();
  finish_result();
  result_.wall_s = std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
  result_.module_s = module_ns_ / 1e9;
  return std::move(result_);
}

std::vector<PlannedRequest> DaySimulation::run_without_requests() {
  std::vector<PlannedRequest> requests;
  planned_ = &requests;
  play();
  planned_ = nullptr;
  return requests;
}

void DaySimulation::finish_result() {
  for (const auto& router : routers_) {
    if (router->core) add_counts(*router);
  }
  requests_.for_each([&](Handle, const ClientRequest& request) {
    if (request.request_id != 0 && request.first_at == 0) ++result_.violations.unanswered_tries;
  });
  attempts_.for_each(
      [&](Handle, const Attempt& attempt) { result_.totals.discarded_tokens += attempt.undelivered; });
  for (auto& replica : replicas_) {
    result_.totals.generated_tokens += replica.engine->load().completed_tokens;
    result_.fleet.push_back(std::move(replica.result));
  }
  set_score(result_);
}

Result play_day(const Scenario& scenario, std::uint64_t seed, const DayOptions& options) {
  return std::make_unique<DaySimulation>(scenario, seed, options)->run();
}

std::vector<PlannedRequest> planned_requests(const Scenario& scenario, std::uint64_t seed) {
  Scenario cheap = scenario;
  cheap.policy = baseline_policy_names().front();
  return std::make_unique<DaySimulation>(cheap, seed, DayOptions{})->run_without_requests();
}

}  // namespace thornwick::emulator
