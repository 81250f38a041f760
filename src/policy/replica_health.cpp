#include "policy/replica_health.hpp"

#include "policy/peer_observations.hpp"

namespace thornwick {

constexpr int kEjectAt = 3;               // failure points in a row that eject a replica
constexpr int kQuickPoints = 1;           // failure points of a failure that cost next to no time
constexpr int kSlowPoints = 2;            // failure points of a silence or a failed connect
constexpr int kEjectionObjectives = 1;    // length of a first ejection, in longest latency objectives
constexpr int kMaxDoublings = 3;          // of the length of an ejection, as failures go on
constexpr double kReportedEjectAt = 3;    // decayed failure points of other routers' reports that eject
constexpr double kMinRecovery = 0.1;      // part of its share that a replica has when its ejection ends
constexpr double kKindPaceUp = 0.006;     // part by which an answer in time raises the pace of its kind
constexpr double kKindPaceDown = 0.04;    // part by which a slow or late answer lowers it
constexpr double kReplicaPaceUp = 0.012;  // the same for the pace of the single replica
constexpr double kReplicaPaceDown = 0.08;
constexpr double kMinPace = 0.2;                 // the lowest learned pace, as a part of the listed weight
constexpr Time kPaceRecoveryTime = seconds(10);  // in a large group: time constant of a pace's return to 1
constexpr double kMinCapacity = 1e-3;            // of a replica whose listed weight is 0

int ReplicaHealth::points_of(FailureCost cost) {
  return cost == FailureCost::quick ? kQuickPoints : kSlowPoints;
}

void ReplicaHealth::on_alive(Time now, ReplicaId id) {
  Replica* replica = state_.find_replica(id);
  if (replica == nullptr) return;
  replica->last_alive = now;
  if (now >= replica->ejected_until) replica->failure_points = 0;
}

void ReplicaHealth::on_reported_failure(Time now, Replica& replica, FailureCost cost) {
  if (now < replica.ejected_until) return;
  if (replica.reported_failures.add(now, points_of(cost)) < kReportedEjectAt) return;
  replica.reported_failures = {};
  add_failure_points(now, replica, std::max(kSlowPoints, kEjectAt - replica.failure_points));
}

void ReplicaHealth::add_failure_points(Time now, Replica& replica, int points) {
  if (now < replica.ejected_until) return;
  replica.failure_points += points;
  if (replica.failure_points < kEjectAt) return;
  const int doublings = std::min((replica.failure_points - kEjectAt) / kSlowPoints, kMaxDoublings);
  replica.ejected_until = now + ((kEjectionObjectives * state_.longest_latency_objective) << doublings);
  state_.cuts_are_stale = true;
}

void ReplicaHealth::on_answer(Replica& replica, AnswerTime time) {
  const bool slow = time != AnswerTime::in_time;
  double& kind_pace = state_.pace_of_kind.try_emplace(replica.listing.kind, 1.0).first->second;
  if (!shares_observations(state_.settings))
    kind_pace = std::clamp(kind_pace * (slow ? 1 - kKindPaceDown : 1 + kKindPaceUp), kMinPace, 1.0);
  replica.pace = std::clamp(replica.pace * (slow ? 1 - kReplicaPaceDown : 1 + kReplicaPaceUp), kMinPace, 1.0);
}

void ReplicaHealth::slow_down(Replica& replica) const {
  replica.pace = std::max(kMinPace, replica.pace * (1 - kReplicaPaceDown));
}

void ReplicaHealth::recover_paces(Time elapsed) {
  const double passed = static_cast<double>(elapsed) / static_cast<double>(kPaceRecoveryTime);
  const double part = shares_observations(state_.settings) ? std::min(1.0, passed) : 0;
  for (auto& [id, replica] : state_.replicas) replica.pace += part * (1 - replica.pace);
}

double ReplicaHealth::capacity_of(const Replica& replica) const {
  const auto kind = state_.pace_of_kind.find(replica.listing.kind);
  const double kind_pace = kind == state_.pace_of_kind.end() ? 1 : kind->second;
  return std::max(kMinCapacity, replica.listing.weight * replica.pace * kind_pace);
}

double ReplicaHealth::warmth(Time now, const Replica& replica) const {
  const Time warm_up = state_.settings.warm_up;
  if (replica.listing.started_at == 0 || warm_up <= 0) return 1;
  const double age = static_cast<double>(now - replica.listing.started_at) / static_cast<double>(warm_up);
  return std::clamp(age, 0.0, 1.0);
}

double ReplicaHealth::recovery(Time now, const Replica& replica) const {
  if (now < replica.ejected_until) return 0;
  if (replica.failure_points == 0 || replica.ejected_until == 0) return 1;
  const auto since = static_cast<double>(now - replica.ejected_until);
  return std::clamp(since / static_cast<double>(state_.longest_latency_objective), kMinRecovery, 1.0);
}

double ReplicaHealth::min_pace() { return kMinPace; }

}  // namespace thornwick
