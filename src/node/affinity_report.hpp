// Log lines about the affinity table: a report with one line for each replica, and one line whenever replicas
// lose or regain trust.
#pragma once

#include <functional>
#include <string>

#include "affinity/affinity_table.hpp"

namespace thornwick::node {

// Returns the uid of a replica for log lines.
using ReplicaUidLookup = std::function<std::string(ReplicaId)>;

// Calls `print_line` with one line for each replica, for at most 64 replicas. Replicas that have lost trust
// come first.
void print_replicas(const affinity::AffinityTable& table, const ReplicaUidLookup& uid_of,
                    const std::function<void(const std::string&)>& print_line);

// Logs each loss and each recovery of trust in the cached prompts of replicas.
class AffinityLog final : public affinity::Observer {
 public:
  explicit AffinityLog(ReplicaUidLookup uid_of) : uid_of_(std::move(uid_of)) {}

  void on_fleet_copies_lost(Time now) override;
  void on_replica_copies_lost(Time now, ReplicaId replica) override;
  void on_replica_recovered(Time now, ReplicaId replica) override;

 private:
  ReplicaUidLookup uid_of_;
};

}  // namespace thornwick::node
