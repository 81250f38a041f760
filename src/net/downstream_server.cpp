#include "net/downstream_server.hpp"

#include <utility>

#include "net/downstream_connection.hpp"
#include "net/downstream_limits.hpp"

namespace thornwick::net {
namespace {

constexpr std::size_t kSpareDescriptors = 2;  // not for clients: the connections to replicas need them

}  // namespace

DownstreamServer::DownstreamServer(Options options, const fronts::Names& names, core::RequestManager& core,
                                   SharedAdmissionState& shared_admission)
    : options_(std::move(options)), names_(names), core_(core), shared_admission_(shared_admission) {
  listener_ = listen();
}

DownstreamServer::~DownstreamServer() = default;

std::unique_ptr<Listener> DownstreamServer::listen() {
  const auto room = [this] { return has_room(); };
  const auto accepted = [this](Owned<GSocket> socket) { on_accepted(std::move(socket)); };
  if (options_.listening) return std::make_unique<Listener>(std::move(options_.listening), room, accepted);
  const AddressUse use = options_.shared ? AddressUse::shared : AddressUse::exclusive;
  return std::make_unique<Listener>(options_.address, room, accepted, use);
}

// ---------------------------------------------------------------- room for connections

// A new client is worth more than a connection without a request, which its client opens anew when it needs
// it. Guards the usual clients against crowds that connect and send nothing: beyond the share of the clients
// a new connection takes the place of one that had time to send a request, or else of one between two
// requests; and what the replicas need is never given away.
void DownstreamServer::make_room() {
  if (connections_.size() > options_.most_connections && !evict(new_, kNewConnectionGrace)) evict(idle_, 0);
  if (connections_.size() >= options_.most_lines) evict(new_, 0);
}

bool DownstreamServer::has_room() const {
  return connections_.size() < options_.most_lines &&
         descriptors().held + kSpareDescriptors < descriptors().limit;
}

// Closes the first of a queue that has waited this long and of which nothing is left to read. False: there is
// none.
bool DownstreamServer::evict(Waiting& queue, Time min_waiting) {
  const Time now = now_us();
  for (Connection* connection : queue) {
    if (now - connection->waiting_since() < min_waiting) return false;
    if (!connection->nothing_to_read()) continue;
    ++counters_.evicted;
    connection->leave("its place is needed");
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

// One timer for all: a crowd has no timers of its own.
void DownstreamServer::start_waiting_check() {
  waiting_check_timer_.start(kWaitingCheckInterval, [this] { check_waiting(); });
}

void DownstreamServer::check_waiting() {
  close_waited_out(new_, kReadLimit);
  close_waited_out(idle_, kIdleLimit);
  if (!new_.empty() || !idle_.empty()) start_waiting_check();
}

void DownstreamServer::close_waited_out(Waiting& queue, Time limit) {
  const Time now = now_us();
  while (!queue.empty() && now - queue.front()->waiting_since() >= limit) queue.front()->on_waited_out();
}

// ---------------------------------------------------------------- the router's lifecycle

void DownstreamServer::phase_changed() {
  if (router_lifecycle().accepts_connections()) {
    listener_->resume();
  } else {
    listener_->stop();
  }
  close_unused();
}

// Closes what has no request while the phase wants it, and looks again as long as no connection is kept.
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
