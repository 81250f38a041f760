#include "net/downstream_server.hpp"

#include <utility>

#include "net/downstream_connection.hpp"
#include "net/downstream_limits.hpp"

namespace thornwick::net {
namespace {

constexpr std::size_t kSpareDescriptors = 2;  // kept free for connections to replicas

}  // namespace

DownstreamServer::DownstreamServer(Options options, const fronts::RequestNames& names,
                                   core::RequestManager& core, SharedAdmissionState& shared_admission)
    : options_(std::move(options)), names_(names), core_(core), shared_admission_(shared_admission) {
  listener_ = listen();
}

DownstreamServer::~DownstreamServer() = default;

std::unique_ptr<Listener> DownstreamServer::listen() {
  const auto room = [this] { return has_room(); };
  const auto accepted = [this](Owned<GSocket> socket) { on_accepted(std::move(socket)); };
  if (options_.listening_socket)
    return std::make_unique<Listener>(std::move(options_.listening_socket), room, accepted);
  return std::make_unique<Listener>(options_.address, room, accepted, options_.address_use);
}

// ---------------------------------------------------------------- room for connections

// A new connection takes precedence over one without a request, which its client can open again. Beyond the
// clients' share of the descriptors, a new connection replaces one that has had time to send a request, or
// else one between two requests: this protects ordinary clients against crowds that connect and send nothing.
// The descriptors for replicas are never used for clients.
void DownstreamServer::make_room() {
  if (connections_.size() > options_.max_busy_connections && !evict(new_, kNewConnectionGrace))
    evict(idle_, 0);
  if (connections_.size() >= options_.max_connections) evict(new_, 0);
}

bool DownstreamServer::has_room() const {
  return connections_.size() < options_.max_connections &&
         descriptors().held + kSpareDescriptors < descriptors().limit;
}

// Closes the first connection of the queue that has waited for `min_waiting` and has no bytes left to read.
// Returns false if there is none.
bool DownstreamServer::evict(Waiting& queue, Time min_waiting) {
  const Time now = now_us();
  for (Connection* connection : queue) {
    if (now - connection->waiting_since() < min_waiting) return false;
    if (!connection->nothing_to_read()) continue;
    ++counters_.evicted;
    connection->close("its place is needed");
    return true;
  }
  return false;
}

void DownstreamServer::on_accepted(Owned<GSocket> socket) {
  ++counters_.accepted;
  auto connection = std::make_unique<Connection>(*this, std::move(socket));
  Connection* key = connection.get();
  connections_.emplace(key, std::move(connection));
  make_room();
}

void DownstreamServer::remove(Connection& connection) {
  const auto found = connections_.find(&connection);
  if (found == connections_.end()) return;
  deferred_delete(std::move(found->second));
  connections_.erase(found);
  if (router_lifecycle().accepts_connections()) listener_->resume();
}

// ---------------------------------------------------------------- connections without a request

// All waiting connections share one timer, so that a crowd of them is cheap.
void DownstreamServer::start_waiting_check() {
  waiting_check_timer_.start(kWaitingCheckInterval, [this] { check_waiting(); });
}

void DownstreamServer::check_waiting() {
  close_timed_out(new_, kReadLimit);
  close_timed_out(idle_, kIdleLimit);
  if (!new_.empty() || !idle_.empty()) start_waiting_check();
}

void DownstreamServer::close_timed_out(Waiting& queue, Time limit) {
  const Time now = now_us();
  while (!queue.empty() && now - queue.front()->waiting_since() >= limit)
    queue.front()->on_waiting_timed_out();
}

// ---------------------------------------------------------------- the router's lifecycle

void DownstreamServer::on_phase_changed() {
  if (router_lifecycle().accepts_connections()) {
    listener_->resume();
  } else {
    listener_->stop();
  }
  close_unused();
}

// Closes connections without a request if the phase wants it, and repeats that while no connection is kept.
void DownstreamServer::close_unused() {
  const Time now = now_us();
  if (router_lifecycle().closes_idle_connections(now)) {
    while (evict(idle_, 0)) {
    }
  }
  if (router_lifecycle().closes_unused_connections(now)) {
    while (evict(new_, 0)) {
    }
  }
  if (!router_lifecycle().keeps_connections()) {
    sweep_timer_.start(kSweepInterval, [this] { close_unused(); });
  }
}

}  // namespace thornwick::net
