// Replaces the process under load: shares sockets and state with a successor, takes over those of a
// predecessor, and reacts when the other process serves or exits (docs/lifecycle.md). net::HandoverServer and
// net::HandoverClient pass the messages.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "affinity/affinity_table.hpp"
#include "config/config.hpp"
#include "core/request_manager.hpp"
#include "lifecycle/lifecycle.hpp"
#include "net/endpoint_table.hpp"
#include "net/handover.hpp"
#include "net/peer_socket.hpp"
#include "node/downstream_fronts.hpp"
#include "node/drain_watcher.hpp"
#include "node/durable_state.hpp"
#include "node/phase_change.hpp"

namespace thornwick::node {

class HandoverCoordinator {
 public:
  // None of the referenced objects is owned; all must outlive the coordinator.
  struct Dependencies {
    const config::Config& config;
    lifecycle::Lifecycle& router_lifecycle;
    const net::EndpointTable& endpoints;
    net::PeerSocket& peers;
    const core::RequestManager& core;
    const affinity::AffinityTable* affinity_table;  // may be null
    DurableState& durable_state;
    DownstreamFronts& fronts;
    DrainWatcher& drain_watcher;
  };
  struct Callbacks {
    // Called when this process begins to represent the router in its group. May be called more than once.
    std::function<void()> open_cluster;
    // Called when another process begins to represent the router in its group.
    std::function<void()> close_cluster;
    // Called after the lifecycle has entered another phase.
    std::function<void(PhaseChange)> phase_changed;
  };
  HandoverCoordinator(Dependencies dependencies, Callbacks callbacks);

  // Becomes the successor of the process that made the offer. Until the predecessor has exited, this process
  // may use only the descriptors that the predecessor does not keep.
  void take_over(net::HandoverState offer);
  // Listens for a successor. If that fails, logs a warning, and the router continues to serve.
  void listen_for_successor();

  // Returns whether the handover was set up: take_over() was called, or listen_for_successor() succeeded.
  bool active() const { return client_ != nullptr || server_ != nullptr; }

 private:
  void on_predecessor_yielded(bool drained);
  void on_predecessor_exited();
  void report_serving();
  void accept_connections();
  void share_ids();
  void set_up_account_messages(net::HandoverClient::Callbacks& callbacks);
  void set_up_account_messages(net::HandoverServer::Callbacks& callbacks);
  budgets::Accounts* shared_accounts() const;
  void report_accounts_to_successor();
  void on_accounts_shared();
  void report_usage(const budgets::UsageChange& change);
  void on_predecessor_account(const net::AccountMessage& message);
  void on_successor_account(const net::AccountMessage& message);
  void check_claims();
  net::HandoverState offer();
  std::vector<std::string> offered_ids() const;
  bool on_successor_serving();
  void on_successor_lost();

  Dependencies dependencies_;
  Callbacks callbacks_;
  std::size_t descriptor_limit_;  // limit of this process while no other process serves the router
  std::size_t memory_limit_;      // the same of the memory account, in bytes
  std::unique_ptr<net::HandoverClient> client_;
  std::unique_ptr<net::HandoverServer> server_;
  net::Timer timer_;
  net::Timer accept_timer_;  // limits the wait for a predecessor that does not yield
  net::Timer claim_timer_;
  bool drained_by_offer_ = false;
  bool successor_counts_accounts_ = false;    // the successor gets reports of accounts
  bool predecessor_counts_accounts_ = false;  // the predecessor sends and takes reports of accounts
};

}  // namespace thornwick::node
