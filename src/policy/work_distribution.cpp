#include "policy/work_distribution.hpp"

#include <cmath>

#include "policy/peer_observations.hpp"

namespace thornwick {

constexpr std::size_t kMaxSamples = 512;       // recorded requests: a few minutes of a small router
constexpr std::size_t kMinSamples = 16;        // requests that must be recorded before sizes count
constexpr std::size_t kSamplesPerReplica = 8;  // the same in a large group, for each replica of the cut
constexpr std::size_t kSortInterval = 16;      // new samples after which the distribution is built again
constexpr double kSizeGrid = 0.5;              // steps of the grid of band edges in a doubling of size
constexpr std::size_t kMaxPrefixes = 512;      // prefixes whose work is recorded
constexpr double kOtherPrefixes = 20;  // requests that a router of a large group adds for other prefixes
constexpr double kPartOfShare = 0.5;   // a part of a prefix is at most this part of a replica's share
constexpr std::size_t kMaxParts = 64;  // into which a prefix is split

double size_of(const Request& request) {
  const double placed = request.cache_hint.cached_size;
  return placed > 0 ? placed : request.prompt_tokens + request.max_tokens;
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
  if (state_.next_sample < sorted_until_ + kSortInterval) return;
  sorted_until_ = state_.next_sample;
  sizes_ = SizeDistribution(state_.samples);
}

bool WorkDistribution::tells_sizes_apart(std::size_t replicas) const {
  const bool large = shares_observations(state_.settings);
  const std::size_t enough = large ? kSamplesPerReplica * replicas : kMinSamples;
  return state_.next_sample >= enough && !sizes_.is_empty();
}

double WorkDistribution::size_at(double part) const {
  const double size = std::max(sizes_.size_reaching(part), 1.0);
  return std::exp2(std::round(std::log2(size) * kSizeGrid) / kSizeGrid);
}

std::size_t WorkDistribution::parts_of_prefix(std::uint64_t prefix, std::size_t replicas) const {
  const double others = shares_observations(state_.settings) ? kOtherPrefixes * mean_work() : 0;
  const double heat = state_.prefix_work.fraction_of(prefix, others);
  const double wanted = heat * static_cast<double>(replicas) / kPartOfShare;
  std::size_t parts = 1;
  while (static_cast<double>(parts) < wanted && parts < kMaxParts) parts *= 2;
  return parts;
}

std::size_t WorkDistribution::max_samples() { return kMaxSamples; }
std::size_t WorkDistribution::max_prefixes() { return kMaxPrefixes; }

}  // namespace thornwick
