// The replicated budgets of a group at this router: its ledger replicas and its quota lease client, connected
// to links, disk and main loop (docs/replication.md).
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
  // Takes part in the replication from then on, and serves the calls of `quota_proxy`. `channel`: the channel
  // of the links that only this object uses. `run`: a random number of this process. `links` and
  // `quota_proxy` are not owned and have to outlive this object. Throws store::StoreError.
  ClusterReplication(const config::Config& config, const Membership& membership, net::PeerLinks& links,
                     LocalQuotaProxy& quota_proxy, std::uint8_t channel, std::uint32_t run);
  ~ClusterReplication();
  ClusterReplication(const ClusterReplication&) = delete;
  ClusterReplication& operator=(const ClusterReplication&) = delete;

  // Events of the links.
  void on_frame(std::size_t member, std::string_view bytes);
  void on_link_writable(std::size_t member) { fragmenter_.on_writable(member); }
  void on_link_lost(std::size_t member) { fragmenter_.on_link_lost(member); }

  // To be called before a planned end: reports the used quota and returns the rest. Runs the main loop until
  // the ledger replicas have answered, for `timeout` (microseconds) at most.
  void flush_before_exit(Time timeout);

  // Runs the command in `line` and returns its answer, or an empty string if the line is none of the commands
  // of replication_commands.hpp.
  std::string answer(std::string_view line);

 private:
  void open_store(const config::Config& config);
  void start_replication(const replication::Options& options);
  void log_start() const;

  void on_tick();
  void schedule_tick();
  void keep_replica_links();
  void log_store_state();

  ReplicationStatus status() const;
  std::string run_command(const ReplicationStatusQuery& query) const;
  std::string run_command(const OutcomeQuery& query) const;
  std::string run_command(const BudgetCorrection& correction);
  std::string run_command(const RouterReplacement& replacement);
  std::string run_command(const BadCommandId&) const;
  std::string begin_correction(const BudgetCorrection& correction);
  void on_decided(std::uint64_t id, const replication::OperatorOutcome& outcome);

  config::ReplicationFile file_;
  std::shared_ptr<const membership::Roster> roster_;
  std::size_t self_;
  net::PeerLinks& links_;
  LocalQuotaProxy& quota_proxy_;
  net::MessageFragmenter fragmenter_;
  LoopNotifier store_notifier_;  // outlives the store, whose thread triggers it
  std::unique_ptr<persistence::LedgerStore> store_;
  std::unique_ptr<replication::ReplicationNode> replication_;
  CommandOutcomes outcomes_;
  net::Timer tick_timer_;
  Time next_tick_ = 0;          // 0: no tick is scheduled
  bool processing_ = false;     // within on_tick(), which schedules the next tick itself
  bool store_failing_ = false;  // the latest write has failed
  bool store_full_ = false;     // a write found no room
};

}  // namespace thornwick::node
