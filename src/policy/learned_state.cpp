#include "policy/learned_state.hpp"

#include <algorithm>
#include <cmath>

namespace thornwick {
namespace {

constexpr int kMaxFailurePoints = 16;  // enough for the longest ejection

// Whether the value is finite and not negative.
bool is_amount(double value) { return std::isfinite(value) && value >= 0; }

// Returns the value if it is within 0..1, otherwise `fallback`.
double fraction_or(double value, double fallback) {
  return is_amount(value) && value <= 1 ? value : fallback;
}

void import_samples(PolicyState& state, const LearnedState& learned, std::size_t max_samples) {
  for (const auto& [size, work] : learned.samples) {
    if (!is_amount(size) || !is_amount(work) || work <= 0 || state.samples.size() >= max_samples) continue;
    state.samples.push_back({size, work});
    state.next_sample = state.samples.size();
  }
}

void import_prefixes(PolicyState& state, const LearnedState& learned, std::size_t max_prefixes) {
  for (const auto& [prefix, work] : learned.prefixes) {
    if (!is_amount(work) || state.prefix_work.table().size() >= max_prefixes) continue;
    state.prefix_work.add_new(prefix, work);
  }
}

void import_replicas(PolicyState& state, const LearnedState& learned, double min_speed_factor) {
  for (const LearnedState::Replica& record : learned.replicas) {
    const auto found = state.replicas.find(record.id);
    if (found == state.replicas.end() || found->second.listing.started_at != record.started_at) continue;
    Replica& replica = found->second;
    replica.failure_points = std::clamp(record.failure_points, 0, kMaxFailurePoints);
    replica.ejected_until = record.ejected_until;
    replica.speed_factor = std::max(min_speed_factor, fraction_or(record.speed_factor, 1));
  }
}

}  // namespace

LearnedState export_learned_state(const PolicyState& state) {
  LearnedState learned;
  const std::size_t count = state.samples.size();
  const std::size_t oldest = count == 0 ? 0 : state.next_sample % count;
  for (std::size_t i = 0; i < count; ++i) {
    const Sample& sample = state.samples[(oldest + i) % count];
    learned.samples.push_back({.size = sample.size, .work = sample.work});
  }
  for (const auto& [prefix, work] : state.prefix_work.table()) {
    learned.prefixes.push_back({.prefix = prefix, .work = work});
  }
  for (const auto& [id, replica] : state.replicas) {
    if (replica.listing.state == EndpointState::removed) continue;
    learned.replicas.push_back({.id = id,
                                .started_at = replica.listing.started_at,
                                .failure_points = replica.failure_points,
                                .ejected_until = replica.ejected_until,
                                .speed_factor = replica.speed_factor});
  }
  for (const auto& [kind, speed_factor] : state.kind_speed_factors) {
    learned.kind_speeds.push_back({.kind = kind, .speed_factor = speed_factor});
  }
  learned.tenant_usage = state.tenant_usage;
  learned.zone_overflow = state.zone_overflow;
  learned.load_shedding = state.load_shedding;
  return learned;
}

void import_learned_state(PolicyState& state, const LearnedState& learned, const LearnedStateLimits& limits) {
  import_samples(state, learned, limits.max_samples);
  import_prefixes(state, learned, limits.max_prefixes);
  import_replicas(state, learned, limits.min_speed_factor);
  for (const auto& [kind, speed_factor] : learned.kind_speeds) {
    state.kind_speed_factors[kind] = std::max(limits.min_speed_factor, fraction_or(speed_factor, 1));
  }
  const bool usage_is_valid =
      learned.tenant_usage.size() == state.settings.tenants.size() &&
      std::all_of(learned.tenant_usage.begin(), learned.tenant_usage.end(), is_amount);
  if (usage_is_valid) state.tenant_usage = learned.tenant_usage;
  state.zone_overflow = fraction_or(learned.zone_overflow, 0);
  state.load_shedding = std::min(limits.max_load_shedding, fraction_or(learned.load_shedding, 0));
  state.cuts_are_stale = true;
}

}  // namespace thornwick
