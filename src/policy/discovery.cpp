#include "policy/discovery.hpp"

#include "policy/peer_observations.hpp"

namespace thornwick {

constexpr int kMaxPauseDoublings = 4;      // of the pause between calls, for consecutive failures
constexpr double kPausePerRouter = 0.125;  // pauses that each router adds which calls the same server
constexpr double kMaxPauseRatio = 2.4;     // the longest pause, in multiples of Settings::max_poll_interval
constexpr double kFirstCallSpread = 4;     // pauses over which a large group spreads its first calls

Discovery::Discovery(PolicyState& state, Time now) : state_(state) {
  if (!state_.settings.discovery_by_polling) return;
  const double draw = state_.random.draw();
  const double delay = is_large_group(state_.settings) ? kFirstCallSpread * draw : 0.5 + draw;
  state_.actions.set_timer(now + static_cast<Time>(delay * static_cast<double>(poll_pause())),
                           kDiscoveryTimer);
}

void Discovery::on_endpoints(Time now, EndpointUpdate scope, std::span<const Endpoint> entries) {
  state_.cuts_are_stale = true;
  if (scope == EndpointUpdate::failed) return retry(now);
  if (scope != EndpointUpdate::cached) {
    subscribed_ = true;
    failed_calls_ = 0;
  }
  if (scope != EndpointUpdate::delta) state_.mark_all_removed();  // a full list omits removed replicas
  for (const Endpoint& entry : entries) apply(entry);
  state_.erase_removed_replicas();
}

void Discovery::apply(const Endpoint& entry) {
  Replica& replica = state_.replicas[entry.id];
  const bool restarted = entry.started_at > replica.listing.started_at;
  replica.listing = entry;
  if (restarted) replica.clear_learned();
}

void Discovery::retry(Time now) {
  subscribed_ = false;
  failed_calls_ = std::min(failed_calls_ + 1, kMaxPauseDoublings);
  state_.actions.set_timer(now + state_.random.jittered(poll_pause()), kDiscoveryTimer);
}

Time Discovery::poll_pause() const {
  const Time interval = state_.settings.max_poll_interval;
  const double group_factor = std::max(1.0, state_.settings.group_size * kPausePerRouter);
  const auto pause = static_cast<double>((interval >> (kMaxPauseDoublings + 2)) << failed_calls_);
  return static_cast<Time>(std::min(pause * group_factor, kMaxPauseRatio * static_cast<double>(interval)));
}

void Discovery::on_timer(std::uint32_t token) {
  if (token == kDiscoveryTimer && !subscribed_) state_.actions.push({.kind = ActionKind::watch_endpoints});
}

}  // namespace thornwick
