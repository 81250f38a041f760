#include "node/cluster.hpp"

#include <unistd.h>

#include <algorithm>
#include <utility>

#include "logging/log.hpp"
#include "net/unix_socket.hpp"
#include "node/cluster_status.hpp"

namespace thornwick::node {
namespace {

// Channels of the links: complete views of the group, and replicated budgets.
constexpr std::uint8_t kViewChannel = 1;
constexpr std::uint8_t kReplicationChannel = 2;

constexpr std::size_t kNeighbourCount =
    2;  // the members after this one in the roster, to which it maintains links
constexpr int kPeriodsBetweenViews = 10;  // probe periods between two complete views
constexpr Time kMinLinkHeartbeat = milliseconds(500);

}  // namespace

Cluster::Cluster(const config::Config& config, LocalQuotaProxy* quota_proxy)
    : membership_(membership_of(config)),
      group_config_(config.operator_file.group),
      started_at_(net::now_us()),
      probe_period_(static_cast<Time>(group_config_.probe_interval_s * 1e6)) {
  const StartupIdentity startup = load_identity(group_config_.incarnation_file);
  if (!startup.error.empty()) logging::error("membership") << startup.error;
  has_new_disk_ = startup.new_disk;
  open_datagrams();
  start_failure_detection(startup.identity);
  open_links();
  if (config.operator_file.replication.enabled && quota_proxy != nullptr)
    open_replication(config, *quota_proxy, startup.identity.instance_id);
  open_status_socket();
  log_start(startup);
  send_view();
  apply_swim_output();
}

Cluster::~Cluster() {
  if (status_socket_) unlink(group_config_.status_socket.c_str());
}

const std::string& Cluster::listen_address() const {
  return group_config_.listen.empty() ? membership_.roster->at(membership_.self).address
                                      : group_config_.listen;
}

void Cluster::open_datagrams() {
  const auto& roster = *membership_.roster;
  for (std::size_t member = 0; member < roster.size(); ++member)
    addresses_.push_back(net::parse_address(roster.at(member).address));
  datagrams_ = std::make_unique<net::DatagramSocket>(
      listen_address(), nullptr,
      [this](GSocketAddress*, std::span<const std::uint8_t> bytes) { on_datagram(bytes); });
}

void Cluster::start_failure_detection(const membership::Identity& identity) {
  membership::Options options;
  options.period = probe_period_;
  swim_ = std::make_unique<membership::Swim>(membership_.roster, membership_.self, identity, options,
                                             random_number(), net::now_us());
}

void Cluster::open_links() {
  const auto& roster = *membership_.roster;
  net::PeerLinks::Options options;
  for (std::size_t member = 0; member < roster.size(); ++member)
    options.addresses.push_back(roster.at(member).address);
  options.listen = group_config_.peer_links_enabled ? listen_address() : "";
  options.group = roster.hash();
  options.self = membership_.self;
  options.heartbeat = std::max(probe_period_, kMinLinkHeartbeat);
  options.seed = random_number();
  net::PeerLinks::Callbacks callbacks;
  callbacks.received = [this](std::size_t member, std::uint8_t channel, std::string_view bytes) {
    on_link_message(member, channel, bytes);
  };
  callbacks.changed = [this](std::size_t member, net::LinkState state) { on_link_changed(member, state); };
  callbacks.writable = [this](std::size_t member) {
    if (replication_) replication_->on_link_writable(member);
  };
  links_ = std::make_unique<net::PeerLinks>(std::move(options), std::move(callbacks));
  if (!group_config_.peer_links_enabled) return;
  for (std::size_t k = 1; k <= kNeighbourCount && k < roster.size(); ++k)
    links_->maintain_link((membership_.self + k) % roster.size());
}

// Opens the ledgers. If their file cannot be opened, the router stays in its group without replicated
// budgets.
void Cluster::open_replication(const config::Config& config, LocalQuotaProxy& quota_proxy,
                               std::uint32_t instance_id) {
  try {
    replication_ = std::make_unique<ClusterReplication>(config, membership_, *links_, quota_proxy,
                                                        kReplicationChannel, instance_id);
  } catch (const store::StoreError& error) {
    logging::error("replication") << "the ledgers are not replicated and budgets cannot be granted: "
                                  << error.what();
  }
}

void Cluster::open_status_socket() {
  if (group_config_.status_socket.empty()) return;
  status_socket_ = std::make_unique<net::AdminEndpoint>(
      net::listen_unix(group_config_.status_socket),
      "STATUS, STATUS JSON, COPIES, COPIES JSON, GRANT, SET, REPLACE and CORRECTION",
      [this](std::string_view line) { return answer(line); });
}

void Cluster::log_start(const StartupIdentity& startup) const {
  const auto& roster = *membership_.roster;
  logging::info("membership") << roster.at(membership_.self).name << " of group " << group_config_.name
                              << ", " << roster.size() << " routers at " << roster.sites().size()
                              << " sites, datagrams at " << logging::field("datagrams", datagrams_->address())
                              << (group_config_.peer_links_enabled ? ", links at " : "")
                              << logging::field("links", links_->address()) << ", start "
                              << startup.identity.start_number
                              << (startup.new_disk ? " with an empty disk" : " with its disk");
}

void Cluster::on_datagram(std::span<const std::uint8_t> bytes) {
  swim_->on_message(net::now_us(), bytes);
  apply_swim_output();
}

void Cluster::on_link_message(std::size_t member, std::uint8_t channel, std::string_view bytes) {
  if (channel == kReplicationChannel && replication_) {
    replication_->on_frame(member, bytes);
  } else if (channel == kViewChannel) {
    on_view(member, bytes);
  }
}

void Cluster::on_view(std::size_t member, std::string_view bytes) {
  const auto claims = membership::read_claims(bytes, membership_.roster->size());
  if (!claims) return;
  swim_->on_claims(net::now_us(), member, *claims);
  apply_swim_output();
}

void Cluster::on_link_changed(std::size_t member, net::LinkState state) {
  const bool up = state == net::LinkState::up;
  logging::info("peer_link") << "link to " << membership_.roster->at(member).name
                             << (up ? " is up" : " is down");
  if (replication_ && !up) replication_->on_link_lost(member);
  if (up) view_timer_.start(0, [this] { send_view(); });
}

void Cluster::on_tick() {
  swim_->tick(net::now_us());
  apply_swim_output();
}

void Cluster::apply_swim_output() {
  for (const auto& change : swim_->take_changes()) log_change(change);
  for (const auto& sending : swim_->take_datagrams())
    datagrams_->send(addresses_[sending.to].get(), sending.bytes);
  const Time delay = std::max<Time>(0, swim_->next_tick() - net::now_us());
  tick_timer_.start(delay, [this] { on_tick(); });
}

void Cluster::log_change(const membership::Change& change) const {
  const auto& member = membership_.roster->at(change.member);
  const bool is_warning = change.severity == membership::Severity::warning;
  logging::Line(is_warning ? logging::Level::warning : logging::Level::info, "membership")
          .with("member", member.name)
          .with("site", member.site)
      << member.name << ": " << change.text;
}

// Sends the states of all members over all links. Gossip carries only changes; the complete view, sent
// periodically, supplies changes that a router missed because datagrams were lost or the router was absent.
void Cluster::send_view() {
  view_timer_.start(kPeriodsBetweenViews * probe_period_, [this] { send_view(); });
  const std::string view = membership::write_claims(swim_->claims());
  for (std::size_t member = 0; member < membership_.roster->size(); ++member) {
    if (links_->up(member)) links_->send(member, kViewChannel, view);
  }
}

void Cluster::leave() {
  swim_->leave(net::now_us());
  apply_swim_output();
}

void Cluster::flush_before_exit(Time timeout) {
  if (replication_) replication_->flush_before_exit(timeout);
}

std::string Cluster::answer(std::string_view line) const {
  if (replication_) {
    if (std::string answer = replication_->answer(line); !answer.empty()) return answer;
  }
  const GroupStatus status{group_config_.name, *swim_, *links_, net::now_us(), started_at_, has_new_disk_};
  if (line == "STATUS") return status_text(status);
  if (line == "STATUS JSON") return status_json(status).dump() + "\n";
  return {};
}

}  // namespace thornwick::node
