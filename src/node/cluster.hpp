// Makes this router a member of its group: failure detection over datagrams, links to other members,
// replicated budgets, and the Unix socket for operators' commands (docs/membership.md, docs/replication.md).
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
  // Joins the group. `quota_proxy` is the proxy of this router's budgets, or null if budgets are not
  // replicated; it is not owned and must outlive the cluster. Throws BadConfig or NetError.
  Cluster(const config::Config& config, LocalQuotaProxy* quota_proxy);
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  // Notifies the other members that this router is shutting down.
  void leave();
  // Returns leased quota to the ledgers. Call it before the process exits. Blocks for at most `timeout`
  // (microseconds).
  void flush_before_exit(Time timeout);

 private:
  void open_datagrams();
  void start_failure_detection(const membership::Identity& identity);
  void open_links();
  void open_replication(const config::Config& config, LocalQuotaProxy& quota_proxy,
                        std::uint32_t instance_id);
  void open_status_socket();
  void log_start(const StartupIdentity& startup) const;
  const std::string& listen_address() const;

  void on_datagram(std::span<const std::uint8_t> bytes);
  void on_link_message(std::size_t member, std::uint8_t channel, std::string_view bytes);
  void on_view(std::size_t member, std::string_view bytes);
  void on_link_changed(std::size_t member, net::LinkState state);
  void on_tick();
  // Logs changes of member states, sends pending datagrams and starts the timer for the next tick. Call it
  // after each call of `swim_`.
  void apply_swim_output();
  void log_change(const membership::Change& change) const;
  void send_view();

  std::string answer(std::string_view line) const;

  Membership membership_;
  config::GroupFile group_config_;
  Time started_at_;
  Time probe_period_;  // time between two probes, in microseconds
  bool has_new_disk_ = false;
  std::vector<net::Owned<GSocketAddress>> addresses_;  // datagram addresses, by index of the member
  std::unique_ptr<membership::Swim> swim_;
  std::unique_ptr<net::DatagramSocket> datagrams_;
  std::unique_ptr<net::PeerLinks> links_;
  std::unique_ptr<ClusterReplication>
      replication_;  // null unless replication is enabled and its file could be opened
  std::unique_ptr<net::AdminEndpoint> status_socket_;  // null unless the operator's file has group.status
  net::Timer tick_timer_;
  net::Timer view_timer_;
};

}  // namespace thornwick::node
