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
  std::vector<Set> fresh;
  for (const auto& adapter : adapters) {
    const auto old = std::find_if(sets_.begin(), sets_.end(),
                                  [&](const Set& set) { return set.adapter.name == adapter.name; });
    fresh.push_back(old == sets_.end() ? Set{} : std::move(*old));
    fresh.back().adapter = adapter;
  }
  sets_ = std::move(fresh);
}

void Placement::set_replicas(Time, const std::vector<ReplicaId>& replicas) {
  replicas_ = replicas;
  std::sort(replicas_.begin(), replicas_.end());
  for (auto& set : sets_) {
    std::erase_if(set.replicas, [&](const Loaded& loaded) {
      return !std::binary_search(replicas_.begin(), replicas_.end(), loaded.replica);
    });
  }
}

void Placement::fade(Time now) {
  if (faded_at_ == 0) faded_at_ = now;
  if (now <= faded_at_) return;
  const double kept_ratio =
      std::exp2(-static_cast<double>(now - faded_at_) / static_cast<double>(options_.half_life));
  faded_at_ = now;
  all_demand_ *= kept_ratio;
  for (auto& set : sets_) set.demand *= kept_ratio;
}

void Placement::asked(Time now, ModelId adapter, double work) {
  fade(now);
  all_demand_ += work;
  for (auto& set : sets_) {
    if (set.adapter.number == adapter) set.demand += work;
  }
}

std::size_t Placement::wanted(const Set& set) const {
  const double demand_ratio = all_demand_ > 0 ? set.demand / all_demand_ : 0;
  const auto replicas = static_cast<std::size_t>(
      std::ceil(demand_ratio * options_.spare * static_cast<double>(replicas_.size())));
  return std::clamp(replicas, set.adapter.min_replicas,
                    std::max(set.adapter.min_replicas, set.adapter.max_replicas));
}

std::vector<ReplicaId> Placement::order_for(const Set& set) const {
  const std::uint64_t key = name_hash(set.adapter.name);
  std::vector<std::pair<std::uint64_t, ReplicaId>> scored;
  for (const ReplicaId replica : replicas_) scored.emplace_back(mix(key ^ mix(replica)), replica);
  std::sort(scored.begin(), scored.end());
  std::vector<ReplicaId> order;
  order.reserve(scored.size());
  for (const auto& [score, replica] : scored) order.push_back(replica);
  return order;
}

// Adapters choose in rounds, one replica each, so that the first in the list
// does not take all the room.
std::vector<std::vector<ReplicaId>> Placement::choose(AdapterCounts& counts) const {
  struct Choice {
    std::vector<ReplicaId> order;
    std::vector<ReplicaId> chosen;
    std::size_t next = 0;
    std::size_t wanted = 0;
  };
  std::vector<Choice> choices;
  choices.reserve(sets_.size());
  for (const auto& set : sets_) choices.push_back({order_for(set), {}, 0, wanted(set)});
  const auto choose_one = [&](Choice& choice) {
    if (choice.chosen.size() >= choice.wanted) return false;
    const auto is_full = [&](ReplicaId replica) { return counts[replica] >= options_.adapters_per_replica; };
    while (choice.next < choice.order.size() && is_full(choice.order[choice.next])) ++choice.next;
    if (choice.next == choice.order.size()) return false;
    const ReplicaId replica = choice.order[choice.next];
    ++choice.next;
    ++counts[replica];
    choice.chosen.push_back(replica);
    return true;
  };
  for (bool any = true; any;) {
    any = false;
    for (auto& choice : choices) any = choose_one(choice) || any;
  }
  std::vector<std::vector<ReplicaId>> chosen;
  for (auto& choice : choices) {
    std::sort(choice.chosen.begin(), choice.chosen.end());
    chosen.push_back(std::move(choice.chosen));
  }
  return chosen;
}

// Avoids loading to and fro: what is loaded stays for `keep_for`, where no
// other adapter needs the room.
void Placement::keep_unwanted(Time now, Set& set, std::vector<ReplicaId>& chosen,
                              AdapterCounts& counts) const {
  for (const auto& loaded : set.replicas) {
    const ReplicaId replica = loaded.replica;
    if (std::binary_search(chosen.begin(), chosen.end(), replica)) {
      set.unwanted_since.erase(replica);
      continue;
    }
    const Time since = set.unwanted_since.try_emplace(replica, now).first->second;
    if (now - since < options_.keep_for && counts[replica] < options_.adapters_per_replica) {
      ++counts[replica];
      chosen.insert(std::upper_bound(chosen.begin(), chosen.end(), replica), replica);
    } else {
      set.unwanted_since.erase(replica);
    }
  }
}

// True if the replicas are others than before. What is loaded already stays so
// since it was.
bool Placement::load(Time now, Set& set, const std::vector<ReplicaId>& chosen) const {
  std::vector<Loaded> fresh;
  for (const ReplicaId replica : chosen) {
    const auto old = std::find_if(set.replicas.begin(), set.replicas.end(),
                                  [&](const Loaded& loaded) { return loaded.replica == replica; });
    fresh.push_back(old == set.replicas.end() ? Loaded{replica, began_ ? now : 0} : *old);
  }
  const bool changed =
      !std::equal(fresh.begin(), fresh.end(), set.replicas.begin(), set.replicas.end(),
                  [](const Loaded& left, const Loaded& right) { return left.replica == right.replica; });
  set.replicas = std::move(fresh);
  return changed;
}

bool Placement::update(Time now) {
  fade(now);
  AdapterCounts counts;
  std::vector<std::vector<ReplicaId>> chosen = choose(counts);
  bool changed = false;
  for (std::size_t i = 0; i < sets_.size(); ++i) {
    keep_unwanted(now, sets_[i], chosen[i], counts);
    if (load(now, sets_[i], chosen[i])) changed = true;
  }
  // What is there when the router starts was loaded by others, as far as it
  // knows.
  began_ = began_ || !replicas_.empty();
  return changed;
}

const std::vector<Placement::Loaded>& Placement::replicas_of(ModelId adapter) const {
  static const std::vector<Loaded> none;
  for (const auto& set : sets_) {
    if (set.adapter.number == adapter) return set.replicas;
  }
  return none;
}

std::size_t Placement::loaded_on(ReplicaId replica) const {
  const auto has_replica = [replica](const Set& set) {
    return std::any_of(set.replicas.begin(), set.replicas.end(),
                       [replica](const Loaded& loaded) { return loaded.replica == replica; });
  };
  return static_cast<std::size_t>(std::count_if(sets_.begin(), sets_.end(), has_replica));
}

}  // namespace thornwick::models
