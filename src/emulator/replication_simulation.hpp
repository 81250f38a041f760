// Routers with their ledger replicas, quota lease clients and disks in virtual time: the same code as on
// sockets, and a network and disks with faults. What clients were granted is counted outside of the routers
// and compared with what the ledgers promise. The seed determines everything.
#pragma once

#include <cstdint>
#include <string>

namespace thornwick::emulator {

struct ReplicationOptions {
  std::size_t routers = 3;
  std::size_t sites = 1;
  std::size_t replicas = 3;  // of each ledger
  std::size_t ledgers = 1;
  std::uint64_t seed = 1;
  double seconds = 90;  // after which all faults end
  double demand = 2;    // of the limits, by the clients of all routers together
  bool faults = true;
  double overdraft_fraction = 0;  // part of a limit that a router may grant without a lease
  // Faults of the program, which the checks have to find.
  bool trust_any_disk = false;
  bool respond_before_majority = false;
  bool use_expired_leases = false;
};

struct ReplicationResult {
  std::string violation;  // the first promise that was not kept; empty: all were
  std::size_t kills = 0;
  std::size_t lost_disks = 0;
  std::size_t older_disks = 0;
  std::size_t suspensions = 0;  // of processes that are resumed later
  std::size_t cuts = 0;         // of the network
  std::size_t corrections = 0;
  std::size_t confirmed_corrections = 0;  // of the corrections
  std::size_t granted = 0;
  std::size_t rejected = 0;
  double usable_fraction =
      1;  // part of a limit that was granted in the last window, in which there were no faults
  std::string timeline;
};

ReplicationResult simulate_replication(const ReplicationOptions& options);

}  // namespace thornwick::emulator
