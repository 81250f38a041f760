#include "affinity/affinity_table.hpp"

#include <algorithm>
#include <stdexcept>

#include "affinity/odometer.hpp"

namespace thornwick::affinity {

AffinityTable::AffinityTable(const Options& options, Observer* observer)
    : table_(options.table),
      replicas_(options.max_replicas, options.answers_per_false_alarm),
      lookup_(table_, replicas_, options.lifetime),
      trust_(replicas_, journal_, metrics_, options.answers_per_false_alarm, observer) {
  if (options.lifetime <= 0) throw std::invalid_argument("affinity table: lifetime must be above 0");
  if (options.max_replicas == 0)
    throw std::invalid_argument("affinity table: max_replicas is 0; it must be at least 1");
}

CacheHint AffinityTable::find_hint(Time now, const Request& request) {
  const auto [match, cached_size] = lookup_.find(request, whole_seconds(now));
  CacheHint hint;
  hint.cached_size = cached_size;
  if (match.copy == nullptr || match.expected_tokens() < kMinCachedTokens) return hint;
  if (!trust_.allow_hint(match.copy->replica)) return hint;
  hint.replica = replicas_.at(match.copy->replica).id;
  hint.expected_tokens = match.expected_tokens();
  hint.confidence = match.confidence;
  hint.has_replica = true;
  ++metrics_.hints;
  return hint;
}

Expectation AffinityTable::on_answer_started(Time now, const Request& request, ReplicaId replica) {
  const auto slot = replicas_.slot_of(replica);
  if (!slot) return {};
  // The order matters: recording the prompt adds a copy that the answer must not be compared with.
  const Expectation expectation = lookup_.expectation(request, *slot, whole_seconds(now));
  recorder_.record_prompt(now, request, *slot);
  return expectation;
}

void AffinityTable::on_answer_complete(Time now, const Request& request, ReplicaId replica,
                                       const Expectation& expectation, double cached_tokens,
                                       double generated_tokens) {
  const auto slot = replicas_.slot_of(replica);
  if (!slot) return;
  metrics_.prompt_tokens += request.prompt_tokens;
  metrics_.found_tokens += cached_tokens;
  const double read_tokens = std::max(0.0, request.prompt_tokens - cached_tokens);
  recorder_.record_tokens(now, *slot, read_tokens + generated_tokens);
  if (expectation.tokens >= kMinCachedTokens) {
    metrics_.expected_tokens += expectation.tokens;
    const bool found = cached_tokens >= expectation.min_hit_tokens;
    trust_.learn(now, *slot, expectation, found ? CacheOutcome::hit : CacheOutcome::miss);
  }
  recorder_.record_prompt(now, request, *slot);
  recorder_.count_answer(*slot);
  recorder_.sweep(now);
}

void AffinityTable::on_endpoints(EndpointUpdate scope, std::span<const Endpoint> entries) {
  if (scope == EndpointUpdate::failed) return;
  if (scope != EndpointUpdate::delta) {
    replicas_.for_each([](Slot, Replica& replica) { replica.listed = false; });
  }
  for (const Endpoint& entry : entries) on_endpoint(entry);
  if (scope != EndpointUpdate::full) return;
  replicas_.for_each([&](Slot slot, const Replica& replica) {
    if (!replica.listed) remove_replica(slot);
  });
}

void AffinityTable::remove_replica(Slot slot) {
  replicas_.release(slot);
  journal_.save_replica(slot);
}

void AffinityTable::on_endpoint(const Endpoint& entry) {
  const auto known_slot = replicas_.slot_of(entry.id);
  if (entry.state == EndpointState::removed) {
    if (known_slot) remove_replica(*known_slot);
    return;
  }
  const auto slot = replicas_.admit(entry.id);
  if (!slot) return;
  Replica& replica = replicas_.at(*slot);
  replica.listed = true;
  replica.state = entry.state;
  const bool started_later = entry.started_at > replica.started_at;
  // A restarted replica has an empty cache.
  if (known_slot && started_later) replicas_.invalidate_copies(*slot);
  replica.started_at = std::max(replica.started_at, entry.started_at);
  if (!known_slot || started_later) journal_.save_replica(*slot);
}

void AffinityTable::finish_restore(Time now) {
  recorder_.advance_odometers(now);
  trust_.resume(table_.size());
}

}  // namespace thornwick::affinity
