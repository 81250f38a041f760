// Log lines about the affinity table: one line for each replica on request, and a warning whenever a replica
// loses or regains trust.
#pragma once

#include <functional>
#include <string>

#include "affinity/affinity_table.hpp"

namespace thornwick::node {

using ReplicaUid = std::function<std::string(ReplicaId)>;

// Calls `line` with one line for each replica, 64 lines at most. Replicas that have lost trust come first.
void report_replicas(const affinity::AffinityTable& table, const ReplicaUid& uid_of,
                     const std::function<void(const std::string&)>& line);

// Logs each loss and recovery of trust in what replicas have cached.
class AffinityLog final : public affinity::Observer {
 public:
  explicit AffinityLog(ReplicaUid uid_of) : uid_of_(std::move(uid_of)) {}

  void on_fleet_copies_lost(Time now) override;
  void on_replica_copies_lost(Time now, ReplicaId replica) override;
  void on_replica_recovered(Time now, ReplicaId replica) override;

 private:
  ReplicaUid uid_of_;
};

}  // namespace thornwick::node
