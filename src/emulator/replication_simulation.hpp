// A simulation in virtual time of routers with their ledger replicas, quota lease clients and disks. The
// routers run the same code as on sockets; the network and the disks have faults. The units that clients were
// granted are counted outside of the routers and compared with the limits that the ledgers guarantee. The
// seed determines everything.
#pragma once

#include <cstdint>
#include <string>

namespace thornwick::emulator {

struct ReplicationOptions {
  std::size_t routers = 3;
  std::size_t sites = 1;
  std::size_t replicas = 3;  // number of replicas of each ledger
  std::size_t ledgers = 1;
  std::uint64_t seed = 1;
  double seconds = 90;  // seconds after which all faults end
  double demand = 2;    // multiple of the limits that the clients of all routers together request
  bool faults = true;
  double overdraft_fraction = 0;  // fraction of a limit that a router may grant without a lease
  // Deliberate faults of the program. The checks must detect each of them.
  bool trust_any_disk = false;
  bool respond_before_majority = false;
  bool use_expired_leases = false;
};

struct ReplicationResult {
  std::string violation;  // the first guarantee that was violated; empty if none was
  std::size_t kills = 0;
  std::size_t lost_disks = 0;
  std::size_t older_disks = 0;
  std::size_t suspensions = 0;  // number of times that a process was suspended
  std::size_t cuts = 0;         // number of times that the network was cut
  std::size_t corrections = 0;
  std::size_t confirmed_corrections = 0;  // number of corrections that a router confirmed
  std::size_t granted = 0;
  std::size_t rejected = 0;
  double usable_fraction = 1;  // fraction of a limit that was granted in the last window, which had no faults
  std::string timeline;
};

ReplicationResult simulate_replication(const ReplicationOptions& options);

}  // namespace thornwick::emulator
