#include "policy/replica_health.hpp"

#include "policy/peer_observations.hpp"

namespace thornwick {

constexpr int kEjectionPoints = 3;             // consecutive failure points that eject a replica
constexpr int kQuickPoints = 1;                // failure points of a failure that cost next to no time
constexpr int kSlowPoints = 2;                 // failure points of a missing answer or a failed connect
constexpr int kEjectionObjectives = 1;         // length of a first ejection, in longest latency objectives
constexpr int kMaxDoublings = 3;               // of the length of an ejection, for further failures
constexpr double kReportedEjectionPoints = 3;  // decayed failure points in other routers' reports that eject
constexpr double kMinRecovery = 0.1;      // fraction of its share that a replica has when its ejection ends
constexpr double kKindSpeedGain = 0.006;  // relative rise of a kind's speed factor by an answer in time
constexpr double kKindSpeedLoss = 0.04;   // relative drop of a kind's speed factor by a slow or late answer
constexpr double kReplicaSpeedGain = 0.012;       // rise of the speed factor of a single replica
constexpr double kReplicaSpeedLoss = 0.08;        // drop of the speed factor of a single replica
constexpr double kMinSpeed = 0.2;                 // lower bound of speed factors
constexpr Time kSpeedRecoveryTime = seconds(10);  // time constant of recovery to 1, in a large group
constexpr double kMinCapacity = 1e-3;             // of a replica whose listed weight is 0

int ReplicaHealth::failure_points_of(FailureCost cost) {
  return cost == FailureCost::quick ? kQuickPoints : kSlowPoints;
}

void ReplicaHealth::on_alive(Time now, ReplicaId id) {
  Replica* replica = state_.find_replica(id);
  if (replica == nullptr) return;
  replica->last_answer_at = now;
  if (now >= replica->ejected_until) replica->failure_points = 0;
}

void ReplicaHealth::on_reported_failure(Time now, Replica& replica, FailureCost cost) {
  if (now < replica.ejected_until) return;
  if (replica.reported_failures.add(now, failure_points_of(cost)) < kReportedEjectionPoints) return;
  replica.reported_failures = {};
  add_failure_points(now, replica, std::max(kSlowPoints, kEjectionPoints - replica.failure_points));
}

void ReplicaHealth::add_failure_points(Time now, Replica& replica, int points) {
  if (now < replica.ejected_until) return;
  replica.failure_points += points;
  if (replica.failure_points < kEjectionPoints) return;
  const int doublings = std::min((replica.failure_points - kEjectionPoints) / kSlowPoints, kMaxDoublings);
  replica.ejected_until = now + ((kEjectionObjectives * state_.longest_latency_objective) << doublings);
  state_.cuts_are_stale = true;
}

void ReplicaHealth::on_answer(Replica& replica, AnswerTime time) {
  const bool slow = time != AnswerTime::in_time;
  double& kind_speed = state_.kind_speed_factors.try_emplace(replica.listing.kind, 1.0).first->second;
  if (!shares_observations(state_.settings))
    kind_speed = std::clamp(kind_speed * (slow ? 1 - kKindSpeedLoss : 1 + kKindSpeedGain), kMinSpeed, 1.0);
  replica.speed_factor = std::clamp(
      replica.speed_factor * (slow ? 1 - kReplicaSpeedLoss : 1 + kReplicaSpeedGain), kMinSpeed, 1.0);
}

void ReplicaHealth::lower_speed_factor(Replica& replica) const {
  replica.speed_factor = std::max(kMinSpeed, replica.speed_factor * (1 - kReplicaSpeedLoss));
}

void ReplicaHealth::recover_speed_factors(Time elapsed) {
  const double periods = static_cast<double>(elapsed) / static_cast<double>(kSpeedRecoveryTime);
  const double fraction = shares_observations(state_.settings) ? std::min(1.0, periods) : 0;
  for (auto& [id, replica] : state_.replicas) replica.speed_factor += fraction * (1 - replica.speed_factor);
}

double ReplicaHealth::capacity_of(const Replica& replica) const {
  const auto kind = state_.kind_speed_factors.find(replica.listing.kind);
  const double kind_speed = kind == state_.kind_speed_factors.end() ? 1 : kind->second;
  return std::max(kMinCapacity, replica.listing.weight * replica.speed_factor * kind_speed);
}

double ReplicaHealth::warm_up_progress(Time now, const Replica& replica) const {
  const Time warm_up = state_.settings.warm_up;
  if (replica.listing.started_at == 0 || warm_up <= 0) return 1;
  const double ratio = static_cast<double>(now - replica.listing.started_at) / static_cast<double>(warm_up);
  return std::clamp(ratio, 0.0, 1.0);
}

double ReplicaHealth::recovery_factor(Time now, const Replica& replica) const {
  if (now < replica.ejected_until) return 0;
  if (replica.failure_points == 0 || replica.ejected_until == 0) return 1;
  const auto elapsed = static_cast<double>(now - replica.ejected_until);
  return std::clamp(elapsed / static_cast<double>(state_.longest_latency_objective), kMinRecovery, 1.0);
}

double ReplicaHealth::min_speed_factor() { return kMinSpeed; }

}  // namespace thornwick
