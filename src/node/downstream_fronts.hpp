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
  // All have to outlive the fronts.
  struct Dependencies {
    const config::Config& config;
    const lifecycle::Lifecycle& router_lifecycle;
    const fronts::Names& names;
    metrics::Metrics& metrics;
  };
  explicit DownstreamFronts(Dependencies dependencies) : dependencies_(dependencies) {}

  // Listens from then on, at the sockets of the predecessor where it passed them on. Throws NetError.
  void open(core::RequestManager& core, net::HandoverState& handover_state);
  // Adds the listening sockets, which stay open here, to what a successor gets.
  void lend_sockets(net::HandoverState& handover_state) const;
  // The lifecycle's phase has changed.
  void phase_changed();

  bool has_connections() const;
  const net::DownstreamServer& at(std::size_t index) const { return *servers_.at(index); }
  const std::vector<std::unique_ptr<net::DownstreamServer>>& all() const { return servers_; }

 private:
  void open_one(const std::string& address, const fronts::Dialect& dialect, core::RequestManager& core,
                net::HandoverState& handover_state);

  Dependencies dependencies_;
  net::SharedAdmissionState shared_admission_;
  std::vector<std::unique_ptr<net::DownstreamServer>> servers_;
};

// Adds a reference to `socket` to what a successor gets, under the address that the configuration has for it.
// Null: nothing.
void lend_socket(net::HandoverState& handover_state, const std::string& address, GSocket* socket);

}  // namespace thornwick::node
