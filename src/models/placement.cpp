#include "models/placement.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "random/hashing.hpp"

namespace thornwick::models {
namespace {

std::uint64_t name_hash(const std::string& name) {
  std::uint64_t value = 0;
  for (const char character : name) value = mix(value ^ static_cast<unsigned char>(character));
  return value;
}

}  // namespace

void Placement::set_adapters(const std::vector<Adapter>& adapters) {
  std::vector<AdapterState> updated;
  for (const auto& adapter : adapters) {
    const auto old = std::find_if(adapters_.begin(), adapters_.end(), [&](const AdapterState& state) {
      return state.adapter.name == adapter.name;
    });
    updated.push_back(old == adapters_.end() ? AdapterState{} : std::move(*old));
    updated.back().adapter = adapter;
  }
  adapters_ = std::move(updated);
}

void Placement::set_replicas(Time, const std::vector<ReplicaId>& replicas) {
  replicas_ = replicas;
  std::sort(replicas_.begin(), replicas_.end());
  for (auto& state : adapters_) {
    std::erase_if(state.replicas, [&](const Loaded& loaded) {
      return !std::binary_search(replicas_.begin(), replicas_.end(), loaded.replica);
    });
  }
}

void Placement::decay(Time now) {
  if (decayed_at_ == 0) decayed_at_ = now;
  if (now <= decayed_at_) return;
  const double decay_factor =
      std::exp2(-static_cast<double>(now - decayed_at_) / static_cast<double>(options_.half_life));
  decayed_at_ = now;
  total_demand_ *= decay_factor;
  for (auto& state : adapters_) state.demand *= decay_factor;
}

void Placement::record_demand(Time now, ModelId adapter, double work) {
  decay(now);
  total_demand_ += work;
  for (auto& state : adapters_) {
    if (state.adapter.id == adapter) state.demand += work;
  }
}

std::size_t Placement::target_count(const AdapterState& state) const {
  const double demand_fraction = total_demand_ > 0 ? state.demand / total_demand_ : 0;
  const auto replicas = static_cast<std::size_t>(
      std::ceil(demand_fraction * options_.spare_factor * static_cast<double>(replicas_.size())));
  return std::clamp(replicas, state.adapter.min_replicas,
                    std::max(state.adapter.min_replicas, state.adapter.max_replicas));
}

std::vector<ReplicaId> Placement::replica_order(const AdapterState& state) const {
  const std::uint64_t key = name_hash(state.adapter.name);
  std::vector<std::pair<std::uint64_t, ReplicaId>> scored;
  for (const ReplicaId replica : replicas_) scored.emplace_back(mix(key ^ mix(replica)), replica);
  std::sort(scored.begin(), scored.end());
  std::vector<ReplicaId> order;
  order.reserve(scored.size());
  for (const auto& [score, replica] : scored) order.push_back(replica);
  return order;
}

// The adapters choose in rounds, one replica each, so that the first adapter does not take all capacity.
std::vector<std::vector<ReplicaId>> Placement::choose(AdapterCounts& counts) const {
  struct Choice {
    std::vector<ReplicaId> order;
    std::vector<ReplicaId> chosen;
    std::size_t next = 0;
    std::size_t target_count = 0;
  };
  std::vector<Choice> choices;
  choices.reserve(adapters_.size());
  for (const auto& state : adapters_) choices.push_back({replica_order(state), {}, 0, target_count(state)});
  const auto choose_one = [&](Choice& choice) {
    if (choice.chosen.size() >= choice.target_count) return false;
    const auto is_full = [&](ReplicaId replica) { return counts[replica] >= options_.adapters_per_replica; };
    while (choice.next < choice.order.size() && is_full(choice.order[choice.next])) ++choice.next;
    if (choice.next == choice.order.size()) return false;
    const ReplicaId replica = choice.order[choice.next];
    ++choice.next;
    ++counts[replica];
    choice.chosen.push_back(replica);
    return true;
  };
  for (bool any_chosen = true; any_chosen;) {
    any_chosen = false;
    for (auto& choice : choices) any_chosen = choose_one(choice) || any_chosen;
  }
  std::vector<std::vector<ReplicaId>> chosen;
  for (auto& choice : choices) {
    std::sort(choice.chosen.begin(), choice.chosen.end());
    chosen.push_back(std::move(choice.chosen));
  }
  return chosen;
}

// Avoids loading an adapter repeatedly: a replica beyond the target keeps the adapter for `keep_for` unless
// another adapter needs the capacity.
void Placement::keep_surplus_replicas(Time now, AdapterState& state, std::vector<ReplicaId>& chosen,
                                      AdapterCounts& counts) const {
  for (const auto& loaded : state.replicas) {
    const ReplicaId replica = loaded.replica;
    if (std::binary_search(chosen.begin(), chosen.end(), replica)) {
      state.surplus_since.erase(replica);
      continue;
    }
    const Time since = state.surplus_since.try_emplace(replica, now).first->second;
    if (now - since < options_.keep_for && counts[replica] < options_.adapters_per_replica) {
      ++counts[replica];
      chosen.insert(std::upper_bound(chosen.begin(), chosen.end(), replica), replica);
    } else {
      state.surplus_since.erase(replica);
    }
  }
}

// Returns true if the replicas have changed. A replica that had the adapter keeps the time of loading.
bool Placement::update_replicas(Time now, AdapterState& state, const std::vector<ReplicaId>& chosen) const {
  std::vector<Loaded> updated;
  for (const ReplicaId replica : chosen) {
    const auto old = std::find_if(state.replicas.begin(), state.replicas.end(),
                                  [&](const Loaded& loaded) { return loaded.replica == replica; });
    updated.push_back(old == state.replicas.end() ? Loaded{replica, has_listed_replicas_ ? now : 0} : *old);
  }
  const bool changed =
      !std::equal(updated.begin(), updated.end(), state.replicas.begin(), state.replicas.end(),
                  [](const Loaded& left, const Loaded& right) { return left.replica == right.replica; });
  state.replicas = std::move(updated);
  return changed;
}

bool Placement::update(Time now) {
  decay(now);
  AdapterCounts counts;
  std::vector<std::vector<ReplicaId>> chosen = choose(counts);
  bool changed = false;
  for (std::size_t i = 0; i < adapters_.size(); ++i) {
    keep_surplus_replicas(now, adapters_[i], chosen[i], counts);
    if (update_replicas(now, adapters_[i], chosen[i])) changed = true;
  }
  // Adapters found when the router starts are assumed to be loaded already, because other routers have placed
  // them.
  has_listed_replicas_ = has_listed_replicas_ || !replicas_.empty();
  return changed;
}

const std::vector<Placement::Loaded>& Placement::replicas_of(ModelId adapter) const {
  static const std::vector<Loaded> none;
  for (const auto& state : adapters_) {
    if (state.adapter.id == adapter) return state.replicas;
  }
  return none;
}

std::size_t Placement::adapter_count(ReplicaId replica) const {
  const auto has_replica = [replica](const AdapterState& state) {
    return std::any_of(state.replicas.begin(), state.replicas.end(),
                       [replica](const Loaded& loaded) { return loaded.replica == replica; });
  };
  return static_cast<std::size_t>(std::count_if(adapters_.begin(), adapters_.end(), has_replica));
}

}  // namespace thornwick::models
