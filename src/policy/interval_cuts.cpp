#include "policy/interval_cuts.hpp"

#include "policy/peer_observations.hpp"

namespace thornwick {

constexpr Time kRefreshPeriod = milliseconds(250);  // age at which cuts are computed again
constexpr double kColdHeadroom = 1.0;        // load that a cold replica can take, as a multiple of its share
constexpr double kHeadroom = 1.5;            // load that a warm replica can take, as a multiple of its share
constexpr double kMaxEjectedFraction = 0.5;  // of a side's capacity; beyond it, ejections are ignored

void IntervalCuts::update(Time now) {
  if (!state_.cuts_are_stale && now < updated_at_ + kRefreshPeriod) return;
  state_.cuts_are_stale = false;
  health_.recover_speed_factors(now - updated_at_);
  updated_at_ = now;
  work_.update();
  state_.home_cut = cut_over(now, Side::home);
  state_.remote_cut = cut_over(now, Side::remote);
}

IntervalCut IntervalCuts::cut_over(Time now, Side side) {
  IntervalCut cut;
  const Totals totals = collect_members(now, side, cut);
  cut.any_warm = totals.warm_count > 0;
  double shares = 0;
  double available = 0;
  for (Replica* replica : cut.members) {
    const double share = share_of(now, side, *replica, totals);
    available += share * (health_.warm_up_progress(now, *replica) < 1 ? kColdHeadroom : headroom());
    replica->excluded_from_cut = share <= 0;
    if (replica->excluded_from_cut) continue;
    shares += share;
    cut.edges.push_back(shares);
  }
  std::erase_if(cut.members, [](const Replica* replica) { return replica->excluded_from_cut; });
  for (double& edge : cut.edges) edge /= shares;
  if (totals.all > 0) cut.available = std::min(1.0, available / totals.all);
  return cut;
}

IntervalCuts::Totals IntervalCuts::collect_members(Time now, Side side, IntervalCut& cut) {
  Totals totals;
  for (auto& [id, replica] : state_.replicas) {
    const bool on_side = (side == Side::home) == is_home(replica);
    if (replica.listing.state != EndpointState::ready || !on_side) continue;
    cut.members.push_back(&replica);
    const double capacity = health_.capacity_of(replica);
    totals.all += capacity;
    if (now < replica.ejected_until) {
      totals.ejected += capacity;
    } else if (health_.warm_up_progress(now, replica) >= 1) {
      totals.warm += capacity;
      totals.warm_count += 1;
    }
  }
  return totals;
}

double IntervalCuts::share_of(Time now, Side side, const Replica& replica, const Totals& totals) const {
  const bool use_ejections = totals.ejected <= kMaxEjectedFraction * totals.all;
  const double progress = health_.warm_up_progress(now, replica);
  double share = health_.capacity_of(replica) * (use_ejections ? health_.recovery_factor(now, replica) : 1);
  if (totals.warm_count > 0 && progress < 1)
    share = side == Side::home ? std::min(share, totals.warm / totals.warm_count) : 0;
  return share * (shares_observations(state_.settings) ? progress * (2 - progress) : progress);
}

bool IntervalCuts::is_home(const Replica& replica) const {
  return state_.settings.group_size > 1 || replica.listing.zone == state_.settings.zone;
}

double IntervalCuts::headroom() const { return std::min(kHeadroom, state_.settings.overload_multiple / 2); }

Time IntervalCuts::refresh_period() { return kRefreshPeriod; }

}  // namespace thornwick
