#include "node/affinity_report.hpp"

#include <algorithm>
#include <cmath>
#include <sstream>
#include <vector>

#include "logging/log.hpp"

namespace thornwick::node {
namespace {

constexpr std::size_t kMaxReplicaLines = 64;
constexpr double kBoundsConfidence = 0.95;  // confidence level of the bounds of a replica's hit rate

double rounded_to_thousandths(double value) { return std::round(value * 1000) / 1000; }

std::string replica_line(const affinity::Replica& replica, const std::string& uid) {
  const auto [low, high] = replica.calibration.bounds(kBoundsConfidence);
  const bool trusted = replica.trust_state == affinity::TrustState::trusted;
  std::ostringstream text;
  text << uid << (trusted ? " trusted" : " probing") << " hits=" << replica.hits
       << " misses=" << replica.misses << " losses=" << replica.losses
       << " hit_rate=" << rounded_to_thousandths(low) << ".." << rounded_to_thousandths(high)
       << " half_life_tokens=" << static_cast<std::uint64_t>(replica.survival.half_life());
  return text.str();
}

bool is_less_trusted(const affinity::Replica* left, const affinity::Replica* right) {
  if (left->trust_state != right->trust_state) return left->trust_state > right->trust_state;
  return left->losses > right->losses;
}

}  // namespace

void print_replicas(const affinity::AffinityTable& table, const ReplicaUidLookup& uid_of,
                    const std::function<void(const std::string&)>& print_line) {
  std::vector<const affinity::Replica*> replicas;
  table.replicas().for_each(
      [&](affinity::Slot, const affinity::Replica& replica) { replicas.push_back(&replica); });
  std::stable_sort(replicas.begin(), replicas.end(), is_less_trusted);
  if (replicas.size() > kMaxReplicaLines) replicas.resize(kMaxReplicaLines);
  for (const auto* replica : replicas) print_line(replica_line(*replica, uid_of(replica->id)));
}

void AffinityLog::on_fleet_copies_lost(Time) {
  logging::warning("affinity")
      << "cached prompts lost across the fleet: none is expected until replicas report hits";
}

void AffinityLog::on_replica_copies_lost(Time, ReplicaId replica) {
  logging::warning("affinity") << "cached prompts lost at " << logging::field("replica", uid_of_(replica))
                               << ": none is expected there until it reports hits";
}

void AffinityLog::on_replica_recovered(Time, ReplicaId replica) {
  logging::info("affinity") << "cached prompts found again at "
                            << logging::field("replica", uid_of_(replica));
}

}  // namespace thornwick::node
