#include "policy/placement.hpp"

#include <cmath>
#include <limits>

namespace thornwick {

constexpr std::size_t kReplicasPerBand = 8;  // replicas whose intervals form one band for sessions
constexpr double kBusierRatio = 1.5;  // an owner is clearly busier if it has this multiple of the other's ...
constexpr double kBusierMargin = 2;   // ... requests in flight and this many more
constexpr double kLightWork = 1.5;    // the most work that a cold replica gets, in multiples of the mean work
constexpr double kLightGrowth = 4;    // multiples of kLightWork that are added to it in the warm-up
constexpr double kMinBand = 1e-9;     // width of a band in which no work was seen

PlacementChoice Placement::choose(Time now, const PendingRequest& pending) {
  using Kind = PlacementChoice::Kind;
  cuts_.update(now);
  const IntervalCut* cut = choose_cut(pending);
  const bool nobody = state_.remote_cut.members.empty() && state_.home_cut.members.empty();
  if (cut == nullptr) return {nobody ? Kind::wait_for_endpoints : Kind::reject};
  const std::size_t owner = owner_in(*cut, pending);
  Replica* target = cut->members[owner];
  Replica* next = cut->members[cut->adjacent(owner)];
  const bool next_is_warm = next != target && health_.warmth(now, *next) >= 1;
  if (next_is_warm && clearly_busier(*target, *next)) target = next;
  if (spares_cold(now, pending, *target)) target = neighbour(now, pending, target->listing.id);
  return {target == nullptr ? Kind::reject : Kind::send, target};
}

const IntervalCut* Placement::choose_cut(const PendingRequest& pending) {
  const IntervalCut& home = state_.home_cut;
  const IntervalCut& remote = state_.remote_cut;
  // If all at home are cold, requests are rejected at random, so that it is not always the same sessions.
  const bool by_session = pending.request.session != 0 && home.any_warm;
  const double position = by_session ? unit_interval(mix(pending.request.session)) : state_.random.draw();
  if (!home.members.empty() && position < std::min(home.fill, 1 - state_.zone_overflow)) return &home;
  if (!remote.members.empty() && (remote.any_warm || position < remote.fill)) return &remote;
  const bool only_home = !home.members.empty() && remote.members.empty() && position < home.fill;
  return home.any_warm || only_home ? &home : nullptr;
}

bool Placement::spares_cold(Time now, const PendingRequest& pending, const Replica& replica) const {
  const double warmth = health_.warmth(now, replica);
  const double mean = work_.mean_work();
  const double light = kLightWork * (1 + kLightGrowth * warmth) * mean;
  return warmth < 1 && (pending.request.client_repeat || (mean > 0 && pending.work > light));
}

bool Placement::clearly_busier(const Replica& owner, const Replica& other) const {
  const double fair = health_.capacity_of(owner) / health_.capacity_of(other);
  return owner.in_flight > fair * kBusierRatio * other.in_flight + kBusierMargin;
}

std::size_t Placement::owner_in(const IntervalCut& cut, const PendingRequest& pending) {
  const bool by_size = work_.tells_sizes_apart(cut.members.size());
  const double size = size_of(pending.request);
  const std::uint64_t key = affinity_key(pending.request, cut);
  if (key == 0) return cut.member_at(by_size ? work_.work_below(size) : state_.random.draw());
  const Band band = by_size ? band_of(size, cut) : Band{};
  return holder_in_band(cut, band, owner_in_band(cut, band, key), pending.request.cache_hint);
}

std::uint64_t Placement::affinity_key(const Request& request, const IntervalCut& cut) const {
  const bool mostly_own = request.prefix_tokens * 2 < request.prompt_tokens;
  if (request.prefix == 0 || mostly_own) return request.session != 0 ? request.session : request.prefix;
  const std::size_t parts = work_.parts_of_prefix(request.prefix, cut.members.size());
  return mix(request.prefix) + mix(request.session) % parts;
}

Placement::Band Placement::band_of(double size, const IntervalCut& cut) const {
  const std::size_t bands = std::max<std::size_t>(2, cut.members.size() / kReplicasPerBand);
  double low = 0;
  for (std::size_t i = 1; i < bands; ++i) {
    const double edge = work_.size_at(static_cast<double>(i) / static_cast<double>(bands));
    const double high = work_.work_below(edge);
    if (size < edge) return {low, std::max(high, low + kMinBand)};
    low = high;
  }
  return {std::min(low, 1 - kMinBand), 1};
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

std::size_t Placement::holder_in_band(const IntervalCut& cut, const Band& band, std::size_t owner,
                                      const CacheHint& hint) const {
  if (!hint.has_replica) return owner;
  for (std::size_t i = cut.member_at(band.low); i < cut.members.size(); ++i) {
    if (cut.lower_edge(i) >= band.high) break;
    if (cut.members[i]->listing.id != hint.replica) continue;
    return clearly_busier(*cut.members[i], *cut.members[owner]) ? owner : i;
  }
  return owner;
}

Replica* Placement::neighbour(Time now, const PendingRequest& pending, ReplicaId last) {
  cuts_.update(now);
  const IntervalCut& cut = state_.home_cut.any_warm ? state_.home_cut : state_.remote_cut;
  Replica* below = nullptr;
  for (Replica* replica : cut.members) {
    if (!may_try(now, pending, *replica)) continue;
    if (replica->listing.id > last) return replica;
    below = replica;
  }
  return below;
}

bool Placement::may_try(Time now, const PendingRequest& pending, const Replica& replica) const {
  if (pending.was_sent_to(replica.listing.id) || now < replica.ejected_until) return false;
  return health_.warmth(now, replica) >= 1;
}

}  // namespace thornwick
