#include "policy/policy_state.hpp"

#include <set>
#include <stdexcept>

namespace thornwick {
namespace {

void require(bool condition, const char* message) {
  if (!condition) throw std::invalid_argument(message);
}

const Settings& checked(const Settings& settings) {
  require(!settings.classes.empty(), "settings: no class of request");
  require(settings.zone < settings.zone_count, "settings: own zone beyond the number of zones");
  require(settings.group_size != 0, "settings: no router in the group");
  require(settings.max_attempts != 0, "settings: no attempt allowed");
  require(settings.initial_capacity >= 0 && settings.initial_capacity <= 1,
          "settings: cold_from outside 0..1");
  require(settings.overload_multiple > 0, "settings: tip_multiple not above 0");
  require(settings.warm_up >= 0 && settings.max_poll_interval > 0, "settings: a period that is not positive");
  for (const ClassSettings& request_class : settings.classes) {
    require(request_class.latency_objective > 0 && request_class.deadline > 0,
            "settings: class without aim or deadline");
  }
  return settings;
}

}  // namespace

PolicyState::PolicyState(const Settings& policy_settings)
    : settings(checked(policy_settings)), random(policy_settings.seed) {
  for (const ClassSettings& request_class : settings.classes)
    longest_latency_objective = std::max(longest_latency_objective, request_class.latency_objective);
}

void PrefixWork::decay() {
  const double mean = total_ / static_cast<double>(table_.size());
  std::erase_if(table_, [mean](const auto& entry) { return entry.second < mean; });
  total_ = 0;
  for (auto& [prefix, work] : table_) {
    work /= 2;
    total_ += work;
  }
}

void PolicyState::forget_gone_replicas() {
  std::set<ReplicaId> attempted;
  for (const auto& [id, request] : pending) {
    for (const Attempt& attempt : request.attempts) attempted.insert(attempt.replica);
  }
  std::erase_if(replicas, [&](const auto& entry) {
    const auto& [id, replica] = entry;
    return replica.listing.state == EndpointState::removed && replica.in_flight == 0 &&
           !attempted.contains(id);
  });
  home_cut = {};
  remote_cut = {};
}

std::vector<ReplicaId> PolicyState::ejected(Time now) const {
  std::vector<ReplicaId> ids;
  for (const auto& [id, replica] : replicas) {
    const bool ready = replica.listing.state == EndpointState::ready;
    if (ready && replica.excluded_from_cut && now < replica.ejected_until) ids.push_back(id);
  }
  return ids;
}

}  // namespace thornwick
