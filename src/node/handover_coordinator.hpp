// Replaces the process under load: lends sockets and state to a successor, takes over those of a predecessor,
// and reacts when either of them serves or ends (docs/lifecycle.md). net::HandoverServer and
// net::HandoverClient pass the messages.
#pragma once

#include <functional>
#include <memory>

#include "affinity/affinity_table.hpp"
#include "config/config.hpp"
#include "core/request_manager.hpp"
#include "lifecycle/lifecycle.hpp"
#include "net/endpoint_table.hpp"
#include "net/handover.hpp"
#include "net/peer_socket.hpp"
#include "node/downstream_fronts.hpp"
#include "node/drain_watcher.hpp"
#include "node/phase_change.hpp"

namespace thornwick::node {

class HandoverCoordinator {
 public:
  // None is owned; all have to outlive the coordinator.
  struct Dependencies {
    const config::Config& config;
    lifecycle::Lifecycle& router_lifecycle;
    const net::EndpointTable& endpoints;
    net::PeerSocket& peers;
    const core::RequestManager& core;
    const affinity::AffinityTable* affinity_table;  // may be null
    const DownstreamFronts& fronts;
    DrainWatcher& drain_watcher;
  };
  struct Callbacks {
    // This process takes part in the group for the router from now on. May be called more than once.
    std::function<void()> open_cluster;
    // Another process takes part in the group for the router from now on.
    std::function<void()> close_cluster;
    // Called after the lifecycle has entered another phase.
    std::function<void(PhaseChange)> phase_changed;
  };
  HandoverCoordinator(Dependencies dependencies, Callbacks callbacks);

  // Becomes the successor of the process at the other end of `connection`. `predecessor_descriptors`: how
  // many descriptors that process keeps; this one has only the others until that process has ended.
  void join_predecessor(net::Owned<GSocket> connection, std::size_t predecessor_descriptors);
  // Waits for a successor. If it cannot listen for one, it logs a warning, and the router serves on.
  void host();

  // Whether join_predecessor() or host() was called: the start is over.
  bool active() const { return client_ != nullptr || server_ != nullptr; }

 private:
  void on_predecessor_yielded(bool drained);
  void on_predecessor_gone();
  void report_serving();
  net::HandoverState offer();
  bool on_successor_serving();
  void on_successor_lost();

  Dependencies dependencies_;
  Callbacks callbacks_;
  std::size_t descriptor_limit_;  // of this process while it is the only one
  std::unique_ptr<net::HandoverClient> client_;
  std::unique_ptr<net::HandoverServer> server_;
  net::Timer timer_;
};

}  // namespace thornwick::node
