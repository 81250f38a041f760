// A whole router in one process: the request manager, its connections to clients, replicas, peers and
// operators, and its durable state, all built from one configuration. It runs on GLib's default main loop, in
// one thread.
#pragma once

#include <functional>
#include <memory>
#include <ostream>
#include <span>
#include <string>

#include "config/config.hpp"
#include "core/request_manager.hpp"
#include "lifecycle/lifecycle.hpp"
#include "metrics/metrics.hpp"
#include "models/pools.hpp"
#include "net/admin_endpoint.hpp"
#include "net/endpoint_table.hpp"
#include "net/flow_exporter.hpp"
#include "net/handover.hpp"
#include "net/peer_socket.hpp"
#include "net/upstream_pool.hpp"
#include "node/admin_commands.hpp"
#include "node/cluster.hpp"
#include "node/downstream_fronts.hpp"
#include "node/drain_watcher.hpp"
#include "node/durable_state.hpp"
#include "node/handover_coordinator.hpp"
#include "node/loop_clock.hpp"
#include "node/request_recorder.hpp"

namespace thornwick::node {

class Node {
 public:
  // Serves from then on, as long as GLib's main loop runs. `handover_state`: what a predecessor has handed
  // over; empty if there is none. Throws BadConfig or NetError.
  explicit Node(const config::Config& config, net::HandoverState handover_state = {});

  // Applies a new configuration under load. Models, budgets, prices and discovery's address change at once;
  // everything else changes at the next start. Throws what check_config throws, and then nothing has changed.
  void reload(const config::Config& config);

  // Begins a graceful shutdown: requests in flight, and those that still come, are served until no client is
  // left.
  void shut_down();
  // Sets the callback for the end of a graceful shutdown, or of a handover to a successor: it is called on
  // the loop once no client is left.
  void on_shut_down(std::function<void()> callback) { drain_watcher_.on_drained(std::move(callback)); }

  // Makes all learned state durable, at the end of a graceful shutdown. Blocks for `timeout` (microseconds)
  // at most; returns false if that was too short.
  [[nodiscard]] bool save(Time timeout);

  // Writes the counters as one line of name=value, without a newline.
  void print_counters(std::ostream& out) const;
  // Calls `line` with one line for each replica in the affinity table, 64 lines at most. Replicas that have
  // lost trust come first.
  void log_replicas(const std::function<void(const std::string&)>& line) const {
    durable_state_.log_replicas(line);
  }
  // The operators' metrics, as the admin endpoint's DUMP has them.
  std::string metrics() const;

  const core::RequestManager& core() const { return *core_; }
  // 0: the platform's dialect; 1: the messages dialect, where it is configured.
  const net::DownstreamServer& front(std::size_t index) const { return fronts_.at(index); }
  // The number of replicas that are known.
  std::size_t replica_count() const { return endpoints_.size(); }
  // Each of these is null if the configuration does not enable it.
  const net::AdminEndpoint* admin_endpoint() const { return admin_endpoint_.get(); }
  const persistence::StateStore* state_store() const { return durable_state_.state_store(); }
  const affinity::AffinityTable* affinity_table() const { return durable_state_.affinity_table(); }

 private:
  // Steps of the construction.
  net::EndpointTable::Options endpoint_options() const;
  net::UpstreamPool::Options upstream_pool_options();
  std::unique_ptr<net::FlowExporter> make_flow_exporter() const;
  std::unique_ptr<core::RequestManager> make_core();
  void restore_state(const net::HandoverState& handover_state);
  void restore_endpoints(const net::HandoverState& handover_state);
  void open_admin_endpoint();

  void on_endpoints(EndpointUpdate scope, std::span<const Endpoint> entries);
  void open_cluster();
  void reload_models(const config::Config& config, Time now);
  void reload_budgets(const config::Config& config, Time now);
  void phase_changed(PhaseChange reason);

  // Members are constructed in this order and destroyed in the reverse one. Each refers only to members above
  // it, except in callbacks, which the main loop calls once all are constructed.
  config::Config config_;  // as read at the start, with the changes that reload() has applied
  lifecycle::Lifecycle lifecycle_{net::now_us()};
  metrics::Metrics metrics_;
  fronts::RequestNames names_;
  LoopClock clock_;
  net::EndpointTable endpoints_;
  net::PeerSocket peers_;
  net::UpstreamPool upstream_;
  std::unique_ptr<net::FlowExporter> flow_exporter_;  // null unless flow records are configured
  DurableState durable_state_;
  RequestRecorder recorder_;
  models::Pools* pools_ = nullptr;  // owned by the core; null where there is no catalogue
  std::unique_ptr<core::RequestManager> core_;
  DownstreamFronts fronts_;
  AdminCommands admin_commands_;
  std::unique_ptr<net::AdminEndpoint> admin_endpoint_;  // null unless the configuration names an address
  std::unique_ptr<Cluster>
      cluster_;  // null without a group, and while another process takes part for the router
  DrainWatcher drain_watcher_;
  HandoverCoordinator handover_;
  std::uint64_t reloads_ = 0;
};

}  // namespace thornwick::node
