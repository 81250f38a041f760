#include "policy/policy_state.hpp"

#include <set>
#include <stdexcept>
#include <string>

namespace thornwick {
namespace {

void require(bool condition, const std::string& message) {
  if (!condition) throw std::invalid_argument("settings: " + message);
}

const Settings& checked(const Settings& settings) {
  require(!settings.classes.empty(), "no class of request; at least one is required");
  require(settings.zone < settings.zone_count, "zone " + std::to_string(settings.zone) +
                                                   " of the router is not below the number of zones, " +
                                                   std::to_string(settings.zone_count));
  require(settings.group_size != 0, "the number of routers is 0; it must be at least 1");
  require(settings.max_attempts != 0, "the number of attempts is 0; it must be at least 1");
  require(settings.initial_capacity >= 0 && settings.initial_capacity <= 1,
          "cold_from is " + std::to_string(settings.initial_capacity) + "; it must be in 0..1");
  require(settings.overload_multiple > 0,
          "tip_multiple is " + std::to_string(settings.overload_multiple) + "; it must be above 0");
  require(settings.warm_up >= 0 && settings.max_poll_interval > 0,
          "the warm-up time is " + std::to_string(settings.warm_up) + " us and the longest poll interval " +
              std::to_string(settings.max_poll_interval) + " us; they must be at least 0, and above 0");
  for (const ClassSettings& request_class : settings.classes) {
    require(request_class.latency_objective > 0 && request_class.deadline > 0,
            "a class has the latency objective " + std::to_string(request_class.latency_objective) +
                " us and the deadline " + std::to_string(request_class.deadline) +
                " us; both must be above 0");
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

void PolicyState::erase_removed_replicas() {
  std::set<ReplicaId> in_use;
  for (const auto& [id, request] : pending) {
    for (const SentAttempt& attempt : request.attempts) in_use.insert(attempt.replica.id);
  }
  std::erase_if(replicas, [&](const auto& entry) {
    const auto& [id, replica] = entry;
    return replica.listing.state == EndpointState::removed && replica.in_flight == 0 && !in_use.contains(id);
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
