// Replacing the process under load: what this process lends to its successor, takes over from its
// predecessor, and does as either of them comes or goes (docs/lifecycle.md). net::HandoverServer and
// net::HandoverClient carry the messages.
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

namespace thornwick::node {

class HandoverCoordinator {
 public:
  // The parts that a handover reads or changes. All have to outlive the coordinator.
  struct Parts {
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
    std::function<void()>
        open_cluster;  // this process speaks for the router in its group; may be called again
    std::function<void()> close_cluster;  // another process does
    std::function<void(const char* reason)> phase_changed;
  };
  HandoverCoordinator(Parts parts, Callbacks callbacks);

  // Takes part as the successor of the process at the other end of `connection`. `predecessor_descriptors`:
  // what that process keeps; this one does with the rest until it has gone.
  void join_predecessor(net::Owned<GSocket> connection, std::size_t predecessor_descriptors);
  // Waits for a successor. Where nothing can be hosted, a warning is logged and the router serves on.
  void host();

  // There is a predecessor, or a successor may come: the start is over.
  bool active() const { return client_ != nullptr || server_ != nullptr; }

 private:
  void on_predecessor_yielded(bool drained);
  void on_predecessor_gone();
  void report_serving();
  net::HandoverState offer();
  bool on_successor_serving();
  void on_successor_lost();

  Parts parts_;
  Callbacks callbacks_;
  std::size_t descriptor_limit_;  // of this process alone
  std::unique_ptr<net::HandoverClient> client_;
  std::unique_ptr<net::HandoverServer> server_;
  net::Timer timer_;
};

}  // namespace thornwick::node
