// The checks at the end of a replication simulation, after a time without faults.
#pragma once

#include <cstdint>
#include <string>

#include "emulator/replication_clients.hpp"
#include "emulator/replication_cluster.hpp"

namespace thornwick::emulator {

// Checks that every ledger has a leader and complete replicas, that its accounts contain all that clients
// used and each confirmed correction, and that nearly all of the limits could be used in `window`. Returns
// the first violation as text, or an empty string if there is none. Sets ReplicationResult::usable_fraction.
std::string check_final_state(ReplicationCluster& cluster, const ReplicationClients& clients,
                              std::int64_t window);

}  // namespace thornwick::emulator
