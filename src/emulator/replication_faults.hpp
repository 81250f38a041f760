// Random faults of a replication simulation: faults of processes, disks and the network that the ledgers are
// specified to tolerate.
#pragma once

#include <set>
#include <utility>
#include <vector>

#include "emulator/replication_clients.hpp"
#include "emulator/replication_cluster.hpp"

namespace thornwick::emulator {

class ReplicationFaults {
 public:
  // The cluster and the clients must outlive the faults.
  ReplicationFaults(ReplicationCluster& cluster, ReplicationClients& clients)
      : cluster_(cluster), clients_(clients) {}

  // Makes faults happen from now on.
  void start();

  // Ends all current faults. No fault begins from now on.
  void end_all();

 private:
  using Routers = std::set<std::size_t>;
  struct Direction {
    std::size_t from = 0;
    std::size_t to = 0;
  };

  void schedule_fault();
  void inject();
  bool all_ledgers_led() const;
  bool may_lose_a_disk() const;
  Disk draw_disk(bool may_lose);
  void restart(std::size_t router, Disk disk, Time duration);
  void suspend(std::size_t router, Time duration);
  void suspend_beyond_lease(std::size_t router);
  void cut(const Routers& separated, Time duration);
  void cut_random_half(Time duration);
  void lose_messages(Time duration);
  void slow_disk(std::size_t router, Time duration);
  void fill_disk(std::size_t router, Time duration);
  void correct_at_isolated_leader(Time duration);
  void restore_older_disk_behind_cut();

  ReplicationCluster& cluster_;
  ReplicationClients& clients_;
  bool ended_ = false;
};

}  // namespace thornwick::emulator
