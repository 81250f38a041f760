#include "emulator/replication_cluster.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace thornwick::emulator {
namespace {

constexpr Time kTick = milliseconds(20);
constexpr Time kWallClockStart = seconds(1'800'000'000);  // a whole minute
constexpr double kClockDrift = 0.008;                     // maximum deviation of a clock's rate from 1
constexpr Time kEntryTimeout = seconds(25);
constexpr Time kResponseTimeout = milliseconds(300);
constexpr std::size_t kSnapshotThreshold = 64;  // number of log entries
constexpr std::size_t kTrailingEntries = 16;
constexpr double kLeaseBlock = 0.02;  // fraction of a limit that a router leases at a time
constexpr double kMaxDelayMs = 400;

std::shared_ptr<membership::Roster> make_virtual_roster(const ReplicationOptions& options) {
  constexpr std::size_t kFirstPort = 1000;
  std::vector<std::string> sites;
  for (std::size_t i = 0; i < options.sites; ++i) sites.push_back(fmt::format("s{}", i));
  std::vector<membership::RouterEntry> entries;
  for (std::size_t i = 0; i < options.routers; ++i) {
    entries.push_back({fmt::format("r{}", i), sites[i % options.sites],
                       fmt::format("127.0.0.1:{}", kFirstPort + i), "router", 0});
  }
  return std::make_shared<membership::Roster>("virtual", sites, entries);
}

const char* name_of(Disk disk) {
  switch (disk) {
    case Disk::same: return "kept";
    case Disk::empty: return "empty";
    case Disk::older: return "older";
  }
  return "";
}

}  // namespace

class ReplicationCluster::LedgerRecords final : public replication::Records {
 public:
  LedgerRecords(ReplicationCluster& cluster, std::size_t router, std::size_t ledger)
      : cluster_(cluster), router_(router), ledger_(ledger) {}

  void write(std::string key, std::optional<std::string> value) override {
    cluster_.write(router_, {ledger_, std::move(key)}, std::move(value));
  }
  std::uint64_t last_write_number() override { return cluster_.routers_[router_].writes; }

