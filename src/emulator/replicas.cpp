// Replicas of an emulated day: how they start, warm up, work, fail and come back.
#include <cmath>

#include "emulator/day_simulation.hpp"
#include "emulator/fleet.hpp"
#include "random/hashing.hpp"

namespace thornwick::emulator {
namespace {

constexpr Time kStreamTimeout = seconds(3);  // time after which a router ends an answer without events
constexpr Time kWarmUpStep =
    milliseconds(250);  // interval at which the speed of a replica that warms up is updated

EventType event_type_of(ReportKind kind) {
  switch (kind) {
    case ReportKind::first_token: return EventType::attempt_first_token;
    case ReportKind::completed: return EventType::attempt_completed;
    case ReportKind::dropped: break;
  }
  return EventType::attempt_reset;
}

}  // namespace

// Creates a replica and returns its index. The replica's id is a hash, so that it reveals neither the kind
// nor the zone.
std::uint32_t DaySimulation::create_replica() {
  const auto index = static_cast<std::uint32_t>(replicas_.size());
  Replica& replica = replicas_.emplace_back();
  do {
    replica.id = static_cast<ReplicaId>(mix(seed_ ^ (std::uint64_t{index} << 20) ^ replica.id) >> 33) + 1;
  } while (replica_index_.contains(replica.id));
  replica_index_[replica.id] = index;
  DrawnReplica drawn = draw_replica(scenario_, index, fleet_random_);
  replica.zone = drawn.zone;
  replica.kind = drawn.kind;
  replica.engine = std::move(drawn.engine);
  replica.speed = drawn.speed;
  replica.initial_capacity = drawn.initial_capacity;
  replica.warm_up = drawn.warm_up;
  replica.result.id = replica.id;
  replica.result.kind = scenario_.kinds[replica.kind].name;
  replica.result.zone = scenario_.zones[replica.zone];
  for (auto& router : routers_) {
    router->idle_connections.resize(replicas_.size());
    router->unavailable_since.resize(replicas_.size());
  }
  return index;
}

void DaySimulation::add_replica() {
  const std::uint32_t index = create_replica();
  replicas_[index].started_at = now_;
  set_replica_speed(index);
  announce(index, EndpointState::ready, discovery_.addition_delay_s());
}

// Makes a replica fail. Connections to a dead process break at once; connections to an unreachable replica
// time out.
void DaySimulation::lose_replica(std::uint32_t index, ReplicaLoss loss) {
  Replica& replica = replicas_[index];
  if (!replica.up) return;
  const bool unreachable = loss == ReplicaLoss::unreachable;
  replica.up = false;
  replica.unreachable = unreachable;
  replica.engine->clear();
  replica.recent_work.clear();
  replica.recent_work_sum = 0;
  schedule_replica(index);
  std::vector<Handle> lost;
  attempts_.for_each([&](Handle handle, const Attempt& attempt) {
    if (attempt.replica == index && attempt.in_engine) lost.push_back(handle);
  });
  for (const Handle handle : lost) {
    const std::uint16_t router_zone = routers_[attempts_.find(handle)->router]->zone;
    const Time delay = unreachable ? kStreamTimeout : network_.one_way(replica.zone, router_zone);
    schedule(now_ + delay, EventType::attempt_reset, handle);
  }
  replica.connections = 0;
  for (auto& router : routers_) router->idle_connections[index].clear();
  announce(index, EndpointState::removed,
           unreachable ? discovery_.unreachable_delay_s() : discovery_.removal_delay_s());
}

void DaySimulation::restore_replica(std::uint32_t index) {
  Replica& replica = replicas_[index];
  if (replica.up) return;
  replica.up = true;
  replica.unreachable = false;
  replica.started_at = now_;
  set_replica_speed(index);
  announce(index, EndpointState::ready, discovery_.addition_delay_s());
}

// Returns the fraction of its full speed that a replica has reached since its start.
double DaySimulation::current_capacity(const Replica& replica) const {
  if (replica.started_at == 0) return 1;
  return warm_up_factor(now_ - replica.started_at, replica.warm_up, replica.initial_capacity);
}

void DaySimulation::set_replica_speed(std::uint32_t index) {
  Replica& replica = replicas_[index];
  if (!replica.up) return;
  const double capacity = current_capacity(replica);
  replica.engine->set_speed_factor(now_, capacity * replica.speed_factor);
  if (capacity < 1) schedule(now_ + kWarmUpStep, EventType::replica_warm_up, 0, index);
  schedule_replica(index);
}

// Applies the operators' rule for replicas that warm up: a replica fails if all routers together send it more
// than overload_multiple times the work that it can do in overload_ms.
void DaySimulation::check_overload(std::uint32_t index, double work) {
  Replica& replica = replicas_[index];
  const double capacity = current_capacity(replica);
  if (capacity >= 1) return;
  const auto window = static_cast<Time>(1000 * scenario_.overload_ms);
  replica.recent_work.push_back({now_, work});
  replica.recent_work_sum += work;
  while (replica.recent_work.front().at < now_ - window) {
    replica.recent_work_sum -= replica.recent_work.front().work;
    replica.recent_work.pop_front();
  }
  const double possible = replica.speed * capacity * static_cast<double>(window);
  if (replica.recent_work_sum <= scenario_.overload_multiple * possible) return;
  ++result_.violations.overloaded_replicas;
  lose_replica(index, ReplicaLoss::process_died);
}

// Schedules the replica's next event. To be called after every change of the replica's engine.
void DaySimulation::schedule_replica(std::uint32_t index) {
  Replica& replica = replicas_[index];
  const Time next = replica.up ? replica.engine->next_event_at() : kNever;
  if (next == replica.timer_at) return;
  replica.timer_at = next;
  ++replica.timer_version;
  if (next != kNever) schedule(next, EventType::replica_timer, replica.timer_version, index);
}

void DaySimulation::on_replica_timer(std::uint32_t index, std::uint64_t version) {
  Replica& replica = replicas_[index];
  if (version != replica.timer_version || !replica.up) return;
  replica.timer_at = kNever;
  reports_.clear();
  replica.engine->advance(now_, reports_);
  for (const Report& report : reports_) deliver(replica, report);
  schedule_replica(index);
}

// Sends the event that an engine reports to the router of the attempt.
void DaySimulation::deliver(const Replica& replica, const Report& report) {
  Attempt* attempt = attempts_.find(report.job);
  if (attempt == nullptr) {
    result_.totals.discarded_tokens += report.generated;
    return;
  }
  attempt->undelivered = report.generated;
  attempt->cached = report.cached;
  const Time back = network_.one_way(replica.zone, routers_[attempt->router]->zone);
  // The bytes of one connection arrive in order.
  attempt->delivered_until = std::max(attempt->delivered_until, now_ + back);
  if (report.kind != ReportKind::first_token) attempt->in_engine = false;
  schedule(attempt->delivered_until, event_type_of(report.kind), report.job);
}

}  // namespace thornwick::emulator
