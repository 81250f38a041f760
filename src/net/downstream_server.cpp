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
  if (!router_lifecycle().accepts_connections()) listener_->stop();
}

DownstreamServer::~DownstreamServer() = default;

std::unique_ptr<Listener> DownstreamServer::listen() {
  const auto room = [this] { return has_room(); };
  const auto accepted = [this](Owned<GSocket> socket) { on_accepted(std::move(socket)); };
  if (options_.listening_socket)
    return std::make_unique<Listener>(std::move(options_.listening_socket), room, accepted);
  return std::make_unique<Listener>(options_.address, room, accepted, options_.address_use);
}

// A new connection takes precedence over a connection without a request, which its client can open again.
// Beyond the clients' share of the descriptors, a new connection replaces a connection that has had time to
// send a request, or else a connection between two requests. This protects ordinary clients against crowds of
// clients that connect and send nothing. The descriptors for replicas are never used for clients.
void DownstreamServer::make_room_for_connection() {
  if (connections_.size() > options_.max_busy_connections && !evict(new_connections_, kNewConnectionGrace))
    evict(idle_connections_, 0);
  if (connections_.size() >= options_.max_connections) evict(new_connections_, 0);
}

bool DownstreamServer::has_room() const {
  return connections_.size() < options_.max_connections &&
         descriptors().held + kSpareDescriptors < descriptors().limit;
}

// Closes the first connection of the queue that has waited for `min_waiting` (microseconds) and has no unread
// bytes. Returns false if there is no such connection.
bool DownstreamServer::evict(WaitingQueue& queue, Time min_waiting) {
  const Time now = now_us();
  for (Connection* connection : queue) {
    if (now - connection->waiting_since() < min_waiting) return false;
    if (!connection->nothing_to_read()) continue;
    ++counters_.evicted;
    connection->close("evicted to make room for another connection");
    return true;
  }
  return false;
}

void DownstreamServer::on_accepted(Owned<GSocket> socket) {
  ++counters_.accepted;
  auto connection = std::make_unique<Connection>(*this, std::move(socket));
  Connection* key = connection.get();
  connections_.emplace(key, std::move(connection));
  make_room_for_connection();
}

void DownstreamServer::remove(Connection& connection) {
  const auto found = connections_.find(&connection);
  if (found == connections_.end()) return;
  deferred_delete(std::move(found->second));
  connections_.erase(found);
  if (router_lifecycle().accepts_connections()) listener_->resume();
}

// All waiting connections share one timer, so that many waiting connections are cheap.
void DownstreamServer::start_waiting_check() {
  waiting_check_timer_.start(kWaitingCheckInterval, [this] { check_waiting(); });
}

void DownstreamServer::check_waiting() {
  close_timed_out(new_connections_, kRequestTimeout);
  close_timed_out(idle_connections_, kIdleTimeout);
  if (!new_connections_.empty() || !idle_connections_.empty()) start_waiting_check();
}

void DownstreamServer::close_timed_out(WaitingQueue& queue, Time limit) {
  const Time now = now_us();
  while (!queue.empty() && now - queue.front()->waiting_since() >= limit)
    queue.front()->on_waiting_timed_out();
}

void DownstreamServer::QueuePlace::enter(WaitingQueue& queue) {
  leave();
  queue_ = &queue;
  position_ = queue.insert(queue.end(), &connection_);
}

void DownstreamServer::QueuePlace::leave() {
  if (queue_ != nullptr) queue_->erase(position_);
  queue_ = nullptr;
}

// Rejects the requests that have been read for longest until the account is within its limit. A client that
// sends its request at once is not among them.
void DownstreamServer::free_memory() {
  while (memory_account().pressure() == MemoryPressure::refuse && !half_read_.empty()) {
    ++counters_.evicted;
    half_read_.front()->reject_for_overload();
  }
}

void DownstreamServer::wait_for_memory(QueuePlace& place) {
  place.enter(memory_waiters_);
  if (!memory_timer_.running()) memory_timer_.start(kMemoryCheckInterval, [this] { check_memory(); });
}

// Lets as many connections read on as there is memory for.
void DownstreamServer::check_memory() {
  const MemoryAccount& account = memory_account();
  std::size_t planned = 0;
  while (!memory_waiters_.empty() && account.pressure() == MemoryPressure::none &&
         account.held() + planned < account.limit()) {
    planned += kBytesPerResumption;
    memory_waiters_.front()->resume_reading();
  }
  if (!memory_waiters_.empty()) memory_timer_.start(kMemoryCheckInterval, [this] { check_memory(); });
}

void DownstreamServer::on_phase_changed() {
  if (router_lifecycle().accepts_connections()) {
    listener_->resume();
  } else {
    listener_->stop();
  }
  close_unused();
}

// Closes connections without a request if the phase requires that, and repeats this as long as the phase
// keeps no connections open.
void DownstreamServer::close_unused() {
  const Time now = now_us();
  if (router_lifecycle().closes_idle_connections(now)) {
    while (evict(idle_connections_, 0)) {
    }
  }
  if (router_lifecycle().closes_unused_connections(now)) {
    while (evict(new_connections_, 0)) {
    }
  }
  if (!router_lifecycle().keeps_connections()) {
    close_unused_timer_.start(kCloseUnusedInterval, [this] { close_unused(); });
  }
}

}  // namespace thornwick::net
