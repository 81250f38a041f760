// This router as a member of its group: failure detection over datagrams, links to neighbours, replicated
// budgets, and the local socket for the operators' commands (docs/membership.md, docs/replication.md).
#pragma once

#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "config/config.hpp"
#include "membership/swim.hpp"
#include "net/admin_endpoint.hpp"
#include "net/datagrams.hpp"
#include "net/links.hpp"
#include "node/cluster_replication.hpp"
#include "node/config_validation.hpp"
#include "node/identity.hpp"

namespace thornwick::node {

class Cluster {
 public:
  // Joins the group. `quota_proxy`: the proxy of this router's budgets, which is not owned and has to outlive
  // the cluster; null if there are no budgets. Throws BadConfig or NetError.
  Cluster(const config::Config& config, LocalQuotaProxy* quota_proxy);
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  // Notifies the other members that this router shuts down.
  void leave();
  // Returns the quota that this router has leased, to be called before the process ends. Blocks for `timeout`
  // (microseconds) at most.
  void flush_before_exit(Time timeout);

 private:
  void open_datagrams();
  void start_failure_detection(const membership::Identity& identity);
  void open_links();
  void open_replication(const config::Config& config, LocalQuotaProxy& quota_proxy, std::uint32_t run);
  void open_status_socket();
  void log_start(const StartupIdentity& startup) const;
  const std::string& listen_address() const;

  void on_datagram(std::span<const std::uint8_t> bytes);
  void on_link_message(std::size_t member, std::uint8_t channel, std::string_view bytes);
  void on_view(std::size_t member, std::string_view bytes);
  void on_link_changed(std::size_t member, net::LinkState state);
  void on_tick();
  // To be called after each event: logs changes of the view, sends due messages and sets the timer.
  void apply_swim_output();
  void log_change(const membership::Change& change) const;
  void send_view();

  std::string answer(std::string_view line) const;

  Membership membership_;
  config::GroupFile file_;
  Time started_;
  Time period_;  // between two probes
  bool empty_start_ = false;
  std::vector<net::Owned<GSocketAddress>> addresses_;  // by member
  std::unique_ptr<membership::Swim> swim_;
  std::unique_ptr<net::DatagramSocket> datagrams_;
  std::unique_ptr<net::PeerLinks> links_;
  std::unique_ptr<ClusterReplication> replication_;    // null unless enabled and its file could be opened
  std::unique_ptr<net::AdminEndpoint> status_socket_;  // null unless the operator's file names one
  net::Timer tick_timer_;
  net::Timer view_timer_;
};

}  // namespace thornwick::node
