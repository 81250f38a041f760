#include "policy/discovery.hpp"

#include "policy/peer_observations.hpp"

namespace thornwick {

constexpr int kMaxBackoffs = 4;            // doublings of the pause between calls after failures in a row
constexpr double kPausePerRouter = 0.125;  // pauses that each router which calls the same directory adds
constexpr double kLongestPause = 2.4;      // the longest pause, in multiples of Settings::max_poll_interval
constexpr double kLargeGroupSpread = 4;    // pauses over which a large group spreads its first calls

Discovery::Discovery(PolicyState& state, Time now) : state_(state) {
  if (!state_.settings.discovery_by_polling) return;
  const double draw = state_.random.draw();
  const double first = is_large_group(state_.settings) ? kLargeGroupSpread * draw : 0.5 + draw;
  state_.actions.set_timer(now + static_cast<Time>(first * static_cast<double>(poll_pause())),
                           kDiscoveryTimer);
}

void Discovery::on_endpoints(Time now, EndpointUpdate scope, std::span<const Endpoint> entries) {
  state_.cuts_are_stale = true;
  if (scope == EndpointUpdate::failed) return retry(now);
  if (scope != EndpointUpdate::cached) {
    subscribed_ = true;
    failed_calls_ = 0;
  }
  if (scope != EndpointUpdate::delta) state_.mark_all_gone();  // a full list drops what it omits
  for (const Endpoint& entry : entries) apply(entry);
  state_.forget_gone_replicas();
}

void Discovery::apply(const Endpoint& entry) {
  Replica& replica = state_.replicas[entry.id];
  const bool restarted = entry.started_at > replica.listing.started_at;
  replica.listing = entry;
  if (restarted) replica.reset_record();
}

void Discovery::retry(Time now) {
  subscribed_ = false;
  failed_calls_ = std::min(failed_calls_ + 1, kMaxBackoffs);
  state_.actions.set_timer(now + state_.random.jittered(poll_pause()), kDiscoveryTimer);
}

Time Discovery::poll_pause() const {
  const Time longest = state_.settings.max_poll_interval;
  const double crowd = std::max(1.0, state_.settings.group_size * kPausePerRouter);
  const auto alone = static_cast<double>((longest >> (kMaxBackoffs + 2)) << failed_calls_);
  return static_cast<Time>(std::min(alone * crowd, kLongestPause * static_cast<double>(longest)));
}

void Discovery::on_timer(std::uint32_t token) {
  if (token == kDiscoveryTimer && !subscribed_) state_.actions.push({.kind = ActionKind::watch_endpoints});
}

}  // namespace thornwick
