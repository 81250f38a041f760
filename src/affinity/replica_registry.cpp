#include "affinity/replica_registry.hpp"

#include <algorithm>
#include <limits>

namespace thornwick::affinity {

ReplicaRegistry::ReplicaRegistry(std::size_t max_replicas, double answers_per_false_alarm)
    : max_replicas_(std::min<std::size_t>(max_replicas, std::numeric_limits<Slot>::max())),
      answers_per_false_alarm_(answers_per_false_alarm) {}

Replica ReplicaRegistry::make_replica(ReplicaId id, Epoch epoch) const {
  Replica replica;
  replica.id = id;
  replica.in_use = true;
  replica.epoch = epoch;
  replica.loss_test = LossTest(answers_per_false_alarm_);
  return replica;
}

std::optional<Slot> ReplicaRegistry::slot_of(ReplicaId id) const {
  const auto found = by_id_.find(id);
  return found == by_id_.end() ? std::nullopt : std::optional(found->second);
}

std::optional<Slot> ReplicaRegistry::admit(ReplicaId id) {
  if (const auto known = slot_of(id)) return known;
  if (free_.empty() && replicas_.size() >= max_replicas_) {
    ++rejected_;
    return std::nullopt;
  }
  if (free_.empty()) {
    free_.push_back(static_cast<Slot>(replicas_.size()));
    replicas_.emplace_back();
  }
  const Slot slot = free_.back();
  free_.pop_back();
  replicas_[slot] = make_replica(id, replicas_[slot].epoch);
  by_id_[id] = slot;
  return slot;
}

bool ReplicaRegistry::restore(Slot slot, const Replica& replica) {
  if (slot >= max_replicas_ || (replica.in_use && by_id_.contains(replica.id))) return false;
  while (replicas_.size() <= slot) {
    free_.push_back(static_cast<Slot>(replicas_.size()));
    replicas_.emplace_back();
  }
  if (replicas_[slot].in_use) return false;
  if (!replica.in_use) {
    replicas_[slot].epoch = replica.epoch;
    return true;
  }
  free_.erase(std::find(free_.begin(), free_.end(), slot));
  Replica restored = make_replica(replica.id, replica.epoch);
  restored.started_at = replica.started_at;
  restored.sent_tokens = replica.sent_tokens;
  restored.last_sent_at = replica.last_sent_at;
  restored.sent_tokens_per_s = replica.sent_tokens_per_s;
  replicas_[slot] = restored;
  by_id_[replica.id] = slot;
  return true;
}

void ReplicaRegistry::release(Slot slot) {
  Replica& replica = replicas_[slot];
  if (!replica.in_use) return;
  by_id_.erase(replica.id);
  replica.in_use = false;
  replica.listed = false;
  ++replica.epoch;
  free_.push_back(slot);
}

void ReplicaRegistry::invalidate_copies(Slot slot) {
  Replica& replica = replicas_[slot];
  ++replica.epoch;
  replica.survival = {};
  replica.calibration = {};
  replica.loss_test.reset();
  replica.recovery_test.reset();
}

void ReplicaRegistry::start_probation(Slot slot) {
  invalidate_copies(slot);
  replicas_[slot].trust_state = TrustState::probing;
  ++replicas_[slot].losses;
}

}  // namespace thornwick::affinity
