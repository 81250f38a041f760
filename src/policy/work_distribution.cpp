#include "policy/work_distribution.hpp"

#include <cmath>

#include "policy/peer_observations.hpp"

namespace thornwick {

constexpr std::size_t kMaxSamples = 512;       // recorded requests: a few minutes of a small router
constexpr std::size_t kMinSamples = 16;        // requests to record before sizes are used
constexpr std::size_t kSamplesPerReplica = 8;  // the same in a large group, for each replica of the cut
constexpr std::size_t kSortInterval = 16;      // new samples after which the distribution is built again
constexpr double kGridStepsPerDoubling = 0.5;  // steps of the grid of band edges in a doubling of size
constexpr std::size_t kMaxPrefixes = 512;      // prefixes whose work is recorded
constexpr double kAssumedOtherRequests = 20;   // requests for other prefixes that a large group's router adds
constexpr double kMaxSplitShare = 0.5;  // work of a group of sessions, as a fraction of a replica's share
constexpr std::size_t kMaxSplits = 64;  // groups of sessions of one prefix

double size_of(const Request& request) {
  const double placed_size = request.cache_hint.cached_size;
  return placed_size > 0 ? placed_size : request.prompt_tokens + request.max_tokens;
}

void WorkDistribution::record(const PendingRequest& pending) {
  if (state_.samples.size() < kMaxSamples) state_.samples.push_back({});
  state_.samples[state_.next_sample % kMaxSamples] = {size_of(pending.request), pending.work};
  ++state_.next_sample;
  if (pending.request.prefix == 0) return;
  state_.prefix_work.add(pending.request.prefix, pending.work);
  if (state_.prefix_work.table().size() > kMaxPrefixes) state_.prefix_work.decay();
}

void WorkDistribution::update() {
  if (state_.next_sample < sorted_sample_count_ + kSortInterval) return;
  sorted_sample_count_ = state_.next_sample;
  sizes_ = SizeDistribution(state_.samples);
}

bool WorkDistribution::can_divide_by_size(std::size_t replicas) const {
  const bool large_group = shares_observations(state_.settings);
  const std::size_t min_samples = large_group ? kSamplesPerReplica * replicas : kMinSamples;
  return state_.next_sample >= min_samples && !sizes_.is_empty();
}

double WorkDistribution::size_at(double fraction) const {
  const double size = std::max(sizes_.size_at_fraction(fraction), 1.0);
  return std::exp2(std::round(std::log2(size) * kGridStepsPerDoubling) / kGridStepsPerDoubling);
}

std::size_t WorkDistribution::split_count(std::uint64_t prefix, std::size_t replicas) const {
  const double other_work = shares_observations(state_.settings) ? kAssumedOtherRequests * mean_work() : 0;
  const double fraction = state_.prefix_work.fraction_of(prefix, other_work);
  const double target = fraction * static_cast<double>(replicas) / kMaxSplitShare;
  std::size_t splits = 1;
  while (static_cast<double>(splits) < target && splits < kMaxSplits) splits *= 2;
  return splits;
}

std::size_t WorkDistribution::max_samples() { return kMaxSamples; }
std::size_t WorkDistribution::max_prefixes() { return kMaxPrefixes; }

}  // namespace thornwick
