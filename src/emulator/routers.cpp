// The emulated surroundings of a router's core: connections, discovery, peers.
#include <algorithm>
#include <chrono>
#include <cmath>

#include "emulator/baseline_policies.hpp"
#include "emulator/day.hpp"
#include "gossip/gossip.hpp"
#include "random/hashing.hpp"

namespace thornwick::emulator {
namespace {

constexpr Time kDirectoryAnswers = milliseconds(2);  // microseconds that discovery takes for an answer

// Says what a policy's decisions cost: the time spent inside of it, on this machine.
class Timed final : public core::DeciderDecorator {
 public:
  Timed(std::unique_ptr<core::Decider> inner, double& ns) : DeciderDecorator(std::move(inner)), ns_(ns) {}

  void on_endpoints(Time now, EndpointUpdate scope, std::span<const Endpoint> entries) override {
    timed([&] { inner_->on_endpoints(now, scope, entries); });
  }
  void on_request(Time now, const Request& request) override {
    timed([&] { inner_->on_request(now, request); });
  }
  void on_first_token(Time now, RequestId id, std::uint8_t attempt, ReplicaId replica,
                      Time elapsed) override {
    timed([&] { inner_->on_first_token(now, id, attempt, replica, elapsed); });
  }
  void on_attempt_result(Time now, const AttemptResult& r) override {
    timed([&] { inner_->on_attempt_result(now, r); });
  }
  void on_client_gone(Time now, RequestId id) override {
    timed([&] { inner_->on_client_gone(now, id); });
  }
  void on_timer(Time now, std::uint32_t token) override {
    timed([&] { inner_->on_timer(now, token); });
  }
  void on_probe_result(Time now, ReplicaId replica, bool alive, std::span<const float> report) override {
    timed([&] { inner_->on_probe_result(now, replica, alive, report); });
  }
  void on_peer_message(Time now, std::uint32_t peer, std::span<const std::uint8_t> message) override {
    timed([&] { inner_->on_peer_message(now, peer, message); });
  }

 private:
  template <typename Call>
  void timed(Call call) {
    const auto start = std::chrono::steady_clock::now();
    call();
    ns_ += std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - start).count();
  }

  double& ns_;
};

// Edges of equal work between Bounded Pareto sizes (the paper, section 5), one interval for each replica.
std::vector<double> equal_work_cutoffs(const Demand& d, std::size_t intervals) {
  std::vector<double> edges;
  if (d.alpha <= 0) return edges;
  const double b = 1 - d.alpha;
  for (std::size_t i = 1; i < intervals; ++i) {
    const double part = static_cast<double>(i) / static_cast<double>(intervals);
    if (std::abs(b) < 1e-9) {
      edges.push_back(d.least_us * std::pow(d.most_us / d.least_us, part));
    } else {
      const double low = std::pow(d.least_us, b), high = std::pow(d.most_us, b);
      edges.push_back(std::pow(low + part * (high - low), 1 / b));
    }
  }
  return edges;
}

}  // namespace

// ---------------------------------------------------------------- network

Time Day::one_way(std::uint16_t from, std::uint16_t to) {
  const double base = one_way_us[from][to];
  return std::max<Time>(1, std::llround(base + network_chance.exponential(base * scenario.jitter)));
}

// ---------------------------------------------------------------- the router's interfaces

Time EmulatedRouter::now() const { return day_.now; }

void EmulatedRouter::wake_at(Time when) { day_.at(when, What::router_wakes, ++wakes, number); }

void EmulatedRouter::launch(core::AttemptId id, ReplicaId replica_id,
                            std::shared_ptr<const core::Payload> payload, Time, std::uint16_t) {
  const auto found = day_.replica_index.find(replica_id);
  const Name name = day_.attempts.make();
  Attempt& attempt = *day_.attempts.find(name);
  attempt.id = id;
  attempt.router = number;
  attempt.replica = found->second;
  attempt.turn = static_cast<const Turn*>(payload.get())->name;
  if (!attempts.insert({id.request_id, name}).second) ++day_.result.broken.twice;
  ++day_.result.attempts;
  Replica& replica = day_.replicas[attempt.replica];
  if (replica.zone != zone) ++day_.result.crossings;
  const Time told = told_off[attempt.replica];
  if (told > 0 && day_.now > told + static_cast<Time>(1000 * day_.scenario.drain_grace_ms))
    ++day_.result.broken.drained;
  const Time there = day_.one_way(zone, replica.zone);
  if (!replica.up && replica.silent)
    return day_.at(day_.now + static_cast<Time>(1000 * day_.scenario.dial_ms), What::attempt_fails, name);
  if (!replica.up) return day_.at(day_.now + 2 * there, What::attempt_fails, name);
  auto& idle = links[attempt.replica].idle;
  const Time rested = day_.now - static_cast<Time>(1e6 * day_.scenario.idle_s);
  // The latest is taken first; those that rested too long are closed.
  if (!idle.empty() && idle.back() < rested) replica.connections -= std::exchange(idle, {}).size();
  if (!idle.empty()) {
    idle.pop_back();
    return day_.at(day_.now + there, What::attempt_arrives, name);
  }
  if (replica.connections >= day_.scenario.most_connections)
    return day_.at(day_.now + 2 * there, What::attempt_fails, name);
  ++replica.connections;
  const Time shake = 2 * there + static_cast<Time>(1000 * day_.scenario.handshake_ms);
  day_.at(day_.now + shake + there, What::attempt_arrives, name);
}

