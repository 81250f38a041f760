#include "node/handover_coordinator.hpp"

#include <algorithm>
#include <utility>

#include "logging/log.hpp"
#include "node/config_validation.hpp"
#include "persistence/handover_state.hpp"

namespace thornwick::node {
namespace {

constexpr Time kReadinessInterval =
    milliseconds(20);  // time between two checks whether this process can serve
constexpr std::size_t kSpareDescriptorsDivisor =
    8;  // one in eight descriptors is kept spare during a handover

}  // namespace

HandoverCoordinator::HandoverCoordinator(Dependencies dependencies, Callbacks callbacks)
    : dependencies_(dependencies),
      callbacks_(std::move(callbacks)),
      descriptor_limit_(net::descriptors().limit) {}

void HandoverCoordinator::take_over(net::Owned<GSocket> connection, std::size_t predecessor_descriptors) {
  std::size_t& limit = net::descriptors().limit;
  limit -= std::min(limit / 2, predecessor_descriptors);
  net::HandoverClient::Callbacks callbacks;
  callbacks.predecessor_yielded = [this](bool drained) { on_predecessor_yielded(drained); };
  callbacks.predecessor_exited = [this] {
    logging::info("handover") << "the predecessor has exited";
    // The call is deferred because on_predecessor_exited destroys the client, which is running this callback.
    timer_.start(0, [this] { on_predecessor_exited(); });
  };
  client_ = std::make_unique<net::HandoverClient>(std::move(connection), std::move(callbacks));
  timer_.start(0, [this] { report_serving(); });
}

// The predecessor has freed the path of the handover socket, so this process can listen there for its own
// successor.
void HandoverCoordinator::on_predecessor_yielded(bool drained) {
  if (drained && dependencies_.router_lifecycle.begin_drain(net::now_us()))
    callbacks_.phase_changed(PhaseChange::predecessor_drained);
  callbacks_.open_cluster();
  if (!server_) listen_for_successor();
}

void HandoverCoordinator::on_predecessor_exited() {
  net::descriptors().limit = descriptor_limit_;
  client_.reset();
  callbacks_.open_cluster();
  if (!server_) listen_for_successor();
}

void HandoverCoordinator::report_serving() {
  if (!client_) return;
  if (!dependencies_.router_lifecycle.can_serve(net::now_us())) {
    timer_.start(kReadinessInterval, [this] { report_serving(); });
    return;
  }
  client_->send_serving();
  logging::info("handover") << "serving in the place of the predecessor";
}

void HandoverCoordinator::listen_for_successor() {
  const std::string path = handover_path(dependencies_.config);
  if (path.empty()) return;
  net::HandoverServer::Callbacks callbacks;
  callbacks.offer = [this] { return offer(); };
  callbacks.successor_serving = [this] { return on_successor_serving(); };
  callbacks.successor_lost = [this] { on_successor_lost(); };
  try {
    server_ = std::make_unique<net::HandoverServer>(path, std::move(callbacks));
  } catch (const net::NetError& error) {
    logging::warning("handover") << error.what();
  }
}

// Returns the state for a successor. Both processes together may hold as many descriptors as one process
// alone, so this process limits itself to the descriptors that it holds, and a few spare ones to complete the
// requests in flight.
net::HandoverState HandoverCoordinator::offer() {
  net::HandoverState state;
  dependencies_.fronts.share_sockets(state);
  share_socket(state, dependencies_.config.listeners.peers, dependencies_.peers.socket());
  state.drained = dependencies_.router_lifecycle.drained();
  const std::size_t spare = descriptor_limit_ / kSpareDescriptorsDivisor;
  state.reserved_descriptors = std::min(descriptor_limit_, net::descriptors().held + spare);
  state.endpoint_list = dependencies_.endpoints.list_json();
  state.learned_state = persistence::encode_handover_state(dependencies_.core.decider().learned_state(),
                                                           dependencies_.affinity_table);
  net::descriptors().limit = state.reserved_descriptors;
  return state;
}

// Returns whether this router is drained. If it is, the successor becomes drained too.
bool HandoverCoordinator::on_successor_serving() {
  dependencies_.router_lifecycle.hand_over(net::now_us());
  if (client_) client_->send_handed_over();
  callbacks_.close_cluster();  // the successor now uses the addresses of the cluster
  dependencies_.peers.pause_reading();
  callbacks_.phase_changed(PhaseChange::successor_serving);
  dependencies_.drain_watcher.start();
  return dependencies_.router_lifecycle.drained();
}

void HandoverCoordinator::on_successor_lost() {
  const bool handed_over = dependencies_.router_lifecycle.phase() == lifecycle::Phase::handed_over;
  net::descriptors().limit = descriptor_limit_;
  if (!handed_over) return;
  dependencies_.router_lifecycle.cancel_handover();
  dependencies_.peers.resume_reading();
  callbacks_.open_cluster();
  dependencies_.drain_watcher.restart_idle_time();
  if (dependencies_.router_lifecycle.phase() != lifecycle::Phase::shutting_down)
    dependencies_.drain_watcher.stop();
  callbacks_.phase_changed(PhaseChange::successor_lost);
}

}  // namespace thornwick::node
