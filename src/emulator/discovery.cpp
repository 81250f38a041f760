#include "emulator/discovery.hpp"

#include <algorithm>

#include "emulator/random_stream.hpp"

namespace thornwick::emulator {

DiscoveryService::DiscoveryService(const Scenario& scenario, std::uint64_t seed) {
  RandomStream random(seed, StreamPurpose::discovery);
  removal_delay_s_ = random.between(scenario.removal_delay_s.low, scenario.removal_delay_s.high);
  unreachable_delay_s_ = random.between(scenario.unreachable_delay_s.low, scenario.unreachable_delay_s.high);
  addition_delay_s_ = random.between(scenario.addition_delay_s.low, scenario.addition_delay_s.high);
}

std::uint64_t DiscoveryService::record(const EndpointChange& change) {
  changes_.push_back(change);
  return changes_.size() - 1;
}

void DiscoveryService::apply(std::uint64_t index) {
  const Endpoint& endpoint = changes_[index].endpoint;
  if (endpoint.state == EndpointState::removed) {
    registered_.erase(endpoint.id);
  } else {
    registered_[endpoint.id] = endpoint;
  }
}

std::vector<Endpoint> DiscoveryService::endpoints() const {
  std::vector<Endpoint> endpoints;
  endpoints.reserve(registered_.size());
  for (const auto& [id, endpoint] : registered_) endpoints.push_back(endpoint);
  std::sort(endpoints.begin(), endpoints.end(), [](const auto& a, const auto& b) { return a.id < b.id; });
  return endpoints;
}

}  // namespace thornwick::emulator
