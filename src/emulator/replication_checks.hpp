// What has to hold at the end of a replication simulation, after a time without faults.
#pragma once

#include <cstdint>
#include <string>

#include "emulator/replication_clients.hpp"
#include "emulator/replication_cluster.hpp"

namespace thornwick::emulator {

// Every ledger has a leader and complete replicas, its books have all that clients used and each confirmed
// correction, and nearly all of the limits could be used in `window`. Returns the first violation as text,
// empty if all holds. Sets ReplicationResult::usable.
std::string check_final_state(ReplicationCluster& cluster, const ReplicationClients& clients,
                              std::int64_t window);

}  // namespace thornwick::emulator
