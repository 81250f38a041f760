// Faults of an emulated day.
#include <algorithm>
#include <cmath>

#include "emulator/day_simulation.hpp"

namespace thornwick::emulator {
namespace {

constexpr double kRampFraction =
    0.1;  // fraction of a burst's duration over which the rate rises, and over which it falls again
constexpr int kAgeingSteps = 10;  // steps in which a replica reaches the slowness of the fault

}  // namespace

// Returns the current multiple of the usual rate of sessions.
double DaySimulation::rate_factor() const {
  double factor = 1;
  for (std::size_t i = 0; i < faults_.size(); ++i) {
    const ActiveFault& fault = faults_[i];
    if (!fault.active || scenario_.faults[i].kind != DayFaultKind::burst) continue;
    const auto length = static_cast<double>(fault.until - fault.from);
    const double since_start = static_cast<double>(now_ - fault.from) / length;
    const double until_end = static_cast<double>(fault.until - now_) / length;
    factor *= 1 + (fault.size - 1) * std::clamp(std::min(since_start, until_end) / kRampFraction, 0.0, 1.0);
  }
  return factor;
}

void DaySimulation::start_fault(std::uint32_t index) {
  const DayFault& drawn = scenario_.faults[index];
  ActiveFault& fault = faults_[index];
  fault.active = true;
  schedule(fault.until, EventType::fault_ended, 0, index);
  switch (drawn.kind) {
    case DayFaultKind::burst:
    case DayFaultKind::partition: return;
    case DayFaultKind::zone_lost: return lose_zone(drawn, fault.zone);
    case DayFaultKind::slow: return scale_speed_factors(1, fault.size);
    case DayFaultKind::ageing: return age_replica(index);
    case DayFaultKind::flush:
      for (auto& replica : replicas_) replica.engine->evict_cached(fault.size);
      return;
    case DayFaultKind::replacement: fault.replica = 0; return replace_next_replica(index);
  }
}

void DaySimulation::progress_fault(std::uint32_t index) {
  if (!faults_[index].active) return;
  if (scenario_.faults[index].kind == DayFaultKind::ageing) {
    age_replica(index);
  } else {
    replace_next_replica(index);
  }
}

void DaySimulation::end_fault(std::uint32_t index) {
  ActiveFault& fault = faults_[index];
  if (!fault.active) return;
  fault.active = false;
  switch (scenario_.faults[index].kind) {
    case DayFaultKind::zone_lost: return restore_zone(fault.zone);
    case DayFaultKind::slow: return scale_speed_factors(fault.size, 1);
    case DayFaultKind::ageing:
      replicas_[fault.replica].speed_factor = 1;  // its process was restarted
      return set_replica_speed(fault.replica);
    case DayFaultKind::burst:
    case DayFaultKind::flush:
    case DayFaultKind::replacement:
    case DayFaultKind::partition: return;
  }
}

void DaySimulation::lose_zone(const DayFault& fault, std::uint16_t zone) {
  const ReplicaLoss loss = fault.unreachable ? ReplicaLoss::unreachable : ReplicaLoss::process_died;
  for (std::uint32_t i = 0; i < replicas_.size(); ++i) {
    if (replicas_[i].zone == zone) lose_replica(i, loss);
  }
  if (!fault.routers) return;
  for (const auto& router : routers_) {
    if (router->zone == zone) lose_router(*router);
  }
}

// Restores the replicas of a zone, and every lost router.
void DaySimulation::restore_zone(std::uint16_t zone) {
  for (std::uint32_t i = 0; i < replicas_.size(); ++i) {
    if (replicas_[i].zone == zone) restore_replica(i);
  }
  for (const auto& router : routers_) {
    if (!router->up) start_router(*router);
  }
}

void DaySimulation::scale_speed_factors(double multiplier, double divisor) {
  for (std::uint32_t i = 0; i < replicas_.size(); ++i) {
    replicas_[i].speed_factor = replicas_[i].speed_factor * multiplier / divisor;
    set_replica_speed(i);
  }
}

// Slows a replica by one of kAgeingSteps steps, and schedules the next step.
void DaySimulation::age_replica(std::uint32_t index) {
  const ActiveFault& fault = faults_[index];
  replicas_[fault.replica].speed_factor /= std::pow(fault.size, 1.0 / kAgeingSteps);
  set_replica_speed(fault.replica);
  if (now_ >= fault.until) return;
  schedule(now_ + (fault.until - fault.from) / kAgeingSteps, EventType::fault_progressed, 0, index);
}

// Lets the next replica drain and end, and starts another one in its place.
void DaySimulation::replace_next_replica(std::uint32_t index) {
  const DayFault& drawn = scenario_.faults[index];
  std::uint32_t& next = faults_[index].replica;
  while (next < replicas_.size() && (!replicas_[next].up || replicas_[next].draining)) ++next;
  if (next >= scenario_.replicas) return;
  replicas_[next].draining = true;
  announce(next, EndpointState::draining, discovery_.removal_delay_s());
  announce(next, EndpointState::removed, discovery_.removal_delay_s() + scenario_.drain_s);
  add_replica();
  ++next;
  const double interval_s = fault_random_.between(drawn.every_s.low, drawn.every_s.high);
  schedule(now_ + static_cast<Time>(interval_s * 1e6), EventType::fault_progressed, 0, index);
}

}  // namespace thornwick::emulator
