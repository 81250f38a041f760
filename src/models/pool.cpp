#include "models/pool.hpp"

#include <algorithm>
#include <utility>

namespace thornwick::models {
namespace {

bool is_ready(const Endpoint& endpoint) { return endpoint.state == EndpointState::ready; }

bool same_listing(const Endpoint& left, const Endpoint& right) {
  return left.state == right.state && left.started_at == right.started_at && left.zone == right.zone &&
         left.cell == right.cell && left.kind == right.kind && left.weight == right.weight;
}

}  // namespace

PoolChange Pool::replace_members(const std::vector<Endpoint>& members, EndpointUpdate scope) {
  const bool is_full = scope != EndpointUpdate::delta;
  std::map<ReplicaId, Endpoint> updated;
  for (const Endpoint& member : members) updated[member.id] = member;
  PoolChange change;
  std::vector<Endpoint> ready;
  for (const auto& [id, member] : updated) {
    const auto old = members_.find(id);
    if (old == members_.end()) change.joined.push_back(id);
    if (is_full || old == members_.end() || !same_listing(old->second, member))
      change.updates.push_back(member);
    if (is_ready(member)) ready.push_back(member);
  }
  for (const auto& [id, member] : members_) {
    if (updated.contains(id)) continue;
    change.removed.push_back(id);
    if (is_full) continue;
    change.updates.push_back(member);
    change.updates.back().state = EndpointState::removed;
  }
  members_ = std::move(updated);
  slow_start_.set_replicas(ready);
  return change;
}

bool Pool::has_ready_replica() const {
  return std::any_of(members_.begin(), members_.end(),
                     [](const auto& entry) { return is_ready(entry.second); });
}

std::vector<ReplicaId> Pool::ready_replicas() const {
  std::vector<ReplicaId> ready;
  for (const auto& [id, member] : members_) {
    if (is_ready(member)) ready.push_back(id);
  }
  return ready;
}

}  // namespace thornwick::models
