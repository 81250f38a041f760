#include "node/handover_coordinator.hpp"

#include <algorithm>
#include <utility>

#include "logging/log.hpp"
#include "node/config_validation.hpp"
#include "persistence/handover_state.hpp"

namespace thornwick::node {
namespace {

constexpr Time kReadinessInterval = milliseconds(20);  // between two checks whether a new process can serve
constexpr std::size_t kSpareDescriptorsDivisor = 8;    // of the descriptors, spare while a successor starts

}  // namespace

HandoverCoordinator::HandoverCoordinator(Parts parts, Callbacks callbacks)
    : parts_(parts), callbacks_(std::move(callbacks)), descriptor_limit_(net::descriptors().limit) {}

// ---------------------------------------------------------------- as the successor

void HandoverCoordinator::join_predecessor(net::Owned<GSocket> connection,
                                           std::size_t predecessor_descriptors) {
  std::size_t& limit = net::descriptors().limit;
  limit -= std::min(limit / 2, predecessor_descriptors);
  net::HandoverClient::Callbacks callbacks;
  callbacks.yielded = [this](bool drained) { on_predecessor_yielded(drained); };
  callbacks.gone = [this] {
    logging::info("handover") << "the predecessor has gone";
    // Not at once: this destroys the client, whose callback this is.
    timer_.start(0, [this] { on_predecessor_gone(); });
  };
  client_ = std::make_unique<net::HandoverClient>(std::move(connection), std::move(callbacks));
  timer_.start(0, [this] { report_serving(); });
}

// The path is free: this process hosts in its turn.
void HandoverCoordinator::on_predecessor_yielded(bool drained) {
  if (drained && parts_.router_lifecycle.leave(net::now_us()))
    callbacks_.phase_changed("the predecessor was drained");
  callbacks_.open_cluster();
  if (!server_) host();
}

void HandoverCoordinator::on_predecessor_gone() {
  net::descriptors().limit = descriptor_limit_;
  client_.reset();
  callbacks_.open_cluster();
  if (!server_) host();
}

void HandoverCoordinator::report_serving() {
  if (!client_) return;
  if (!parts_.router_lifecycle.can_serve(net::now_us())) {
    timer_.start(kReadinessInterval, [this] { report_serving(); });
    return;
  }
  client_->serving();
  logging::info("handover") << "serving in the place of the predecessor";
}

// ---------------------------------------------------------------- as the predecessor

void HandoverCoordinator::host() {
  const std::string path = handover_path(parts_.config);
  if (path.empty()) return;
  net::HandoverServer::Callbacks callbacks;
  callbacks.offer = [this] { return offer(); };
  callbacks.serving = [this] { return on_successor_serving(); };
  callbacks.lost = [this] { on_successor_lost(); };
  try {
    server_ = std::make_unique<net::HandoverServer>(path, std::move(callbacks));
  } catch (const net::NetError& problem) {
    logging::warning("handover") << problem.what();
  }
}

// Both processes together may hold as many descriptors as one alone: this one keeps those that it holds, and
// a few spare ones for the requests that it finishes.
net::HandoverState HandoverCoordinator::offer() {
  net::HandoverState state;
  parts_.fronts.lend_sockets(state);
  lend_socket(state, parts_.config.listeners.peers, parts_.peers.socket());
  state.drained = parts_.router_lifecycle.drained();
  const std::size_t spare = descriptor_limit_ / kSpareDescriptorsDivisor;
  state.held = std::min(descriptor_limit_, net::descriptors().held + spare);
  state.list = parts_.endpoints.list();
  state.learned_state =
      persistence::encode_handover_state(parts_.core.decider().learned_state(), parts_.affinity_table);
  net::descriptors().limit = state.held;
  return state;
}

// Returns whether this router is drained, for the successor to be so too.
bool HandoverCoordinator::on_successor_serving() {
  parts_.router_lifecycle.hand_over(net::now_us());
  if (client_) client_->passed_on();
  callbacks_.close_cluster();  // its addresses are the successor's from now on
  parts_.peers.listen(false);
  callbacks_.phase_changed("a successor serves");
  parts_.drain_watcher.start();
  return parts_.router_lifecycle.drained();
}

void HandoverCoordinator::on_successor_lost() {
  const bool handed_over = parts_.router_lifecycle.phase() == lifecycle::Phase::handed_over;
  net::descriptors().limit = descriptor_limit_;
  if (!handed_over) return;
  parts_.router_lifecycle.take_back();
  parts_.peers.listen(true);
  callbacks_.open_cluster();
  parts_.drain_watcher.restart_idle_time();
  if (parts_.router_lifecycle.phase() != lifecycle::Phase::winding_down) parts_.drain_watcher.stop();
  callbacks_.phase_changed("the successor is gone");
}

}  // namespace thornwick::node
