#include "net/upstream_pool.hpp"

#include <utility>

#include "net/upstream_connection.hpp"

namespace thornwick::net {

UpstreamPool::UpstreamPool(Options options, const EndpointTable& endpoints)
    : options_(std::move(options)), endpoints_(endpoints) {}
UpstreamPool::~UpstreamPool() = default;

const fronts::Dialect& UpstreamPool::dialect_of(const EndpointEntry& entry) const {
  const auto found = options_.dialects_by_uid.find(entry.uid);
  return found == options_.dialects_by_uid.end() ? *options_.dialect : *found->second;
}

void UpstreamPool::launch(core::AttemptId attempt, ReplicaId replica,
                          std::shared_ptr<const core::Payload> payload, Time until, std::uint16_t model) {
  const EndpointEntry* entry = endpoints_.find(replica);
  if (entry == nullptr || !entry->address || !endpoints_.may_send(replica)) {
    return core_->attempt_ended(attempt, Outcome::not_sent);
  }
  const Acquisition acquired = acquire(*entry);
  if (acquired.connection == nullptr) return core_->attempt_ended(attempt, acquired.failure);
  attempts_[attempt] = acquired.connection;
  acquired.connection->carry_attempt(attempt, std::move(payload), until, model);
}

bool UpstreamPool::abandon(core::AttemptId attempt) {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end()) return false;
  Connection* connection = found->second;
  attempts_.erase(found);
  const bool sent = connection->sent();
  connection->close("the attempt was abandoned");
  return sent;
}

void UpstreamPool::pause_reading(core::AttemptId attempt) {
  if (const auto found = attempts_.find(attempt); found != attempts_.end()) found->second->pause_reading();
}

void UpstreamPool::resume_reading(core::AttemptId attempt) {
  if (const auto found = attempts_.find(attempt); found != attempts_.end()) found->second->resume_reading();
}

void UpstreamPool::probe(ReplicaId replica) {
  const EndpointEntry* entry = endpoints_.find(replica);
  Acquisition acquired;
  if (entry != nullptr && entry->address) acquired = acquire(*entry);
  if (acquired.connection == nullptr) return core_->probe_ended(replica, false, {});
  ++counters_.probes;
  acquired.connection->carry_probe();
}

UpstreamPool::Acquisition UpstreamPool::acquire(const EndpointEntry& entry) {
  if (Connection* idle = reuse_idle(entry.listing.id)) return {.connection = idle};
  if (!make_room_for_connection()) {
    ++counters_.no_descriptor;
    // The replica must not be ejected because this router has no descriptor left.
    return {.failure = Outcome::not_sent};
  }
  auto connection = std::make_unique<Connection>(*this, entry);
  if (!connection->connect(entry.address.get())) return {.failure = Outcome::connect_failed};
  ++counters_.opened;
  Connection* key = connection.get();
  connections_.emplace(key, std::move(connection));
  return {.connection = key};
}

UpstreamPool::Connection* UpstreamPool::reuse_idle(ReplicaId replica) {
  for (auto idle = idle_.find(replica); idle != idle_.end(); idle = idle_.find(replica)) {
    Connection* connection = idle->second.back();
    if (connection->has_no_unread_bytes()) {
      remove_from_idle(*connection);
      ++counters_.reused;
      return connection;
    }
    ++counters_.unexpected_bytes;
    connection->close("unexpected bytes from the replica");
  }
  return nullptr;
}

UpstreamPool::Connection* UpstreamPool::oldest_idle() const {
  Connection* oldest = nullptr;
  for (const auto& [replica, connections] : idle_) {
    for (Connection* connection : connections) {
      if (oldest == nullptr || connection->idle_since() < oldest->idle_since()) oldest = connection;
    }
  }
  return oldest;
}

bool UpstreamPool::is_full() const {
  return connections_.size() >= options_.max_connections || descriptors().held + 1 >= descriptors().limit;
}

// Makes room for a new connection by closing the connection that has been idle for longest, if there is no
// room. Returns false if there is still no room.
bool UpstreamPool::make_room_for_connection() {
  if (!is_full()) return true;
  if (Connection* oldest = oldest_idle()) oldest->close("evicted to make room for another connection");
  return !is_full();
}

void UpstreamPool::add_to_idle(Connection& connection) { idle_[connection.replica()].push_back(&connection); }

// A replica without an idle connection has no entry. Otherwise entries would pile up as replicas are
// replaced.
void UpstreamPool::remove_from_idle(Connection& connection) {
  const auto idle = idle_.find(connection.replica());
  if (idle == idle_.end()) return;
  std::erase(idle->second, &connection);
  if (idle->second.empty()) idle_.erase(idle);
}

// Whether the connection's replica may get attempts, and is listed as the process that the connection leads
// to. If it was removed, has moved or was started again, another process may now answer at that address.
bool UpstreamPool::leads_to_listed_endpoint(const Connection& connection) const {
  const EndpointEntry* entry = endpoints_.find(connection.replica());
  return entry != nullptr && endpoints_.may_send(connection.replica()) && connection.leads_to(*entry);
}

void UpstreamPool::on_endpoints_changed() {
  std::vector<Connection*> outdated;
  for (const auto& [replica, connections] : idle_) {
    for (Connection* connection : connections) {
      if (!leads_to_listed_endpoint(*connection)) outdated.push_back(connection);
    }
  }
  for (Connection* connection : outdated)
    connection->close("the replica accepts no new attempts at this address");
}

void UpstreamPool::remove(Connection& connection) {
  remove_from_idle(connection);
  const auto found = connections_.find(&connection);
  if (found == connections_.end()) return;
  deferred_delete(std::move(found->second));
  connections_.erase(found);
}

}  // namespace thornwick::net
