#include "affinity/trust_tracker.hpp"

namespace thornwick::affinity {
namespace {

constexpr std::uint64_t kHintsPerProbe = 4;  // one of so many hints about a replica on probation is given

}  // namespace

bool TrustTracker::allow_hint(Slot slot) {
  Replica& replica = replicas_.at(slot);
  if (replica.trust_state == TrustState::trusted) return true;
  ++replica.probes;
  return replica.probes % kHintsPerProbe == 0;
}

void TrustTracker::learn(Time now, Slot slot, const Expectation& expectation, CacheOutcome outcome) {
  Replica& replica = replicas_.at(slot);
  // Answers that were in flight when a loss was noticed expected copies that have been invalidated since.
  // Counting them would report the same loss again.
  if (expectation.epoch != replica.epoch) {
    ++metrics_.outdated;
    return;
  }
  const bool hit = outcome == CacheOutcome::hit;
  ++(hit ? metrics_.hits : metrics_.misses);
  ++(hit ? replica.hits : replica.misses);
  replica.survival.learn(expectation.age_tokens, outcome);
  replica.calibration.learn(expectation.confidence, outcome);
  if (fleet_loss_test_.add(expectation.confidence, outcome)) {
    on_fleet_loss(now);
    return;
  }
  if (replica.trust_state == TrustState::trusted) {
    if (replica.loss_test.add(expectation.confidence, outcome)) on_replica_loss(now, slot);
    return;
  }
  switch (replica.recovery_test.add(expectation.confidence, outcome)) {
    case Verdict::undecided: return;
    case Verdict::lost: on_replica_loss(now, slot); return;
    case Verdict::recovered: on_replica_recovery(now, slot); return;
  }
}

void TrustTracker::on_fleet_loss(Time now) {
  ++metrics_.fleet_losses;
  fleet_trusted_ = false;
  replicas_.for_each([&](Slot slot, const Replica&) {
    replicas_.start_probation(slot);
    journal_.save_replica(slot);
  });
  if (observer_ != nullptr) observer_->on_fleet_copies_lost(now);
}

void TrustTracker::on_replica_loss(Time now, Slot slot) {
  const bool was_trusted = replicas_.at(slot).trust_state == TrustState::trusted;
  replicas_.start_probation(slot);
  journal_.save_replica(slot);
  if (!was_trusted) return;
  ++metrics_.replica_losses;
  if (observer_ != nullptr) observer_->on_replica_copies_lost(now, replicas_.at(slot).id);
}

void TrustTracker::on_replica_recovery(Time now, Slot slot) {
  Replica& replica = replicas_.at(slot);
  replica.trust_state = TrustState::trusted;
  replica.loss_test.reset();
  ++metrics_.recoveries;
  bool any_on_probation = false;
  replicas_.for_each([&](Slot, const Replica& other) {
    if (other.trust_state == TrustState::probing) any_on_probation = true;
  });
  if (!any_on_probation) fleet_trusted_ = true;
  if (observer_ != nullptr) observer_->on_replica_recovered(now, replica.id);
}

void TrustTracker::resume(std::size_t restored_entries) {
  replicas_.for_each([](Slot, Replica& replica) { replica.loss_test.head_start(); });
  if (restored_entries > 0) fleet_loss_test_.head_start();
}

}  // namespace thornwick::affinity
