// Runs the replicated budgets of the group at this router: connects its ledger replicas and its quota lease
// client to the links, the disk and the main loop (docs/replication.md).
#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "config/config.hpp"
#include "net/message_fragmenter.hpp"
#include "node/config_validation.hpp"
#include "node/local_quota_proxy.hpp"
#include "node/loop_notifier.hpp"
#include "node/replication_commands.hpp"
#include "node/replication_status.hpp"
#include "persistence/ledger_store.hpp"
#include "replication/replication_node.hpp"

namespace thornwick::node {

class ClusterReplication {
 public:
  // Takes part in replication and serves the calls of `quota_proxy` until destruction. `channel` is a channel
  // of the links that no other object uses. `instance_id` is a random number that identifies this process.
  // `links` and `quota_proxy` are not owned and must outlive this object. Throws store::StoreError.
  ClusterReplication(const config::Config& config, const Membership& membership, net::PeerLinks& links,
                     LocalQuotaProxy& quota_proxy, std::uint8_t channel, std::uint32_t instance_id);
  ~ClusterReplication();
  ClusterReplication(const ClusterReplication&) = delete;
  ClusterReplication& operator=(const ClusterReplication&) = delete;

  // Handlers of events of the links. `member` is an index of the roster.
  void on_frame(std::size_t member, std::string_view bytes);
  void on_link_writable(std::size_t member) { fragmenter_.on_writable(member); }
  void on_link_lost(std::size_t member) { fragmenter_.on_link_lost(member); }

  // Reports the used quota to the ledgers and returns the unused quota. Call it before the process exits.
  // Runs the main loop until the ledger replicas have answered, for at most `timeout` (microseconds).
  void flush_before_exit(Time timeout);

  // Runs the command in `line` and returns its answer. Returns an empty string if the line is none of the
  // commands of replication_commands.hpp.
  std::string answer(std::string_view line);

 private:
  void open_store(const config::Config& config);
  void start_replication(const replication::Options& options);
  void log_start() const;

  void on_tick();
  void schedule_tick();
  void maintain_replica_links();
  void log_store_state();

  ReplicationStatus status() const;
  std::string run_command(const ReplicationStatusQuery& query) const;
  std::string run_command(const OutcomeQuery& query) const;
  std::string run_command(const BudgetCorrection& correction);
  std::string run_command(const RouterReplacement& replacement);
  std::string run_command(const InvalidCommandId&) const;
  std::string begin_correction(const BudgetCorrection& correction);
  void on_command_decided(std::uint64_t id, const replication::OperatorOutcome& outcome);

  config::ReplicationFile replication_config_;
  std::shared_ptr<const membership::Roster> roster_;
  std::size_t self_;
  net::PeerLinks& links_;
  LocalQuotaProxy& quota_proxy_;
  net::MessageFragmenter fragmenter_;
  LoopNotifier store_notifier_;  // destroyed after the store, whose thread triggers the notifier
  std::unique_ptr<persistence::LedgerStore> store_;
  std::unique_ptr<replication::ReplicationNode> replication_;
  CommandOutcomes outcomes_;
  net::Timer tick_timer_;
  Time next_tick_ = 0;  // time of the scheduled tick; 0 if none is scheduled
  bool is_processing_ =
      false;  // true within on_tick() and on_frame(), which schedule the next tick themselves
  bool store_writes_fail_ = false;  // whether the latest write of the store failed
  bool store_full_ = false;         // whether a write failed for lack of room
};

}  // namespace thornwick::node
