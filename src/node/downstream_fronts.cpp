#include "node/downstream_fronts.hpp"

#include <algorithm>
#include <utility>

#include "logging/log.hpp"
#include "node/connection_options.hpp"

namespace thornwick::node {
namespace {

// An id of usual length, in the set and in the queue of retained ids.
constexpr std::size_t kRetainedIdBytes = 256;

}  // namespace

void DownstreamFronts::open(core::RequestManager& core, net::HandoverState& handover_state) {
  const config::Config& config = dependencies_.config;
  open_server(config.listeners.requests, fronts::platform_dialect(), core, handover_state);
  if (!config.operator_file.messages_listen.empty())
    open_server(config.operator_file.messages_listen, fronts::messages_dialect(), core, handover_state);
}

void DownstreamFronts::open_server(const std::string& address, const fronts::Dialect& dialect,
                                   core::RequestManager& core, net::HandoverState& handover_state) {
  auto options = downstream_options(dependencies_.config);
  options.router_lifecycle = &dependencies_.router_lifecycle;
  options.on_overload_rejection = [&metrics = dependencies_.metrics](std::string_view priority_class) {
    metrics.count_request(priority_class, metrics::RequestState::deferred);
  };
  options.listening_socket = std::move(handover_state.sockets[address]);
  options.address = address;
  options.dialect = &dialect;
  servers_.push_back(std::make_unique<net::DownstreamServer>(std::move(options), dependencies_.names, core,
                                                             shared_admission_));
  logging::info("process") << dialect.name() << " front on " << servers_.back()->address();
}

void DownstreamFronts::share_sockets(net::HandoverState& handover_state) const {
  const config::Config& config = dependencies_.config;
  share_socket(handover_state, config.listeners.requests, servers_.front()->socket());
  if (servers_.size() > 1)
    share_socket(handover_state, config.operator_file.messages_listen, servers_.back()->socket());
}

void DownstreamFronts::phase_changed() {
  for (auto& server : servers_) server->on_phase_changed();
}

void DownstreamFronts::retain_id(const std::string& id, Time now) {
  shared_admission_.request_ids.retain(id, now);
  shared_admission_.retained_id_bytes.set(shared_admission_.request_ids.retained_count() * kRetainedIdBytes);
}

bool DownstreamFronts::has_connections() const {
  return std::any_of(servers_.begin(), servers_.end(),
                     [](const auto& server) { return server->connection_count() > 0; });
}

void share_socket(net::HandoverState& handover_state, const std::string& address, GSocket* socket) {
  if (socket == nullptr) return;
  handover_state.sockets[address].reset(G_SOCKET(g_object_ref(socket)));
}

}  // namespace thornwick::node
