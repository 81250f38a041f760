// Trust: whether the predictions about each replica's cache, and about the whole fleet's, still hold.
//
// The tests are those of cache_hit_estimator.hpp. A replica is either trusted or on probation. A loss
// invalidates all copies of the replica (or of the fleet) in one step, by raising the epochs.
#pragma once

#include <cstdint>

#include "affinity/cache_hit_estimator.hpp"
#include "affinity/copy_lookup.hpp"
#include "affinity/journal.hpp"
#include "affinity/metrics.hpp"
#include "affinity/replica_registry.hpp"

namespace thornwick::affinity {

// Is notified when copies are found to be lost and when a replica is trusted again, so that operators can see
// it.
class Observer {
 public:
  virtual ~Observer() = default;
  virtual void on_fleet_copies_lost(Time now) = 0;
  virtual void on_replica_copies_lost(Time now, ReplicaId replica) = 0;
  virtual void on_replica_recovered(Time now, ReplicaId replica) = 0;
};

// Owns the fleet's loss test; each replica's tests are in the registry. Owns none of its arguments; all must
// outlive it, and the observer may be null.
class TrustTracker {
 public:
  // `answers_per_false_alarm`: mean number of answers between two false losses, for each replica and for the
  // fleet. Throws std::invalid_argument if it is not above 1.
  TrustTracker(ReplicaRegistry& replicas, JournalWriter& journal, Metrics& metrics,
               double answers_per_false_alarm, Observer* observer)
      : replicas_(replicas),
        journal_(journal),
        metrics_(metrics),
        observer_(observer),
        fleet_loss_test_(answers_per_false_alarm) {}

  // Whether the routing policy may get a hint about this replica. For a replica on probation every fourth
  // hint is given: without any, no answer would show that its copies are found again.
  [[nodiscard]] bool allow_hint(Slot slot);

  // Compares an answer of the replica in `slot` with the expectation, which must be at least one token.
  void learn(Time now, Slot slot, const Expectation& expectation, CacheOutcome outcome);

  // Called after a restart: the tests start half way to the alarm, so that a few answers show what was lost
  // meanwhile. The test of the fleet does so only if entries were restored.
  void resume(std::size_t restored_entries);

  // False from the detected loss of the copies of the fleet until every replica has left probation.
  bool fleet_trusted() const { return fleet_trusted_; }

 private:
  void on_fleet_loss(Time now);
  void on_replica_loss(Time now, Slot slot);
  void on_replica_recovery(Time now, Slot slot);

  ReplicaRegistry& replicas_;
  JournalWriter& journal_;
  Metrics& metrics_;
  Observer* observer_;
  LossTest fleet_loss_test_;
  bool fleet_trusted_ = true;
};

}  // namespace thornwick::affinity
