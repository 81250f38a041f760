// The listeners for clients: the platform's dialect at the configuration's address, and the messages dialect
// where the operator's file names an address for it.
#pragma once

#include <memory>
#include <vector>

#include "config/config.hpp"
#include "lifecycle/lifecycle.hpp"
#include "metrics/metrics.hpp"
#include "net/downstream_server.hpp"
#include "net/handover.hpp"

namespace thornwick::node {

class DownstreamFronts {
 public:
  // None is owned; all have to outlive the fronts.
  struct Dependencies {
    const config::Config& config;
    const lifecycle::Lifecycle& router_lifecycle;
    const fronts::RequestNames& names;
    metrics::Metrics& metrics;
  };
  explicit DownstreamFronts(Dependencies dependencies) : dependencies_(dependencies) {}

  // Listens from then on. Takes the listening sockets out of `handover_state` where a predecessor has handed
  // them over. Throws NetError.
  void open(core::RequestManager& core, net::HandoverState& handover_state);
  // Adds the listening sockets to the state for a successor. They stay open here.
  void lend_sockets(net::HandoverState& handover_state) const;
  // To be called after the lifecycle has entered another phase.
  void phase_changed();

  bool has_connections() const;
  const net::DownstreamServer& at(std::size_t index) const { return *servers_.at(index); }
  const std::vector<std::unique_ptr<net::DownstreamServer>>& servers() const { return servers_; }

 private:
  void open_server(const std::string& address, const fronts::Dialect& dialect, core::RequestManager& core,
                   net::HandoverState& handover_state);

  Dependencies dependencies_;
  net::SharedAdmissionState shared_admission_;
  std::vector<std::unique_ptr<net::DownstreamServer>> servers_;
};

// Adds a reference to `socket` to the state for a successor, under the address that the configuration names.
// Adds nothing if `socket` is null.
void lend_socket(net::HandoverState& handover_state, const std::string& address, GSocket* socket);

}  // namespace thornwick::node
