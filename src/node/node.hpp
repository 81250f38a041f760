// A whole router in one process: the core, its connections to clients, replicas, peers and operators, and
// what it keeps on disk, built from one configuration. Runs on GLib's default main loop, in one thread.
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
  // Serves from then on, as long as GLib's main loop runs; takes over what a predecessor passed on, if there
  // is one. Throws BadConfig or NetError.
  explicit Node(const config::Config& config, net::HandoverState handover_state = {});

  // Takes a new configuration under load: models, budgets, prices and discovery's address hold at once, all
  // else from the next start on. Throws what check_config throws, and then nothing has changed.
  void reload(const config::Config& config);

  // A planned stop: requests that still come are served. `when_over` is called once no client is left.
  void wind_down();
  // Called on the loop when no client is left after wind_down, or after a successor has taken over.
  void when_over(std::function<void()> done) { drain_watcher_.on_drained(std::move(done)); }

  // Makes all learned state durable, for a planned stop. Blocks for `timeout` microseconds at the most;
  // false: the time was too short.
  [[nodiscard]] bool save(Time timeout);

  // Writes one line of name=value, without its end.
  void print_counters(std::ostream& out) const;
  // Calls `line` with a line about each replica in the affinity table: those that lost trust first, 64 at the
  // most.
  void log_replicas(const std::function<void(const std::string&)>& line) const {
    durable_state_.log_replicas(line);
  }
  // The operators' metrics, as the admin endpoint's DUMP has them.
  std::string metrics() const;

  const core::RequestManager& core() const { return *core_; }
  // 0: the platform's dialect; 1: the messages dialect, where it is configured.
  const net::DownstreamServer& front(std::size_t index) const { return fronts_.at(index); }
  // How many replicas are known.
  std::size_t targets() const { return endpoints_.size(); }
  // Each is null where the configuration asks for none.
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
  void phase_changed(const char* reason);

  // Built in this order and destroyed in the reverse one: each part refers only to parts above it, apart from
  // callbacks that the main loop calls once all are built.
  config::Config config_;  // as read at the start, with what reload has taken over
  lifecycle::Lifecycle lifecycle_{net::now_us()};
  metrics::Metrics metrics_;
  fronts::Names names_;
  LoopClock clock_;
  net::EndpointTable endpoints_;
  net::PeerSocket peers_;
  net::UpstreamPool upstream_;
  std::unique_ptr<net::FlowExporter> flow_exporter_;  // null unless flow records are asked for
  DurableState durable_state_;
  RequestRecorder recorder_;
  models::Pools* pools_ = nullptr;  // owned by the core; null where there is no catalogue
  std::unique_ptr<core::RequestManager> core_;
  DownstreamFronts fronts_;
  AdminCommands admin_commands_;
  std::unique_ptr<net::AdminEndpoint> admin_endpoint_;  // null unless the configuration names an address
  std::unique_ptr<Cluster> cluster_;  // null without a group, and while another process speaks for the router
  DrainWatcher drain_watcher_;
  HandoverCoordinator handover_;
  std::uint64_t reloads_ = 0;
};

}  // namespace thornwick::node