// The connection closes; what the replica has begun it ends for nobody.
bool EmulatedRouter::abandon(core::AttemptId id) {
  const auto found = attempts.find(id.request_id);
  if (found == attempts.end()) return false;
  const Name name = found->second;
  attempts.erase(found);
  if (Attempt* attempt = day_.attempts.find(name)) day_.close(*this, *attempt, false);
  day_.forget_attempt(name);
  return true;
}

void EmulatedRouter::probe(ReplicaId replica_id) {
  const auto found = day_.replica_index.find(replica_id);
  if (found == day_.replica_index.end()) return;
  core->probed(replica_id, day_.replicas[found->second].up, {});
}

void EmulatedRouter::watch() {
  subscribed = false;
  day_.at(day_.now + 2 * day_.one_way(zone, 0) + kDirectoryAnswers, What::watch_answered, 0, number);
}

void EmulatedRouter::send(std::uint32_t rank, const std::string& message) {
  if (rank == Gossip::kAllPeers) {
    for (std::uint32_t other = 0; other < day_.routers.size(); ++other) {
      if (other != number) send(other, message);
    }
    return;
  }
  day_.result.told_bytes += message.size();
  if (rank >= day_.routers.size() || day_.peer_chance.happens(day_.scenario.peer_loss)) return;
  for (std::size_t i = 0; i < day_.faults.size(); ++i) {
    const bool cut = day_.faults[i].on && day_.scenario.faults[i].kind == DayFaultKind::partition;
    if (cut && (day_.faults[i].zone == zone) != (day_.faults[i].zone == day_.routers[rank]->zone)) return;
  }
  const Name name = day_.answer_characters.make();
  *day_.answer_characters.find(name) = {number, rank, message};
  day_.at(day_.now + std::llround(day_.peer_chance.exponential(day_.peer_us)), What::peer_heard, name);
}

void Day::forget_attempt(Name name) {
  if (const Attempt* attempt = attempts.find(name)) result.sum.tokens_for_nobody += attempt->finished;
  attempts.drop(name);
}

void Day::close(EmulatedRouter& router, const Attempt& attempt, bool reusable) {
  Replica& replica = replicas[attempt.replica];
  if (!replica.up) return;
  if (reusable) return router.links[attempt.replica].idle.push_back(now);
  replica.connections -= replica.connections > 0 ? 1 : 0;
}

// An attempt that its core still waits for ends; everything else about it is over.
void Day::end_attempt(Name name, Outcome outcome) {
  Attempt* attempt = attempts.find(name);
  if (attempt == nullptr) return;
  EmulatedRouter& router = *routers[attempt->router];
  const core::AttemptId id = attempt->id;
  close(router, *attempt, outcome == Outcome::served || outcome == Outcome::full);
  router.attempts.erase(id.request_id);
  forget_attempt(name);
  router.core->attempt_ended(id, outcome);
}

// ---------------------------------------------------------------- discovery

void Day::announce(std::uint32_t number, EndpointState state, Time after) {
  const Replica& replica = replicas[number];
  changes.push_back(
      {{.id = replica.id,
        .state = state,
        .started = replica.started,
        .zone = replica.zone,
        .cell = 0,
        .kind = replica.kind,
        .weight = static_cast<float>(
            (scenario.kinds[replica.kind].speed.low + scenario.kinds[replica.kind].speed.high) / 2)},
       number});
  at(now + after, What::listing_known, changes.size() - 1);
}

// The whole list as discovery has it, by id; from then on the router is told of changes.
void Day::tell_all_known(EmulatedRouter& router) {
  std::vector<Endpoint> all;
  for (const auto& [id, listing] : known) all.push_back(listing);
  std::sort(all.begin(), all.end(), [](const auto& a, const auto& b) { return a.id < b.id; });
  router.subscribed = true;
  router.core->on_endpoints(EndpointUpdate::full, all);
}

// ---------------------------------------------------------------- routers come and go

