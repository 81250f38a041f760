// Routers of an emulated day: how they start and are lost, and what discovery and other routers send them.
#include <algorithm>
#include <cmath>
#include <utility>

#include "emulator/baseline_policies.hpp"
#include "emulator/day_simulation.hpp"
#include "emulator/timed_decider.hpp"
#include "gossip/gossip.hpp"
#include "random/hashing.hpp"

namespace thornwick::emulator {
namespace {

constexpr Time kDiscoveryDelay = milliseconds(2);  // time that discovery needs for an answer
constexpr std::uint16_t kDiscoveryZone = 0;
constexpr std::size_t kAffinityBytes = std::size_t{1} << 36;  // in practice no limit
constexpr double kMinShare = 1e-6;

Time from_milliseconds(double milliseconds) { return static_cast<Time>(1000 * milliseconds); }

// Returns the edges between size intervals of equal work for Bounded Pareto sizes (Harchol-Balter, Crovella
// and Murta 1999, section 5). Empty for classes with other sizes.
std::vector<double> equal_work_cutoffs(const RequestClass& request_class, std::size_t intervals) {
  std::vector<double> edges;
  if (request_class.alpha <= 0) return edges;
  const double exponent = 1 - request_class.alpha;
  for (std::size_t i = 1; i < intervals; ++i) {
    const double fraction = static_cast<double>(i) / static_cast<double>(intervals);
    if (std::abs(exponent) < 1e-9) {
      edges.push_back(request_class.min_us * std::pow(request_class.max_us / request_class.min_us, fraction));
    } else {
      const double low = std::pow(request_class.min_us, exponent);
      const double high = std::pow(request_class.max_us, exponent);
      edges.push_back(std::pow(low + fraction * (high - low), 1 / exponent));
    }
  }
  return edges;
}

ClassSettings class_settings(const RequestClass& request_class) {
  ClassSettings settings;
  settings.priority_weight = request_class.priority_weight;
  settings.late_weight_fraction = request_class.late_weight;
  settings.latency_objective = from_milliseconds(request_class.latency_objective_ms);
  settings.latency_objective_per_1000_prompt_tokens =
      from_milliseconds(request_class.latency_objective_ms_per_k);
  settings.deadline = from_milliseconds(request_class.deadline_ms);
  settings.effect = request_class.effect;
  settings.dedup_scope = request_class.dedup_scope;
  settings.dedup_window = from_milliseconds(request_class.dedup_window_ms);
  return settings;
}

}  // namespace

Settings DaySimulation::settings_for(const EmulatedRouter& router) const {
  Settings settings;
  settings.seed = mix(seed_ ^ (router.index + 1));
  settings.rank = router.index;
  settings.group_size = static_cast<std::uint32_t>(routers_.size());
  settings.zone = router.zone;
  settings.zone_count = static_cast<std::uint16_t>(scenario_.zones.size());
  for (const auto& each : scenario_.classes) settings.classes.push_back(class_settings(each));
  for (const auto& member : scenario_.members)
    settings.tenants.push_back({.share = member.share, .quota_per_s = 0});
  settings.over_share_weight = scenario_.over_share_weight;
  settings.discovery_by_polling = true;
  settings.weight_source = WeightSource::nominal;
  settings.may_cancel = true;
  settings.may_message_peers = scenario_.peers;
  settings.retry_after = scenario_.retry_after;
  settings.max_retry_after = from_milliseconds(scenario_.max_retry_after_ms);
  settings.max_attempts = static_cast<std::uint32_t>(scenario_.attempts);
  settings.drain_grace = from_milliseconds(scenario_.drain_grace_ms);
  settings.overload_multiple = scenario_.overload_multiple;
  settings.overload_after = from_milliseconds(scenario_.overload_ms);
  for (const auto& kind : scenario_.kinds) {
    settings.warm_up = std::max(settings.warm_up, static_cast<Time>(1e6 * kind.warm_up_s.high));
    settings.initial_capacity = std::min(settings.initial_capacity, kind.initial_capacity.low);
  }
  return settings;
}

std::unique_ptr<core::Decider> DaySimulation::make_decider(EmulatedRouter& router, const Settings& settings) {
  std::unique_ptr<core::Decider> decider;
  if (scenario_.policy == "module") {
    decider = core::make_routing_policy(settings, now_);
  } else {
    BaselineSettings baseline;
    baseline.seed = settings.seed;
    baseline.attempts = settings.max_attempts;
    baseline.cutoffs = equal_work_cutoffs(scenario_.classes.front(), scenario_.replicas);
    decider = make_baseline_policy(scenario_.policy, baseline);
  }
  if (scenario_.fair_admission) {
    budgets::FairShareOptions shares;
    for (const auto& member : scenario_.members) shares.weights.push_back(std::max(kMinShare, member.share));
    router.fair_share = std::make_unique<budgets::FairShare>(shares);
    router.quota_service = std::make_unique<budgets::QuotaService>(budgets::Options{});
    decider = std::make_unique<budgets::AdmissionController>(std::move(decider), *router.quota_service,
                                                             router.fair_share.get());
  }
  if (options_.time_module) decider = std::make_unique<TimedDecider>(std::move(decider), module_ns_);
  return decider;
}

void DaySimulation::start_router(EmulatedRouter& router) {
  const Settings settings = settings_for(router);
  router.core.reset();  // the core refers to the objects that are replaced below
  if (scenario_.affinity && scenario_.policy == "module") {
    affinity::Options affinity;
    affinity.table.entries = scenario_.affinity_entries;
    affinity.table.bytes = kAffinityBytes;
    affinity.table.seed = settings.seed;
    router.affinity_table = std::make_unique<affinity::AffinityTable>(affinity);
  }
  const core::Dependencies dependencies{router, router, router, router, {}, router.affinity_table.get()};
  router.core =
      std::make_unique<core::RequestManager>(settings, dependencies, make_decider(router, settings));
  router.up = true;
  router.unavailable_since.assign(replicas_.size(), 0);
  deliver_endpoint_list(router);
}

// Makes a router's machine fail. The connections of waiting clients break, and all that the router has
// learned is lost.
void DaySimulation::lose_router(EmulatedRouter& router) {
  if (!router.up) return;
  router.up = false;
  router.subscribed = false;
  ++router.timer_version;
  add_counts(router);
  result_.totals.client_disconnected += std::exchange(result_.totals.open, 0);
  std::vector<Handle> in_flight;
  for (const auto& [request_id, handle] : router.attempts) in_flight.push_back(handle);
  std::sort(in_flight.begin(), in_flight.end());  // the order of a hash table differs between processes
  for (const Handle handle : in_flight) {
    if (const Attempt* attempt = attempts_.find(handle)) close_connection(*attempt);
    forget_attempt(handle);
  }
  router.attempts.clear();
  std::vector<Handle> interrupted;
  requests_.for_each([&](Handle handle, const ClientRequest& request) {
    if (request.router == router.index && request.request_id != 0) interrupted.push_back(handle);
  });
  router.core.reset();
  router.affinity_table.reset();
  for (const Handle handle : interrupted) {
    ClientRequest* request = requests_.find(handle);
    if (request == nullptr) continue;
    if (request->first_at > 0) {
      on_interrupted(*request);
    } else {
      on_failed(*request, 0);
    }
  }
}

void DaySimulation::add_counts(const EmulatedRouter& router) {
  if (router.affinity_table) {
    const affinity::Metrics& metrics = router.affinity_table->metrics();
    result_.fleet_losses += metrics.fleet_losses;
    result_.replica_losses += metrics.replica_losses;
    result_.regained += metrics.recoveries;
  }
  const core::Counters& counters = router.core->counters();
  result_.totals.admitted += counters.admitted;
  result_.totals.served += counters.served;
  result_.totals.rejected += counters.rejected;
  result_.totals.failed += counters.failed;
  result_.totals.timed_out += counters.timed_out;
  result_.totals.interrupted += counters.interrupted;
  result_.totals.client_disconnected += counters.client_disconnected;
  result_.totals.open += router.core->open_requests();
}

void DaySimulation::set_router_timer(EmulatedRouter& router, Time when) {
  schedule(when, EventType::router_timer, ++router.timer_version, router.index);
}

void DaySimulation::on_router_timer(std::uint32_t index, std::uint64_t version) {
  EmulatedRouter& router = *routers_[index];
  if (version == router.timer_version && router.up) router.core->wake();
}

void DaySimulation::probe(const EmulatedRouter& router, ReplicaId replica_id) {
  const auto found = replica_index_.find(replica_id);
  if (found != replica_index_.end()) router.core->probe_ended(replica_id, replicas_[found->second].up, {});
}

Endpoint DaySimulation::endpoint_of(const Replica& replica, EndpointState state) const {
  const Range& speed = scenario_.kinds[replica.kind].speed;
  return {.id = replica.id,
          .state = state,
          .started_at = replica.started_at,
          .zone = replica.zone,
          .cell = 0,
          .kind = replica.kind,
          .weight = static_cast<float>((speed.low + speed.high) / 2)};
}

// Records a change that happens now, and that discovery registers `after_s` seconds later.
void DaySimulation::announce(std::uint32_t replica, EndpointState state, double after_s) {
  const std::uint64_t change = discovery_.record({endpoint_of(replicas_[replica], state), replica});
  schedule(now_ + static_cast<Time>(1e6 * after_s), EventType::endpoint_change_registered, change);
}

void DaySimulation::on_change_registered(std::uint64_t change) {
  discovery_.apply(change);
  for (const auto& router : routers_) {
    if (!router->up || !router->subscribed) continue;
    schedule(now_ + network_.one_way(kDiscoveryZone, router->zone), EventType::watch_event_delivered, change,
             router->index);
  }
}

void DaySimulation::deliver_watch_event(std::uint64_t change, EmulatedRouter& router) {
  if (!router.up) return;
  const EndpointChange& delivered = discovery_.change(change);
  const bool ready = delivered.endpoint.state == EndpointState::ready;
  router.unavailable_since[delivered.replica] = ready ? 0 : now_;
  router.core->on_endpoints(EndpointUpdate::delta, {&delivered.endpoint, 1});
}

void DaySimulation::request_endpoint_list(EmulatedRouter& router) {
  router.subscribed = false;
  const Time round_trip = 2 * network_.one_way(router.zone, kDiscoveryZone);
  schedule(now_ + round_trip + kDiscoveryDelay, EventType::endpoint_list_delivered, 0, router.index);
}

// Delivers the full list of endpoints. The router receives watch events from then on.
void DaySimulation::deliver_endpoint_list(EmulatedRouter& router) {
  router.subscribed = true;
  router.core->on_endpoints(EndpointUpdate::full, discovery_.endpoints());
}

void DaySimulation::send_peer_message(const EmulatedRouter& sender, std::uint32_t rank,
                                      const std::string& message) {
  if (rank == Gossip::kAllPeers) {
    for (const auto& router : routers_) {
      if (router->index != sender.index) send_peer_message(sender, router->index, message);
    }
    return;
  }
  result_.peer_bytes += message.size();
  if (rank >= routers_.size() || peer_random_.happens(scenario_.peer_loss)) return;
  if (partitioned(sender, *routers_[rank])) return;
  const Handle handle = datagrams_.create();
  *datagrams_.find(handle) = {sender.index, rank, message};
  schedule(now_ + std::llround(peer_random_.exponential(peer_delay_us_)), EventType::peer_message_delivered,
           handle);
}

// Returns whether a fault separates the zones of two routers.
bool DaySimulation::partitioned(const EmulatedRouter& sender, const EmulatedRouter& receiver) const {
  for (std::size_t i = 0; i < faults_.size(); ++i) {
    if (!faults_[i].active || scenario_.faults[i].kind != DayFaultKind::partition) continue;
    const std::uint16_t zone = faults_[i].zone;
    if ((zone == sender.zone) != (zone == receiver.zone)) return true;
  }
  return false;
}

void DaySimulation::on_peer_message(Handle handle) {
  const Datagram datagram = *datagrams_.find(handle);
  datagrams_.erase(handle);
  const EmulatedRouter& receiver = *routers_[datagram.to];
  if (!receiver.up) return;
  const auto* bytes = reinterpret_cast<const std::uint8_t*>(datagram.text.data());
  receiver.core->on_peer_message(datagram.from, {bytes, datagram.text.size()});
}

}  // namespace thornwick::emulator
