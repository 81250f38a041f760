// The routers of a replication simulation: virtual time, processes, disks and the network between the
// routers. Faults, clients and checks are built on the cluster (replication_faults.hpp,
// replication_clients.hpp, replication_checks.hpp).
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

// An account of a quota. All routers together enforce the account's limit.
struct Account {
  std::string key;
  budgets::LimitRule rule;
};

// Limits of the accounts, in units.
inline constexpr budgets::Units kWindowLimit = 3'000'000;
inline constexpr budgets::Units kBucketBurst = 300'000;
inline constexpr budgets::Units kBucketRefillPerSecond = 50'000;
inline constexpr const char* kCorrectedAccount = "day|c";  // only corrections change this account

inline constexpr Time kLeaseDuration = seconds(2);

class ReplicationCluster {
 public:
  // Creates the routers without starting their processes.
  explicit ReplicationCluster(const ReplicationOptions& options);
  ReplicationCluster(const ReplicationCluster&) = delete;
  ReplicationCluster& operator=(const ReplicationCluster&) = delete;
  ~ReplicationCluster();

  // Time.
  Time now() const { return now_; }
  // Returns the wall-clock time of a router. Clocks differ in their rates and offsets.
  Time local_time(std::size_t router) const;
  void schedule(Time at, std::function<void()> action);
  // Runs the events of this duration. Stops early if a violation is reported.
  void run_for(Time duration);

  // Processes.
  std::size_t size() const { return routers_.size(); }
  // Starts every process, and the ticks that drive the processes. To be called once.
  void start_all();
  // Has no effect if the process is alive.
  void start(std::size_t router, Disk disk);
  // Has no effect if the process is not alive, or before the time given to forbid_kills_until().
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
  // Runs the action when the suspended process is resumed, unless the process is restarted first.
  void defer(std::size_t router, std::function<void()> action);

  // Disks.
  void slow_disk_down(std::size_t router) { routers_[router].disk_slow = true; }
  void restore_disk_speed(std::size_t router) { routers_[router].disk_slow = false; }
  void fill_disk(std::size_t router) { routers_[router].disk_full = true; }
  void free_disk(std::size_t router) { routers_[router].disk_full = false; }
  // Saves the present state as the older copy of the disk.
  void snapshot_disk(std::size_t router) { routers_[router].older_disk = routers_[router].disk; }
  // Whether a ledger replica of this router was lost with its disk and has not recovered yet.
  bool recovering(std::size_t router) const { return !routers_[router].recovering.empty(); }
  std::size_t recovering_routers() const;

  // Network.
  void block(std::size_t from, std::size_t to) { blocked_[from][to] = true; }
  void unblock(std::size_t from, std::size_t to) { blocked_[from][to] = false; }
  // Sets the probability that a message is lost. The other messages are repeated with half of this
  // probability and delayed with this probability.
  void set_loss(double loss) { loss_ = loss; }

  // Ledgers. Returns the router whose replica leads the ledger, or none.
  std::optional<std::size_t> leader_of(std::size_t ledger) const;
  // Returns the ledger's replica at a router; null if the router is not alive or has no replica of the
  // ledger.
  const replication::LedgerReplica* replica_at(std::size_t router, std::size_t ledger) const;
  const membership::Roster& roster() const { return *roster_; }
  const std::vector<Account>& accounts() const { return accounts_; }

  // Result.
  const ReplicationOptions& options() const { return options_; }
  RandomStream& random() { return random_; }
  ReplicationResult& result() { return result_; }
  void write_log(const std::string& text);
  // Stores the first violation, and ends the simulation.
  void report_violation(const std::string& text);

 private:
  // Writes the records of one ledger to the disk of one router.
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
    std::optional<std::string> value;  // no value: the record is removed
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
    std::uint64_t writes = 0;  // number of writes of the process so far
    DiskRecords disk;
    DiskRecords older_disk;
    std::vector<PendingWrite> pending_writes;
    std::map<std::size_t, std::unique_ptr<LedgerRecords>> records;  // by number of the ledger
    std::unique_ptr<replication::ReplicationNode> node;             // null if there is no process
    std::vector<std::function<void()>> deferred;  // actions to run when the process is resumed
    std::set<std::size_t> recovering;  // ledgers whose replicas have not recovered from a lost disk
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
  std::vector<std::vector<bool>> blocked_;  // by index of the sender and of the receiver
  double loss_ = 0;
  Time no_kills_until_ = 0;
  ReplicationResult result_;
  std::vector<Router> routers_;  // the last member, because the nodes call back into the others
};

}  // namespace thornwick::emulator
