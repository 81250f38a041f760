// The routers of a replication simulation: virtual time, processes, disks and the network between them.
// Faults, clients and checks are built on it (replication_faults.hpp, replication_clients.hpp,
// replication_checks.hpp).
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "emulator/disk.hpp"
#include "emulator/random_stream.hpp"
#include "emulator/replication_simulation.hpp"
#include "replication/ledger_replica.hpp"
#include "replication/quota_lease_client.hpp"
#include "replication/replication_node.hpp"

namespace thornwick::emulator {

// An account of the quotas, whose limits all routers enforce together.
struct Account {
  std::string key;
  budgets::LimitRule rule;
};

// Limits of the accounts, in units.
inline constexpr budgets::Units kWindowLimit = 3'000'000;
inline constexpr budgets::Units kBucketBurst = 300'000;
inline constexpr budgets::Units kBucketRefillPerSecond = 50'000;
inline constexpr const char* kCorrectedAccount = "day|c";  // used by corrections only

inline constexpr Time kLeaseDuration = seconds(2);

class ReplicationCluster {
 public:
  // No process runs yet.
  explicit ReplicationCluster(const ReplicationOptions& options);
  ReplicationCluster(const ReplicationCluster&) = delete;
  ReplicationCluster& operator=(const ReplicationCluster&) = delete;
  ~ReplicationCluster();

  // ---- time
  Time now() const { return now_; }
  // The wall clock of a router. Clocks differ in their rates and offsets.
  Time local_time(std::size_t router) const;
  void schedule(Time at, std::function<void()> action);
  // Stops early if a violation is reported.
  void run_for(Time duration);

  // ---- processes
  std::size_t size() const { return routers_.size(); }
  // Starts every process, and the ticks that drive them. To be called once.
  void start_all();
  // Has no effect on a process that runs.
  void start(std::size_t router, Disk disk);
  // Has no effect on a process that does not run, nor before the time given to forbid_kills_until().
  void kill(std::size_t router);
  void suspend(std::size_t router);
  void resume(std::size_t router);
  void forbid_kills_until(Time until) { no_kills_until_ = until; }
  bool alive(std::size_t router) const { return routers_[router].alive; }
  bool suspended(std::size_t router) const { return routers_[router].suspended; }
  bool running(std::size_t router) const { return alive(router) && !suspended(router); }
  // Changes whenever the process is killed or started.
  std::uint64_t epoch(std::size_t router) const { return routers_[router].epoch; }
  // The process must be alive.
  replication::ReplicationNode& node(std::size_t router) { return *routers_[router].node; }
  // Runs the action when the suspended process is resumed, unless it is started anew before.
  void defer(std::size_t router, std::function<void()> action);

  // ---- disks
  void slow_disk_down(std::size_t router) { routers_[router].disk_slow = true; }
  void restore_disk_speed(std::size_t router) { routers_[router].disk_slow = false; }
  void fill_disk(std::size_t router) { routers_[router].disk_full = true; }
  void free_disk(std::size_t router) { routers_[router].disk_full = false; }
  // Keeps the present state as the older copy of the disk.
  void snapshot_disk(std::size_t router) { routers_[router].older_disk = routers_[router].disk; }
  // Whether a ledger replica of this router was lost with its disk and has no vote yet.
  bool recovering(std::size_t router) const { return !routers_[router].recovering.empty(); }
  std::size_t recovering_routers() const;

  // ---- network
  void block(std::size_t from, std::size_t to) { blocked_[from][to] = true; }
  void unblock(std::size_t from, std::size_t to) { blocked_[from][to] = false; }
  // Probability that a message is lost; others are repeated or delayed with about that probability.
  void set_loss(double loss) { loss_ = loss; }

  // ---- ledgers
  // The router whose replica leads the ledger, or none.
  std::optional<std::size_t> leader_of(std::size_t ledger) const;
  // The ledger's replica at a router that is alive, or null.
  const replication::LedgerReplica* replica_at(std::size_t router, std::size_t ledger) const;
  const membership::Roster& roster() const { return *roster_; }
  const std::vector<Account>& accounts() const { return accounts_; }

  // ---- result
  const ReplicationOptions& options() const { return options_; }
  RandomStream& random() { return random_; }
  ReplicationResult& result() { return result_; }
  void write_log(const std::string& text);
  // Keeps the first violation, and ends the simulation.
  void report_violation(const std::string& text);

 private:
  // The records of one ledger on the disk of one router.
  class LedgerRecords;
  struct RecordKey {
    std::size_t ledger = 0;
    std::string key;
    auto operator<=>(const RecordKey&) const =
        default;  // NOLINT(modernize-use-nullptr): clang-tidy 14 reads <=> so
  };
  using DiskRecords = std::map<RecordKey, std::string>;
  struct PendingWrite {
    RecordKey key;
    std::optional<std::string> value;  // none: the record is removed
  };
  struct Router {
    bool alive = false;
    bool suspended = false;
    bool disk_full = false;
    bool disk_slow = false;
    bool flush_scheduled = false;
    double clock_rate = 1;
    Time clock_offset = 0;
    std::uint64_t epoch = 0;
    std::uint64_t writes = 0;  // of the process so far
    DiskRecords disk;
    DiskRecords older_disk;
    std::vector<PendingWrite> pending_writes;
    std::map<std::size_t, std::unique_ptr<LedgerRecords>> records;  // by ledger
    std::unique_ptr<replication::ReplicationNode> node;             // null: no process
    std::vector<std::function<void()>> deferred;                    // until it is resumed
    std::set<std::size_t> recovering;                               // ledgers
  };

  void write(std::size_t router, RecordKey key, std::optional<std::string> value);
  void schedule_flush(std::size_t router);
  void flush(std::size_t router);
  void load_disk(std::size_t router, Disk disk);
  replication::Options node_options(std::size_t router);
  replication::ReplicationNode::Dependencies node_dependencies(std::size_t router);
  void schedule_tick();
  void tick();
  void check_recovered(const replication::LedgerReplica& leader, std::size_t ledger);
  void send(std::size_t from, std::size_t to, const std::string& bytes);
  void deliver(std::size_t from, std::size_t to, const std::string& bytes);

  ReplicationOptions options_;
  RandomStream random_;
  std::shared_ptr<membership::Roster> roster_;
  std::vector<Account> accounts_;
  Time now_ = 0;
  std::multimap<Time, std::function<void()>> events_;
  std::vector<std::vector<bool>> blocked_;  // by sender and receiver
  double loss_ = 0;
  Time no_kills_until_ = 0;
  ReplicationResult result_;
  std::vector<Router> routers_;  // the last member: what it owns calls back
};

}  // namespace thornwick::emulator
