#include "emulator/replication_simulation.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "emulator/replication_checks.hpp"
#include "emulator/replication_clients.hpp"
#include "emulator/replication_cluster.hpp"
#include "emulator/replication_faults.hpp"

namespace thornwick::emulator {
namespace {

constexpr Time kSettlingDuration = seconds(10);  // time before the first fault
constexpr Time kRecoveryDuration = seconds(40);  // time after the last fault
constexpr Time kWindowMargin =
    seconds(2);  // time between the end of the simulation and the end of the last window
constexpr std::uint64_t kShownIds = 1000;  // ids are logged modulo this

void log_final_state(ReplicationCluster& cluster) {
  for (std::size_t router = 0; router < cluster.size(); ++router) {
    if (!cluster.alive(router)) continue;
    for (const auto& [ledger, replica] : cluster.node(router).replicas()) {
      cluster.write_log(
          fmt::format("r{}   ledger {}: copy {}, stage {}, {}", router, ledger,
                      replica->process().id % kShownIds, static_cast<int>(replica->stage()),
                      replica->consensus() != nullptr ? replica->consensus()->digest() : "no log"));
    }
  }
}

}  // namespace

ReplicationResult simulate_replication(const ReplicationOptions& options) {
  ReplicationCluster cluster(options);
  ReplicationClients clients(cluster);
  ReplicationFaults faults(cluster, clients);
  cluster.start_all();
  clients.start();
  cluster.run_for(kSettlingDuration);
  if (options.faults) faults.start();
  cluster.run_for(std::max<Time>(0, static_cast<Time>(options.seconds * 1e6) - cluster.now()));
  faults.end_all();
  cluster.run_for(kRecoveryDuration);
  // One complete window without a fault shows how much of the limits can be used.
  constexpr Time kWindow = ReplicationClients::kWindow;
  const std::int64_t window = (cluster.local_time(0) + kWindow) / kWindow;
  cluster.run_for((window + 1) * kWindow - cluster.local_time(0) - kWindowMargin);
  ReplicationResult& result = cluster.result();
  if (result.violation.empty()) result.violation = check_final_state(cluster, clients, window);
  log_final_state(cluster);
  return std::move(result);
}

}  // namespace thornwick::emulator
