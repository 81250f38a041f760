#include "policy/placement.hpp"

#include <cmath>
#include <limits>

namespace thornwick {

constexpr std::size_t kReplicasPerBand = 8;  // replicas whose intervals form one band for sessions
constexpr double kBusierRatio = 1.5;  // an owner is clearly busier if it has this multiple of the other's ...
constexpr double kBusierMargin = 2;   // ... requests in flight and this many more
constexpr double kMaxColdWork = 1.5;  // the most work that a cold replica gets, in multiples of the mean work
constexpr double kColdWorkGrowth = 4;   // multiples of kMaxColdWork that are added during the warm-up
constexpr double kMinBandWidth = 1e-9;  // width of a band in which no work was observed

PlacementChoice Placement::choose(Time now, const PendingRequest& pending) {
  using Kind = PlacementChoice::Kind;
  cuts_.update(now);
  const IntervalCut* cut = choose_cut(pending);
  const bool no_members = state_.remote_cut.members.empty() && state_.home_cut.members.empty();
  if (cut == nullptr) return {no_members ? Kind::wait_for_endpoints : Kind::reject};
  const std::size_t owner = owner_of(*cut, pending);
  Replica* target = cut->members[owner];
  Replica* adjacent = cut->members[cut->adjacent(owner)];
  const bool is_warm = adjacent != target && health_.warm_up_progress(now, *adjacent) >= 1;
  if (is_warm && clearly_busier(*target, *adjacent)) target = adjacent;
  if (must_avoid_cold(now, pending, *target)) target = other_replica(now, pending, target->listing.id);
  return {target == nullptr ? Kind::reject : Kind::send, target};
}

const IntervalCut* Placement::choose_cut(const PendingRequest& pending) {
  const IntervalCut& home = state_.home_cut;
  const IntervalCut& remote = state_.remote_cut;
  const bool by_session = pending.request.session != 0 && home.any_warm;
  const double position = by_session ? unit_interval(mix(pending.request.session)) : state_.random.draw();
  if (!home.members.empty() && position < std::min(home.available, 1 - state_.zone_overflow)) return &home;
  if (!remote.members.empty() && (remote.any_warm || position < remote.available)) return &remote;
  const bool home_can_take = !home.members.empty() && remote.members.empty() && position < home.available;
  return home.any_warm || home_can_take ? &home : nullptr;
}

bool Placement::must_avoid_cold(Time now, const PendingRequest& pending, const Replica& replica) const {
  const double progress = health_.warm_up_progress(now, replica);
  const double mean = work_.mean_work();
  const double max_work = kMaxColdWork * (1 + kColdWorkGrowth * progress) * mean;
  return progress < 1 && (pending.request.client_repeat || (mean > 0 && pending.work > max_work));
}

bool Placement::clearly_busier(const Replica& owner, const Replica& other) const {
  const double capacity_ratio = health_.capacity_of(owner) / health_.capacity_of(other);
  return owner.in_flight > capacity_ratio * kBusierRatio * other.in_flight + kBusierMargin;
}

std::size_t Placement::owner_of(const IntervalCut& cut, const PendingRequest& pending) {
  const bool by_size = work_.can_divide_by_size(cut.members.size());
  const double size = size_of(pending.request);
  const std::uint64_t key = affinity_key(pending.request, cut);
  if (key == 0) return cut.member_at(by_size ? work_.work_below(size) : state_.random.draw());
  const Band band = by_size ? band_of(size, cut) : Band{};
  return cache_holder_in_band(cut, band, owner_in_band(cut, band, key), pending.request.cache_hint);
}

std::uint64_t Placement::affinity_key(const Request& request, const IntervalCut& cut) const {
  const bool mostly_unshared = request.prefix_tokens * 2 < request.prompt_tokens;
  if (request.prefix == 0 || mostly_unshared) return request.session != 0 ? request.session : request.prefix;
  const std::size_t splits = work_.split_count(request.prefix, cut.members.size());
  return mix(request.prefix) + mix(request.session) % splits;
}

Placement::Band Placement::band_of(double size, const IntervalCut& cut) const {
  const std::size_t bands = std::max<std::size_t>(2, cut.members.size() / kReplicasPerBand);
  double low = 0;
  for (std::size_t i = 1; i < bands; ++i) {
    const double edge = work_.size_at(static_cast<double>(i) / static_cast<double>(bands));
    const double high = work_.work_below(edge);
    if (size < edge) return {low, std::max(high, low + kMinBandWidth)};
    low = high;
  }
  return {std::min(low, 1 - kMinBandWidth), 1};
}

std::size_t Placement::owner_in_band(const IntervalCut& cut, const Band& band, std::uint64_t key) {
  std::size_t best = cut.member_at(band.low);
  double best_score = std::numeric_limits<double>::infinity();
  for (std::size_t i = best; i < cut.members.size(); ++i) {
    const double share = std::min(band.high, cut.edges[i]) - std::max(band.low, cut.lower_edge(i));
    if (share <= 0) break;
    const double score = -std::log(unit_interval(mix(key ^ mix(cut.members[i]->listing.id)))) / share;
    if (score < best_score) {
      best_score = score;
      best = i;
    }
  }
  return best;
}

std::size_t Placement::cache_holder_in_band(const IntervalCut& cut, const Band& band, std::size_t owner,
                                            const CacheHint& hint) const {
  if (!hint.has_replica) return owner;
  for (std::size_t i = cut.member_at(band.low); i < cut.members.size(); ++i) {
    if (cut.lower_edge(i) >= band.high) break;
    if (cut.members[i]->listing.id != hint.replica) continue;
    return clearly_busier(*cut.members[i], *cut.members[owner]) ? owner : i;
  }
  return owner;
}

Replica* Placement::other_replica(Time now, const PendingRequest& pending, ReplicaId last_replica) {
  cuts_.update(now);
  const IntervalCut& cut = state_.home_cut.any_warm ? state_.home_cut : state_.remote_cut;
  Replica* last_below = nullptr;
  for (Replica* replica : cut.members) {
    if (!is_retry_candidate(now, pending, *replica)) continue;
    if (replica->listing.id > last_replica) return replica;
    last_below = replica;
  }
  return last_below;
}

bool Placement::is_retry_candidate(Time now, const PendingRequest& pending, const Replica& replica) const {
  if (pending.attempts.was_sent_to(replica.listing.id) || now < replica.ejected_until) return false;
  return health_.warm_up_progress(now, replica) >= 1;
}

}  // namespace thornwick
