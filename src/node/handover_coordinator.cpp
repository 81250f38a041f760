#include "node/handover_coordinator.hpp"

#include <algorithm>
#include <utility>

#include "logging/log.hpp"
#include "net/memory_account.hpp"
#include "node/config_validation.hpp"
#include "persistence/handover_state.hpp"

namespace thornwick::node {
namespace {

constexpr Time kReadinessInterval =
    milliseconds(20);  // time between two checks whether this process can serve
// A predecessor that does not yield in this time is taken for stopped, and the successor accepts connections.
constexpr Time kYieldTimeout = seconds(1);
// A successor that does not decide about an id in this time is taken for stopped. A held-up process resumes
// within 150 ms.
constexpr Time kClaimTimeout = milliseconds(300);
constexpr Time kClaimCheckInterval = milliseconds(50);
// Ids in an offer, in bytes. The predecessor reports all of them again when the successor asks.
constexpr std::size_t kMaxOfferedIdBytes = 1'000'000;
constexpr std::size_t kSpareDescriptorsDivisor =
    8;  // one in eight descriptors is kept spare during a handover

}  // namespace

HandoverCoordinator::HandoverCoordinator(Dependencies dependencies, Callbacks callbacks)
    : dependencies_(dependencies),
      callbacks_(std::move(callbacks)),
      descriptor_limit_(net::descriptors().limit),
      memory_limit_(net::memory_account().limit()) {
  dependencies_.fronts.request_ids().before_decision([this] {
    if (server_) server_->receive_pending();
    if (client_) client_->receive_pending();
  });
}

void HandoverCoordinator::take_over(net::HandoverState offer) {
  std::size_t& limit = net::descriptors().limit;
  limit -= std::min(limit / 2, offer.reserved_descriptors);
  drained_by_offer_ = offer.drained;
  net::memory_account().set_limit(memory_limit_ / 2);
  net::HandoverClient::Callbacks callbacks;
  callbacks.predecessor_yielded = [this](bool drained) { on_predecessor_yielded(drained); };
  callbacks.predecessor_exited = [this] {
    logging::info("handover") << "the predecessor has exited";
    // The call is deferred because on_predecessor_exited destroys the client, which is running this callback.
    timer_.start(0, [this] { on_predecessor_exited(); });
  };
  lifecycle::RequestIdRegistry& ids = dependencies_.fronts.request_ids();
  callbacks.id_message = [&ids](const lifecycle::IdMessage& message) {
    ids.on_predecessor_message(message, net::now_us());
  };
  set_up_account_messages(callbacks);
  client_ = std::make_unique<net::HandoverClient>(std::move(offer.connection), std::move(callbacks));
  if (offer.request_ids) {
    ids.begin_succession(*offer.request_ids, [this](const lifecycle::IdMessage& message) {
      if (client_) client_->send(message);
    });
    client_->request_ids();
  } else {
    dependencies_.router_lifecycle.end_succession();
    dependencies_.fronts.phase_changed();
  }
  timer_.start(0, [this] { report_serving(); });
}

void HandoverCoordinator::accept_connections() {
  accept_timer_.stop();
  if (dependencies_.router_lifecycle.accepts_connections()) return;
  dependencies_.router_lifecycle.end_succession();
  dependencies_.fronts.phase_changed();
}

// The predecessor has freed the path of the handover socket, so this process can listen there for its own
// successor.
void HandoverCoordinator::on_predecessor_yielded(bool drained) {
  if (!predecessor_counts_accounts_) dependencies_.durable_state.on_predecessor_gone();
  if (drained && dependencies_.router_lifecycle.begin_drain(net::now_us()))
    callbacks_.phase_changed(PhaseChange::predecessor_drained);
  // An operator has ended the drain since the predecessor made its offer.
  if (!drained && drained_by_offer_ && dependencies_.router_lifecycle.end_drain())
    callbacks_.phase_changed(PhaseChange::join_command);
  accept_connections();
  callbacks_.open_cluster();
  if (!server_) listen_for_successor();
}

void HandoverCoordinator::on_predecessor_exited() {
  net::descriptors().limit = descriptor_limit_;
  net::memory_account().set_limit(memory_limit_);
  client_.reset();
  predecessor_counts_accounts_ = false;
  dependencies_.durable_state.on_predecessor_gone();
  dependencies_.fronts.request_ids().on_predecessor_exited(net::now_us());
  accept_connections();
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
  accept_timer_.start(kYieldTimeout, [this] {
    logging::warning("handover") << "the predecessor does not yield: accepting connections beside it";
    accept_connections();
  });
  logging::info("handover") << "serving in the place of the predecessor";
}

void HandoverCoordinator::listen_for_successor() {
  const std::string path = handover_path(dependencies_.config);
  if (path.empty()) return;
  net::HandoverServer::Callbacks callbacks;
  callbacks.offer = [this] { return offer(); };
  callbacks.successor_serving = [this] { return on_successor_serving(); };
  callbacks.successor_lost = [this] { on_successor_lost(); };
  callbacks.ids_requested = [this] { share_ids(); };
  callbacks.successor_notified = [this] {
    dependencies_.fronts.request_ids().let_successor_decide();
    check_claims();
  };
  callbacks.id_message = [this](const lifecycle::IdMessage& message) {
    dependencies_.fronts.request_ids().on_successor_message(message);
  };
  set_up_account_messages(callbacks);
  try {
    server_ = std::make_unique<net::HandoverServer>(path, std::move(callbacks));
  } catch (const net::NetError& error) {
    logging::warning("handover") << error.what();
  }
}

void HandoverCoordinator::share_ids() {
  dependencies_.fronts.request_ids().inform_successor(
      [this](const lifecycle::IdMessage& message) { server_->send(message); });
}

// Requests do not wait longer than kClaimTimeout for a successor that is stopped.
void HandoverCoordinator::check_claims() {
  if (dependencies_.router_lifecycle.phase() != lifecycle::Phase::handed_over) return;
  dependencies_.fronts.request_ids().give_up_claims(net::now_us() - kClaimTimeout);
  claim_timer_.start(kClaimCheckInterval, [this] { check_claims(); });
}

// Returns the ids that an offer has room for.
std::vector<std::string> HandoverCoordinator::offered_ids() const {
  std::vector<std::string> ids = dependencies_.fronts.request_ids().ids();
  std::size_t bytes = 0;
  std::erase_if(ids, [&](const std::string& id) { return (bytes += id.size()) > kMaxOfferedIdBytes; });
  return ids;
}

// Returns the state for a successor. Both processes together may hold as many descriptors as one process
// alone, so this process limits itself to the descriptors that it holds, and a few spare ones to complete the
// requests in flight. The memory for peers is halved for the same reason.
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
  state.request_ids = offered_ids();
  net::descriptors().limit = state.reserved_descriptors;
  net::memory_account().set_limit(memory_limit_ / 2);
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
  net::memory_account().set_limit(memory_limit_);
  dependencies_.fronts.request_ids().on_successor_lost();
  successor_counts_accounts_ = false;
  claim_timer_.stop();
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
