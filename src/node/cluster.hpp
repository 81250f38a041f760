// This router's part in its group: failure detection over datagrams, links to neighbours, replicated budgets,
// and the local socket at which operators ask about them (docs/membership.md, docs/replication.md).
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
  // Takes part from then on. `quota_proxy`: of this router's budgets; null: it has none; otherwise it has to
  // outlive the cluster. Throws BadConfig or NetError.
  Cluster(const config::Config& config, LocalQuotaProxy* quota_proxy);
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  // Tells the others that this router ends.
  void leave();
  // Returns what this router holds of budgets to the others before the process ends. Blocks for `timeout`
  // microseconds at the most.
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
  void on_link_changed(std::size_t member, bool up);
  void on_tick();
  // After each event: logs changes of the view, sends what is due and sets the timer.
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
  std::unique_ptr<net::Datagrams> datagrams_;
  std::unique_ptr<net::Links> links_;
  std::unique_ptr<ClusterReplication> replication_;    // null unless enabled and its file could be opened
  std::unique_ptr<net::AdminEndpoint> status_socket_;  // null unless the operator's file names one
  net::Timer tick_timer_;
  net::Timer view_timer_;
};

}  // namespace thornwick::node
