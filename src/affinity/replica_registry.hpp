// The registry of the replicas that copies can be on: for each its epoch, the number of tokens sent to it,
// how long copies survive there, and whether predictions about its cache are trusted.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <vector>

#include "affinity/cache_hit_estimator.hpp"
#include "affinity/entry_table.hpp"

namespace thornwick::affinity {

// `probing`: the replica is on probation after a loss.
enum class TrustState : std::uint8_t { trusted, probing };

struct Replica {
  ReplicaId id = 0;
  bool in_use = false;   // the slot is assigned to `id`
  bool listed = false;   // in discovery's latest endpoint list
  bool unsaved = false;  // the journal has not accepted the latest state yet
  EndpointState state = EndpointState::ready;
  Time started_at = 0;  // start of the replica according to discovery; 0: unknown
  Epoch epoch = 0;      // stays in the slot after the replica is removed, so that no old copy becomes valid
  double sent_tokens = 0;  // odometer: tokens that this router made the replica read or generate
  Time last_sent_at = 0;   // when `sent_tokens` last grew; 0: never
  // Smoothed growth of `sent_tokens`, assumed for the time while this router is down.
  double sent_tokens_per_s = 0;
  Survival survival;
  Calibration calibration;
  LossTest loss_test{2};  // placeholder; the registry sets the rate of false alarms
  RecoveryTest recovery_test;
  TrustState trust_state = TrustState::trusted;
  std::uint64_t answers = 0;  // complete answers
  std::uint64_t hits = 0;     // answers that found the expected copy
  std::uint64_t misses = 0;   // answers that did not
  std::uint64_t losses = 0;   // times that its copies were invalidated by a loss test
  std::uint64_t probes = 0;   // hints considered while on probation
};

// Assigns a slot to each replica. References to a replica are valid until the next admission or restoration.
class ReplicaRegistry {
 public:
  // `max_replicas`: the maximum number of replicas at once; limited to 65,535. `answers_per_false_alarm`: for
  // the loss test of each replica.
  ReplicaRegistry(std::size_t max_replicas, double answers_per_false_alarm);

  // The slot of this replica; none if the replica was never listed, or was not admitted because all slots
  // were in use.
  std::optional<Slot> slot_of(ReplicaId id) const;
  Replica& at(Slot slot) { return replicas_[slot]; }
  const Replica& at(Slot slot) const { return replicas_[slot]; }
  std::size_t size() const { return by_id_.size(); }
  std::size_t slots() const { return replicas_.size(); }
  // Admissions that failed because all slots were in use.
  std::uint64_t rejected() const { return rejected_; }

  // Returns the slot of a listed replica, assigning one if needed; none if all slots are in use.
  std::optional<Slot> admit(ReplicaId id);
  // Restores a slot as it was stored. Returns false if the slot or the id is in use, or the slot is out of
  // range.
  bool restore(Slot slot, const Replica& replica);
  // Removes the replica: invalidates its copies and frees the slot.
  void release(Slot slot);
  // Invalidates all copies of the replica and forgets what was learned about their survival.
  void invalidate_copies(Slot slot);
  // Invalidates all copies and puts the replica on probation.
  void start_probation(Slot slot);

  // Calls `visit(slot, replica)` for each slot in use, in the order of the slots.
  template <typename Visit>
  void for_each(Visit visit) const {
    for (std::size_t slot = 0; slot < replicas_.size(); ++slot) {
      if (replicas_[slot].in_use) visit(static_cast<Slot>(slot), replicas_[slot]);
    }
  }
  template <typename Visit>
  void for_each(Visit visit) {
    for (std::size_t slot = 0; slot < replicas_.size(); ++slot) {
      if (replicas_[slot].in_use) visit(static_cast<Slot>(slot), replicas_[slot]);
    }
  }

 private:
  Replica make_replica(ReplicaId id, Epoch epoch) const;

  std::size_t max_replicas_;
  double answers_per_false_alarm_;
  std::vector<Replica> replicas_;  // by slot
  std::vector<Slot> free_;         // the last one is assigned next
  absl::flat_hash_map<ReplicaId, Slot> by_id_;
  std::uint64_t rejected_ = 0;
};

}  // namespace thornwick::affinity