Settings Day::settings_for(std::uint32_t number) const {
  Settings s;
  s.seed = mix(seed ^ (number + 1));
  s.rank = number;
  s.group_size = static_cast<std::uint32_t>(routers.size());
  s.zone = routers[number]->zone;
  s.zone_count = static_cast<std::uint16_t>(scenario.zones.size());
  for (const auto& d : scenario.classes) {
    ClassSettings c;
    c.priority_weight = d.priority_weight;
    c.late_weight = d.late_weight;
    c.latency_objective = static_cast<Time>(1000 * d.aim_ms);
    c.latency_objective_per_1000_prompt_tokens = static_cast<Time>(1000 * d.aim_ms_per_k);
    c.deadline = static_cast<Time>(1000 * d.deadline_ms);
    s.classes.push_back(c);
  }
  for (const auto& m : scenario.members) s.tenants.push_back({.share = m.share, .quota_per_s = 0});
  s.over_share_weight = scenario.over_share_weight;
  s.discovery_by_polling = true;
  s.weights = WeightSource::nominal;
  s.may_cancel = true;
  s.may_message_peers = scenario.peers;
  s.retry_after = scenario.retry_after;
  s.max_retry_after = static_cast<Time>(1000 * scenario.most_retry_after_ms);
  s.max_attempts = static_cast<std::uint32_t>(scenario.attempts);
  s.drain_grace = static_cast<Time>(1000 * scenario.drain_grace_ms);
  s.overload_multiple = scenario.overload_multiple;
  s.overload_after = static_cast<Time>(1000 * scenario.tip_ms);
  for (const auto& kind : scenario.kinds) {
    s.warm_up = std::max(s.warm_up, static_cast<Time>(1e6 * kind.cold_s.high));
    s.initial_capacity = std::min(s.initial_capacity, kind.initial_capacity.low);
  }
  return s;
}

void Day::start_router(std::uint32_t number) {
  EmulatedRouter& router = *routers[number];
  const Settings settings = settings_for(number);
  if (scenario.affinity && scenario.policy == "module") {
    affinity::Options table;
    table.table.entries = scenario.affinity_entries;
    table.table.bytes = std::size_t{1} << 36;
    table.table.seed = settings.seed;
    router.affinity_table = std::make_unique<affinity::AffinityTable>(table);
  }
  core::Dependencies around{router, router, router, router, {}, router.affinity_table.get()};
  std::unique_ptr<core::Decider> decider;
  if (scenario.policy == "module") {
    decider = core::make_routing_policy(settings, now);
  } else {
    BaselineSettings rival;
    rival.seed = settings.seed;
    rival.attempts = settings.max_attempts;
    rival.cutoffs = equal_work_cutoffs(scenario.classes.front(), scenario.replicas);
    decider = make_rival(scenario.policy, rival);
  }
  router.core.reset();
  if (scenario.fair) {
    budgets::FairOptions shares;
    for (const auto& m : scenario.members) shares.weights.push_back(std::max(1e-6, m.share));
    router.fair = std::make_unique<budgets::FairShare>(shares);
    router.quota_service = std::make_unique<budgets::QuotaService>(budgets::Options{});
    decider = std::make_unique<budgets::AdmissionController>(std::move(decider), *router.quota_service,
                                                             router.fair.get());
  }
  if (options.time_module) decider = std::make_unique<Timed>(std::move(decider), module_ns);
  router.core = std::make_unique<core::RequestManager>(settings, around, std::move(decider));
  router.up = true;
  router.told_off.assign(replicas.size(), 0);
  tell_all_known(router);
}

// Its machine is lost: who waits for an answer sees the connection break, and whoever it heard of is
// forgotten.
void Day::stop_router(std::uint32_t number) {
  EmulatedRouter& router = *routers[number];
  if (!router.up) return;
  router.up = router.subscribed = false;
  ++router.wakes;
  add_up(router);
  result.sum.gone += std::exchange(result.sum.open, 0);
  std::vector<Name> out;
  for (const auto& [request_id, name] : router.attempts) out.push_back(name);
  std::sort(out.begin(), out.end());  // a hash table's order is another one in each process
  for (const Name name : out) {
    if (const Attempt* attempt = attempts.find(name)) close(router, *attempt, false);
    forget_attempt(name);
  }
  router.attempts.clear();
  std::vector<Name> cut;
  turns.each([&](Name name, const Turn& turn) {
    if (turn.router == number && turn.request_id != 0) cut.push_back(name);
  });
  router.core.reset();
  router.affinity_table.reset();
  for (const Name name : cut) {
    if (Turn* turn = turns.find(name)) turned_away(*turn, 0, turn->first_at > 0);
  }
}

void Day::add_up(const EmulatedRouter& router) {
  if (router.affinity_table) {
    const affinity::Metrics& f = router.affinity_table->metrics();
    result.fleet_losses += f.fleet_losses, result.replica_losses += f.replica_losses,
        result.regained += f.regained;
  }
  const core::Counters& c = router.core->counters();
  result.sum.taken += c.admitted, result.sum.served += c.served, result.sum.rejected += c.rejected;
  result.sum.failed += c.failed, result.sum.timed_out += c.timed_out, result.sum.broken += c.broken;
  result.sum.gone += c.client_gone;
  result.sum.open += router.core->open();
}

}  // namespace thornwick::emulator
