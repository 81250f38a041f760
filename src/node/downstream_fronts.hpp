// Listens for clients: with the platform's dialect at the configuration's address, and with the messages
// dialect if the operator's file names an address for it.
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
  // None of the referenced objects is owned; all must outlive the fronts.
  struct Dependencies {
    const config::Config& config;
    const lifecycle::Lifecycle& router_lifecycle;
    const fronts::RequestNames& names;
    metrics::Metrics& metrics;
  };
  explicit DownstreamFronts(Dependencies dependencies) : dependencies_(dependencies) {}

  // Starts to listen. Takes listening sockets that a predecessor has handed over out of `handover_state`, and
  // opens the others. Throws NetError.
  void open(core::RequestManager& core, net::HandoverState& handover_state);
  // Adds references to the listening sockets to the state for a successor. The sockets stay open here.
  void share_sockets(net::HandoverState& handover_state) const;
  // Notifies the servers of a change of phase. Call it after the lifecycle has entered another phase.
  void phase_changed();

  // The ids of the requests of all servers.
  lifecycle::RequestIdRegistry& request_ids() { return shared_admission_.request_ids; }
  // The request may still run although its client gets no answer: its id is refused for a while.
  void retain_id(const std::string& id, Time now);
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

// Adds a reference to `socket` to the state for a successor. `address` is the address as the configuration
// has it. Adds nothing if `socket` is null.
void share_socket(net::HandoverState& handover_state, const std::string& address, GSocket* socket);

}  // namespace thornwick::node
