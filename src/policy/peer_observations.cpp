#include "policy/peer_observations.hpp"

#include "policy/overload.hpp"
#include "policy/replica_health.hpp"

namespace thornwick {

constexpr std::uint32_t kLargeGroup = 16;  // a group of more routers is large
constexpr double kMaxReporters = 40;       // a larger group sends as many reports as so many routers would

bool is_large_group(const Settings& settings) { return settings.group_size > kLargeGroup; }

bool shares_observations(const Settings& settings) {
  return settings.may_message_peers && is_large_group(settings);
}

double report_weight(const Settings& settings) { return std::max(1.0, settings.group_size / kMaxReporters); }

void PeerObservations::report(Time now, const Replica& replica, Observation observation) {
  if (!shares_observations(state_.settings)) return;
  if (state_.random.draw() * report_weight(state_.settings) >= 1) return;
  const bool first = gossip_.add({replica.listing.id, observation});
  if (first) state_.actions.set_timer(now + Gossip::kGatherTime, kGossipTimer);
}

void PeerObservations::on_message(Time now, std::uint32_t peer, std::span<const std::uint8_t> message) {
  if (!shares_observations(state_.settings) || peer == state_.settings.rank) return;
  for (const GossipItem& item : gossip_.read(now, peer, message)) apply(now, item);
}

void PeerObservations::apply(Time now, const GossipItem& item) {
  Replica* replica = state_.find_replica(item.replica);
  if (replica == nullptr) return;
  if (item.observation == Observation::failed) health_.on_reported_failure(now, *replica, FailureCost::quick);
  if (item.observation == Observation::unreachable)
    health_.on_reported_failure(now, *replica, FailureCost::slow);
  if (item.observation == Observation::late) overload_.on_reported_late_answer();
  if (item.observation == Observation::late || item.observation == Observation::slow)
    health_.lower_speed_factor(*replica);
}

void PeerObservations::on_timer(std::uint32_t token) {
  if (token == kGossipTimer) state_.actions.message_peers(gossip_.take_message());
}

}  // namespace thornwick
