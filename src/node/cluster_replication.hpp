// This router's part in the replicated budgets of its group: replicas of ledgers and the quota lease client,
// joined to links, disk and main loop (docs/replication.md).
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
  // Takes part from then on, and grants what `quota_proxy` asks for. `channel`: of the links, for this alone.
  // `run`: a number of this process alone. Links and proxy have to outlive it. Throws store::StoreError.
  ClusterReplication(const config::Config& config, const Membership& membership, net::Links& links,
                     LocalQuotaProxy& quota_proxy, std::uint8_t channel, std::uint32_t run);
  ~ClusterReplication();
  ClusterReplication(const ClusterReplication&) = delete;
  ClusterReplication& operator=(const ClusterReplication&) = delete;

  // Events of the links.
  void on_frame(std::size_t member, std::string_view bytes);
  void on_link_writable(std::size_t member) { fragmenter_.room(member); }
  void on_link_lost(std::size_t member) { fragmenter_.lost(member); }

  // A planned end: reports what was used and gives the rest back. Runs the main loop until the holders have
  // answered, for `timeout` microseconds at the most.
  void flush_before_exit(Time timeout);

  // The answer to a line at the local socket; empty: it is none of the commands of replication_commands.hpp.
  std::string answer(std::string_view line);

 private:
  void open_store(const config::Config& config);
  void start_replication(const replication::Options& options);
  void log_start() const;

  void on_tick();
  void schedule_tick();
  void keep_links();
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
  net::Links& links_;
  LocalQuotaProxy& quota_proxy_;
  net::MessageFragmenter fragmenter_;
  LoopNotifier store_notifier_;  // outlives the store, whose thread triggers it
  std::unique_ptr<persistence::LedgerStore> store_;
  std::unique_ptr<replication::ReplicationNode> replication_;
  CommandOutcomes outcomes_;
  net::Timer tick_timer_;
  Time next_tick_ = 0;          // 0: none is set
  bool processing_ = false;     // what is asked for meanwhile is scheduled at the end
  bool store_failing_ = false;  // writes fail now
  bool store_full_ = false;     // a write found no room
};

}  // namespace thornwick::node
