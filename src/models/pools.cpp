// The part of Pools that manages the pools, their replicas and the placement of adapters.
#include "models/pools.hpp"

#include <algorithm>
#include <utility>

#include "random/hashing.hpp"

namespace thornwick::models {
namespace {

constexpr Time kPlacementInterval = seconds(1);
constexpr std::uint64_t kSeedStep = 0x9e3779b97f4a7c15;

}  // namespace

Pools::Pools(Options options, Time now)
    : options_(std::move(options)), fallback_budget_(options_.catalogue.limits), now_(now) {
  make_missing_pools(now);
  set_adapters();
}

// Creates a pool for each new model. Pools are never removed, because requests may be open in them.
void Pools::make_missing_pools(Time now) {
  const Catalogue& catalogue = options_.catalogue;
  for (std::size_t i = 0; i < catalogue.models.size(); ++i) {
    const auto number = static_cast<ModelId>(i + 1);
    if (pools_.contains(number)) continue;
    Settings settings = options_.settings;
    settings.seed = mix(settings.seed ^ (number * kSeedStep));
    // A replica that has to load an adapter is cold until then, however long it has been running.
    settings.warm_up = std::max(settings.warm_up, catalogue.models[i].load_time);
    auto pool = std::make_unique<Pool>(number, options_.make_decider(settings, now, number),
                                       SlowStartController(catalogue.limits, settings.warm_up));
    queue_pool(*pool);
    pools_[number] = std::move(pool);
  }
}

void Pools::set_adapters() {
  const Catalogue& catalogue = options_.catalogue;
  std::map<ModelId, std::vector<Placement::Adapter>> adapters_by_base;
  for (std::size_t i = 0; i < catalogue.models.size(); ++i) {
    const Model& model = catalogue.models[i];
    if (model.base_model.empty() || model.removed) continue;
    adapters_by_base[catalogue.find(model.base_model)].push_back(
        {static_cast<ModelId>(i + 1), model.name, model.min_replicas, model.max_replicas});
  }
  const PlacementOptions options{.adapters_per_replica = catalogue.limits.max_adapters_per_replica};
  for (const auto& [base, adapters] : adapters_by_base) {
    placements_.try_emplace(base, options).first->second.set_adapters(adapters);
  }
}

void Pools::replace_catalogue(Time now, const Catalogue& catalogue) {
  now_ = now;
  options_.catalogue = catalogue;
  fallback_budget_ = FallbackBudget(catalogue.limits);
  make_missing_pools(now);
  set_adapters();
  placements_updated_at_ = 0;
  update_placements(now);
  for (auto& [number, pool] : pools_) update_members(now, *pool, EndpointUpdate::delta);
}

void Pools::queue_pool(Pool& pool) {
  if (pool.has_pending_actions()) return;
  pool.set_pending_actions(true);
  pools_with_actions_.push_back(&pool);
}

// The base model of an adapter, or the model itself if it is no adapter; 0 if the base model was removed.
ModelId Pools::base_of(ModelId model) const {
  const std::string& base = options_.catalogue.at(model).base_model;
  return base.empty() ? model : options_.catalogue.find(base);
}

std::vector<Endpoint> Pools::members_of(ModelId model_id) const {
  const Model& model = options_.catalogue.at(model_id);
  const ModelId base = model.removed ? ModelId{0} : base_of(model_id);
  if (base == 0) return {};
  std::vector<Endpoint> members;
  const ReplicaSelector& selector = options_.catalogue.at(base).replica_selector;
  for (const auto& [id, listing] : replicas_) {
    if (serves(selector, options_.identity_of(id))) members.push_back(listing);
  }
  if (model.base_model.empty()) return members;
  const auto& loaded_replicas = placements_.at(base).replicas_of(model_id);
  std::erase_if(members, [&](Endpoint& listing) {
    const auto loaded = std::find_if(loaded_replicas.begin(), loaded_replicas.end(),
                                     [&](const auto& entry) { return entry.replica == listing.id; });
    if (loaded == loaded_replicas.end()) return true;
    if (model.load_time > 0) listing.started_at = std::max(listing.started_at, loaded->loaded_at);
    return false;
  });
  return members;
}

// Passes the scope of the list on unchanged: a decider that takes a cached list for a full one assumes that
// discovery is being watched and never asks for the list.
void Pools::update_members(Time now, Pool& pool, EndpointUpdate scope) {
  const PoolChange change = pool.replace_members(members_of(pool.model()), scope);
  for (const ReplicaId id : change.removed) {
    auto& pools = pools_by_replica_[id];
    std::erase(pools, &pool);
    if (pools.empty()) pools_by_replica_.erase(id);
  }
  for (const ReplicaId id : change.joined) pools_by_replica_[id].push_back(&pool);
  if (scope == EndpointUpdate::delta && change.updates.empty()) return;
  pool.decider().on_endpoints(now, scope, change.updates);
  queue_pool(pool);
}

void Pools::on_endpoints(Time now, EndpointUpdate scope, std::span<const Endpoint> entries) {
  now_ = now;
  if (scope == EndpointUpdate::failed) {
    for (auto& [number, pool] : pools_) {
      pool->decider().on_endpoints(now, scope, {});
      queue_pool(*pool);
    }
    return;
  }
  if (scope != EndpointUpdate::delta) replicas_.clear();
  for (const auto& entry : entries) {
    if (entry.state == EndpointState::removed) {
      replicas_.erase(entry.id);
    } else {
      replicas_[entry.id] = entry;
    }
  }
  for (auto& [base, placement] : placements_) {
    const ReplicaSelector& selector = options_.catalogue.at(base).replica_selector;
    std::vector<ReplicaId> ready;
    for (const auto& [id, listing] : replicas_) {
      const bool is_ready = listing.state == EndpointState::ready;
      if (is_ready && serves(selector, options_.identity_of(id))) ready.push_back(id);
    }
    placement.set_replicas(now, ready);
    if (placement.update(now)) ++metrics_.placement_changes;
  }
  for (auto& [number, pool] : pools_) update_members(now, *pool, scope);
}

void Pools::update_placements(Time now) {
  if (now < placements_updated_at_ + kPlacementInterval && placements_updated_at_ != 0) return;
  placements_updated_at_ = now;
  for (auto& [base, placement] : placements_) {
    if (!placement.update(now)) continue;
    ++metrics_.placement_changes;
    for (auto& [number, pool] : pools_) {
      const bool is_adapter = !options_.catalogue.at(number).base_model.empty();
      if (is_adapter && base_of(number) == base) update_members(now, *pool, EndpointUpdate::delta);
    }
  }
}

// Notifies all other pools that contain the replica of what one pool's decider does with it, so that each
// knows the replica's load and whether it answers.
void Pools::notify_pools_of(ReplicaId replica, const Pool* except,
                            const std::function<void(core::Decider&)>& notify) {
  const auto found = pools_by_replica_.find(replica);
  if (found == pools_by_replica_.end()) return;
  for (Pool* pool : found->second) {
    if (pool == except) continue;
    notify(pool->decider());
    queue_pool(*pool);
  }
}

void Pools::on_probe_result(Time now, ReplicaId replica, bool alive, std::span<const float> report) {
  now_ = now;
  notify_pools_of(replica, nullptr,
                  [&](core::Decider& decider) { decider.on_probe_result(now, replica, alive, report); });
}

void Pools::on_peer_message(Time now, std::uint32_t peer, std::span<const std::uint8_t> message) {
  now_ = now;
  for (auto& [number, pool] : pools_) {
    pool->decider().on_peer_message(now, peer, message);
    queue_pool(*pool);
  }
}

}  // namespace thornwick::models
