// A complete router in one process: the request manager, its connections to clients, replicas, peers and
// operators, and its durable state, all built from one configuration. The router runs on GLib's default main
// loop, in one thread.
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
  // Starts the router, which serves while GLib's main loop runs. `handover_state` is the state that a
  // predecessor has handed over, empty if there is no predecessor. Throws BadConfig or NetError.
  explicit Node(const config::Config& config, net::HandoverState handover_state = {});

  // Applies a new configuration under load. Models, budgets, prices and the address of discovery change at
  // once; all other settings change at the next start. Throws the exceptions of check_config, without effect.
  void reload(const config::Config& config);

  // Begins a graceful shutdown: the router serves requests in flight and new requests until no client is
  // connected.
  void shut_down();
  // Sets the callback for the end of a graceful shutdown or of a handover to a successor. The main loop calls
  // it once no client is connected.
  void on_shut_down(std::function<void()> callback) { drain_watcher_.on_drained(std::move(callback)); }

  // Makes all learned state durable at the end of a graceful shutdown. Blocks for at most `timeout`
  // (microseconds). Returns false if the time was too short.
  [[nodiscard]] bool save(Time timeout);

  // Writes the counters as one line of name=value, without a newline.
  void print_counters(std::ostream& out) const;
  // Calls `print_line` with one line for each replica in the affinity table, for at most 64 replicas.
  // Replicas that have lost trust come first.
  void log_replicas(const std::function<void(const std::string&)>& print_line) const {
    durable_state_.log_replicas(print_line);
  }
  // Returns the operators' metrics, as the admin command DUMP prints them.
  std::string metrics() const;

  const core::RequestManager& core() const { return *core_; }
  // Returns the front for clients at `index`: 0 for the platform's dialect, 1 for the messages dialect if it
  // is configured.
  const net::DownstreamServer& front(std::size_t index) const { return fronts_.at(index); }
  // Returns the number of replicas in the endpoint table.
  std::size_t replica_count() const { return endpoints_.size(); }
  // Each of these objects is null if the configuration does not enable it.
  const net::AdminEndpoint* admin_endpoint() const { return admin_endpoint_.get(); }
  const persistence::StateStore* state_store() const { return durable_state_.state_store(); }
  const affinity::AffinityTable* affinity_table() const { return durable_state_.affinity_table(); }

 private:
  // These functions are called by the constructor only.
  net::EndpointTable::Options endpoint_options() const;
  net::UpstreamPool::Options upstream_pool_options();
  std::unique_ptr<net::FlowExporter> make_flow_exporter() const;
  std::unique_ptr<core::RequestManager> make_core();
  void restore_state(const net::HandoverState& handover_state);
  void restore_endpoints(const net::HandoverState& handover_state);
  void open_admin_endpoint();

  void on_request_end(const core::RequestSummary& summary);
  void on_endpoints(EndpointUpdate scope, std::span<const Endpoint> entries);
  void open_cluster();
  void reload_models(const config::Config& config, Time now);
  void reload_budgets(const config::Config& config, Time now);
  void phase_changed(PhaseChange reason);

  // Members are constructed in this order and destroyed in reverse order. Each member refers only to members
  // above it, except in callbacks, which the main loop calls after all members are constructed.
  config::Config config_;  // the configuration read at the start, with the changes that reload() has applied
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
  models::Pools* pools_ = nullptr;  // owned by the core; null if there is no catalogue
  std::unique_ptr<core::RequestManager> core_;
  DownstreamFronts fronts_;
  AdminCommands admin_commands_;
  std::unique_ptr<net::AdminEndpoint> admin_endpoint_;  // null unless the configuration names an address
  // Null if the router is in no group, and while another process represents the router in its group.
  std::unique_ptr<Cluster> cluster_;
  DrainWatcher drain_watcher_;
  HandoverCoordinator handover_;
  std::uint64_t reload_count_ = 0;
};

}  // namespace thornwick::node