 private:
  ReplicationCluster& cluster_;
  std::size_t router_;
  std::size_t ledger_;
};

ReplicationCluster::ReplicationCluster(const ReplicationOptions& options)
    : options_(options),
      random_(options.seed, StreamPurpose::faults),
      roster_(make_virtual_roster(options)),
      accounts_({{"minute|a", {budgets::LimitKind::minute, kWindowLimit, 0}},
                 {"minute|b", {budgets::LimitKind::minute, kWindowLimit, 0}},
                 {"second|a", {budgets::LimitKind::bucket, kBucketBurst, kBucketRefillPerSecond}},
                 {kCorrectedAccount, {budgets::LimitKind::day, kWindowLimit, 0}}}),
      blocked_(options.routers, std::vector<bool>(options.routers, false)),
      routers_(options.routers) {
  for (auto& router : routers_) {
    router.clock_rate = 1 + kClockDrift * (2 * random_.unit() - 1);
    router.clock_offset = static_cast<Time>(static_cast<double>(seconds(1)) * (random_.unit() - 0.5));
  }
}

ReplicationCluster::~ReplicationCluster() = default;

Time ReplicationCluster::local_time(std::size_t router) const {
  const Router& state = routers_[router];
  return kWallClockStart + state.clock_offset +
         static_cast<Time>(static_cast<double>(now_) * state.clock_rate);
}

void ReplicationCluster::schedule(Time at, std::function<void()> action) {
  events_.emplace(at, std::move(action));
}

void ReplicationCluster::run_for(Time duration) {
  const Time until = now_ + duration;
  while (!events_.empty() && events_.begin()->first <= until && result_.violation.empty()) {
    auto event = events_.extract(events_.begin());
    now_ = event.key();
    event.mapped()();
  }
  now_ = until;
}

void ReplicationCluster::write_log(const std::string& text) {
  result_.timeline += fmt::format("{:8.3f}  {}\n", static_cast<double>(now_) / 1e6, text);
}

void ReplicationCluster::report_violation(const std::string& text) {
  if (!result_.violation.empty()) return;
  result_.violation = text;
  write_log("BROKEN: " + text);
}

void ReplicationCluster::write(std::size_t router, RecordKey key, std::optional<std::string> value) {
  Router& state = routers_[router];
  ++state.writes;
  state.pending_writes.push_back({std::move(key), std::move(value)});
  if (!std::exchange(state.flush_scheduled, true)) schedule_flush(router);
}

void ReplicationCluster::schedule_flush(std::size_t router) {
  const double ms = routers_[router].disk_slow ? random_.between(100, 500) : random_.between(1, 8);
  schedule(now_ + static_cast<Time>(1000 * ms), [this, router, scheduled_in = epoch(router)] {
    if (epoch(router) != scheduled_in) return;
    if (!suspended(router)) return flush(router);
    defer(router, [this, router] { flush(router); });
  });
}

void ReplicationCluster::flush(std::size_t router) {
  Router& state = routers_[router];
  if (state.disk_full) return schedule_flush(router);
  for (auto& write : state.pending_writes) {
    if (write.value) {
      state.disk[write.key] = *write.value;
    } else {
      state.disk.erase(write.key);
    }
  }
  state.pending_writes.clear();
  state.flush_scheduled = false;
  state.node->on_durable(local_time(router), state.writes);
}

void ReplicationCluster::load_disk(std::size_t router, Disk disk) {
  Router& state = routers_[router];
  if (disk != Disk::same) {
    for (std::size_t ledger = 0; ledger < options_.ledgers; ++ledger) {
      const auto holders = replication::place_replicas(*roster_, ledger, options_.replicas);
      if (std::find(holders.begin(), holders.end(), router) != holders.end()) state.recovering.insert(ledger);
    }
  }
  if (disk == Disk::empty) {
    state.disk.clear();
    ++result_.lost_disks;
  }
  if (disk == Disk::older) {
    state.disk = state.older_disk;
    ++result_.older_disks;
  } else {
    state.older_disk = state.disk;
  }
}

std::size_t ReplicationCluster::recovering_routers() const {
  return static_cast<std::size_t>(std::count_if(routers_.begin(), routers_.end(),
                                                [](const Router& each) { return !each.recovering.empty(); }));
}

void ReplicationCluster::start_all() {
  for (std::size_t i = 0; i < size(); ++i) start(i, Disk::same);
  schedule_tick();
}

void ReplicationCluster::start(std::size_t router, Disk disk) {
  Router& state = routers_[router];
  if (state.alive) return;
  write_log(fmt::format("r{} starts, disk {}", router, name_of(disk)));
  load_disk(router, disk);
  state.alive = true;
  state.suspended = false;
  ++state.epoch;
  state.writes = 0;
  state.flush_scheduled = false;
  state.pending_writes.clear();
  state.deferred.clear();
  state.node = std::make_unique<replication::ReplicationNode>(node_options(router), node_dependencies(router),
                                                              local_time(router));
  for (const auto& account : accounts_) state.node->quota_client().open(account.key, account.rule);
}

replication::Options ReplicationCluster::node_options(std::size_t router) {
  replication::Options options;
  options.replica.self = router;
  options.replica.replica_count = options_.replicas;
  options.replica.roster = roster_;
  options.replica.lease_duration = kLeaseDuration;
  options.replica.entry_timeout = kEntryTimeout;
  options.replica.snapshot_threshold = kSnapshotThreshold;
  options.replica.trailing_entries = kTrailingEntries;
  options.replica.trust_any_disk = options_.trust_any_disk;
  options.replica.respond_before_majority = options_.respond_before_majority;
  options.quota_client.self = router;
  options.quota_client.replica_count = options_.replicas;
  options.quota_client.roster = roster_;
  options.quota_client.lease_duration = kLeaseDuration;
  options.quota_client.ledger_count = options_.ledgers;
  options.quota_client.instance_id = static_cast<std::uint32_t>(random_.bits());
  options.quota_client.max_prefetch_fraction = kLeaseBlock;
  options.quota_client.response_timeout = kResponseTimeout;
  options.quota_client.overdraft_fraction = options_.overdraft_fraction;
  options.quota_client.use_expired_leases = options_.use_expired_leases;
  return options;
}

replication::ReplicationNode::Dependencies ReplicationCluster::node_dependencies(std::size_t router) {
  return {.records = [this, router](std::size_t ledger) -> replication::Records& {
            auto& records = routers_[router].records[ledger];
            if (!records) records = std::make_unique<LedgerRecords>(*this, router, ledger);
            return *records;
          },
          .stored =
              [this, router](std::size_t ledger, const replication::RecordVisitor& visit) {
                for (const auto& [key, value] : routers_[router].disk) {
                  if (key.ledger == ledger) visit(key.key, value);
                }
              },
          .random_number = [this] { return random_.bits(); },
          .send = [this, router](std::size_t to, const std::string& bytes) { send(router, to, bytes); },
          .write_log = [this, router](
                           replication::Severity,
                           const std::string& text) { write_log(fmt::format("r{}   {}", router, text)); }};
}

void ReplicationCluster::kill(std::size_t router) {
  Router& state = routers_[router];
  if (!state.alive || now_ < no_kills_until_) return;
  write_log(fmt::format("r{} is killed", router));
  ++result_.kills;
  ++state.epoch;
  state.alive = false;
  state.suspended = false;
  state.pending_writes.clear();
  state.node.reset();
}

void ReplicationCluster::suspend(std::size_t router) {
  if (!running(router)) return;
  write_log(fmt::format("r{} is stopped", router));
  ++result_.suspensions;
  routers_[router].suspended = true;
}

void ReplicationCluster::resume(std::size_t router) {
  Router& state = routers_[router];
  if (!state.suspended) return;
  write_log(fmt::format("r{} goes on", router));
  state.suspended = false;
  for (auto& action : std::exchange(state.deferred, {})) action();
}

void ReplicationCluster::defer(std::size_t router, std::function<void()> action) {
  routers_[router].deferred.push_back(std::move(action));
}

void ReplicationCluster::schedule_tick() {
  schedule(now_ + kTick, [this] {
    tick();
    schedule_tick();
  });
}

void ReplicationCluster::tick() {
  for (std::size_t i = 0; i < size(); ++i) {
    if (!running(i)) continue;
    routers_[i].node->tick(local_time(i));
    for (const auto& [ledger, replica] : routers_[i].node->replicas()) {
      if (replica->is_leader()) check_recovered(*replica, ledger);
    }
  }
}

// Marks lost replicas as recovered. A replica has recovered when it is a voter and its disk has all entries
// that the leader had committed, except for the last one.
void ReplicationCluster::check_recovered(const replication::LedgerReplica& leader, std::size_t ledger) {
  if (leader.consensus()->is_changing_members()) return;
  for (const auto& member : leader.consensus()->members()) {
    const std::size_t router = roster_->find(member.name);
    const auto* replica = replica_at(router, ledger);
    if (!member.is_voter || replica == nullptr) continue;
    if (replica->process().id != member.id || replica->stage() != replication::Stage::member) continue;
    if (replica->consensus() == nullptr) continue;
    const bool complete =
        replica->consensus()->position().last_index + 1 >= leader.consensus()->commit_index();
    if (complete && replica->consensus()->commit_index() > 0) routers_[router].recovering.erase(ledger);
  }
}

void ReplicationCluster::send(std::size_t from, std::size_t to, const std::string& bytes) {
  if (blocked_[from][to] || random_.happens(loss_)) return;
  const int times = random_.happens(loss_ / 2) ? 2 : 1;
  for (int i = 0; i < times; ++i) {
    const bool late = random_.happens(loss_);
    const double ms = late ? random_.between(0, kMaxDelayMs) : random_.between(0.2, 3);
    schedule(now_ + static_cast<Time>(1000 * ms), [this, from, to, bytes] { deliver(from, to, bytes); });
  }
}

void ReplicationCluster::deliver(std::size_t from, std::size_t to, const std::string& bytes) {
  if (!alive(to) || blocked_[from][to]) return;
  if (suspended(to)) return defer(to, [this, from, to, bytes] { deliver(from, to, bytes); });
  routers_[to].node->on_message(local_time(to), from, bytes);
}

const replication::LedgerReplica* ReplicationCluster::replica_at(std::size_t router,
                                                                 std::size_t ledger) const {
  if (!alive(router)) return nullptr;
  const auto& replicas = routers_[router].node->replicas();
  const auto found = replicas.find(ledger);
  return found == replicas.end() ? nullptr : found->second.get();
}

std::optional<std::size_t> ReplicationCluster::leader_of(std::size_t ledger) const {
  for (std::size_t i = 0; i < size(); ++i) {
    const auto* replica = replica_at(i, ledger);
    if (replica != nullptr && replica->is_leader()) return i;
  }
  return std::nullopt;
}

}  // namespace thornwick::emulator
