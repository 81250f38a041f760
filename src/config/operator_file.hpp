// The operator's file (TOML): all settings that are not the platform's. A feature is off unless the file
// enables it.
#pragma once

#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

#include "membership/roster.hpp"
#include "models/catalogue.hpp"

namespace thornwick::config {

// A configuration that cannot be used. Its what() has a line for each error.
struct BadConfig : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// [affinity]: estimates of the prompts that replicas have cached (docs/affinities.md).
struct AffinityFile {
  bool enabled = false;
  std::uint64_t max_entries = 1'000'000;  // sessions and prefixes together
  std::uint64_t max_memory_bytes = 0;     // memory of the entries; 0: a sixteenth of the memory limit
  std::uint64_t max_replicas = 4096;
  double lifetime_s = 1800;  // an entry that has not been used for longer is removed
  double answers_per_false_alarm = 100'000;
  std::string eviction = "lru";  // or "segmented", "tinylfu"

  bool operator==(const AffinityFile&) const = default;
};

// [store]: the file with state that outlives the process (docs/store.md).
struct StoreFile {
  std::string file;                   // empty: no state outlives the process
  std::uint64_t max_megabytes = 256;  // maximum size of the file, in MiB
  // Changes become durable within `max_sync_delay_s`, or once there are `max_undurable_changes` of them,
  // whichever comes first.
  double max_sync_delay_s = 1;
  std::uint64_t max_undurable_changes = 4096;

  bool operator==(const StoreFile&) const = default;
};

// [[budget]]: how many tokens may be used (docs/models.md). The names of tenants and classes are checked
// against the platform's settings when the node starts.
struct BudgetEntry {
  std::string name;
  std::string tenant = "each";         // a tenant's name, "each" or "all"
  std::string model = "all";           // a model's name, "each" or "all"
  std::string priority_class = "all";  // a class's name, "each" or "all"
  std::string period = "minute";       // or "second", "hour", "day"
  double tokens = 0;
  double burst = 0;  // of a budget per second: the most tokens saved up; 0: those of one second
  bool hard = true;
  std::uint32_t line = 0;

  bool operator==(const BudgetEntry&) const = default;
};

// [budgets] and [[budget]].
struct BudgetsFile {
  std::vector<BudgetEntry> budgets;
  bool fair_admission = false;     // weighted fair admission of tenants when capacity is short
  bool log_charges = false;        // write a log line for each charge
  double block_fraction = 0.02;    // fraction of a limit granted before the store has recorded it
  double soft_limit_weight = 0.1;  // the factor on the priority weight of a request beyond a soft budget
  std::uint64_t max_accounts = 65'536;

  bool operator==(const BudgetsFile&) const = default;
};

// [group] and [[router]]: the routers that share their state (docs/membership.md).
struct GroupFile {
  std::string name;  // of the group; empty: this router is in none
  std::vector<std::string> sites;
  std::string local_router;       // the name of this router in the list; empty: the name in the configuration
  std::string listen;             // HOST:PORT; empty: the address of this router in the list
  std::string incarnation_file;   // path; empty: each start counts as one without a disk
  std::string status_socket;      // the path of the local socket for `thornwick group status`; empty: none
  double probe_interval_s = 2.4;  // time between two probes
  bool peer_links_enabled = true;  // send full views over connections to two neighbours
  std::vector<membership::RouterEntry> routers;
  std::uint32_t line = 0;

  bool operator==(const GroupFile&) const = default;
};

// [copies]: replication of the ledgers of this router to further routers (docs/replication.md).
struct ReplicationFile {
  bool enabled = false;
  std::string file;                  // path of the file with the ledgers' records
  std::uint64_t max_megabytes = 64;  // maximum size of the file, in MiB
  std::uint64_t replica_count = 3;   // replicas of each ledger: 3 or 5
  double lease_s = 6;                // how long a router may use its reservation without an answer
  double heartbeat_s = 0.25;         // interval of a leader; an election begins after five to ten of them
  // "strict", or "lenient": a router without a majority may go beyond its reservation, up to
  // `overdraft_fraction`.
  std::string without_majority = "strict";
  double overdraft_fraction = 0.01;  // fraction of each limit, for each router
  std::uint32_t line = 0;

  bool operator==(const ReplicationFile&) const = default;
};

// The contents of the operator's file.
struct OperatorFile {
  std::string messages_listen;                 // HOST:PORT of the second front; empty: there is none
  std::string target_dialect = "platform";     // of replicas that `targets` does not have
  std::map<std::string, std::string> targets;  // dialects by the uid of the replica
  std::string flow_collector;                  // HOST:PORT; empty: no flow records are sent
  std::uint32_t flow_domain = 1;
  AffinityFile affinity;
  StoreFile store;
  models::Catalogue catalogue;
  BudgetsFile budgets;
  GroupFile group;
  ReplicationFile replication;
  std::string path;  // of the file itself, for errors that are found later

  // Returns whether a running router can reload `other`, because the two files are equal in everything that
  // only a restart can change. Models and budgets may differ.
  [[nodiscard]] bool can_reload(const OperatorFile& other) const;
};

// Reads and checks the file: an unknown table or key, a wrong type or a value out of range is an error. An
// empty path means that there is no file. Throws BadConfig with a line for each error, "FILE:LINE: KEY: what
// is wrong", in the order of the lines.
OperatorFile read_operator_file(const std::string& path);

}  // namespace thornwick::config
