// The connections to replicas, pooled by replica, and the attempts and probes that are sent over the
// connections.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/request_manager.hpp"
#include "fronts/dialect.hpp"
#include "net/endpoint_table.hpp"
#include "net/loop.hpp"

namespace thornwick::net {

// Counts of events of the connections to replicas since the start of the process.
struct UpstreamCounters {
  std::uint64_t opened = 0;
  std::uint64_t reused = 0;
  std::uint64_t replica_draining = 0;  // attempts not sent because the replica drained meanwhile
  std::uint64_t no_descriptor = 0;     // connections not opened because no descriptor was left
  std::uint64_t stalled_streams = 0;   // event streams that stopped without an end
  std::uint64_t probes = 0;
  std::uint64_t malformed_answers = 0;  // answers that violate the protocol
  std::uint64_t unexpected_bytes = 0;   // idle connections closed because of unexpected bytes
};

// A connection carries one attempt at a time. Between attempts, the connection is kept for reuse while its
// replica is listed as ready at the same address.
class UpstreamPool : public core::UpstreamTransport {
 public:
  struct Options {
    Time keepalive = seconds(5);  // replicas close a connection that has been idle for this time
    Time connect_timeout = milliseconds(120);
    Time silence_timeout = seconds(3);      // between two frames of an event stream
    std::vector<std::string> report_names;  // fields of a load report, in the order that the policy uses
    std::size_t max_connections = 400;
    std::size_t max_event_bytes = 256UL * 1024;
    const fronts::Dialect* dialect = nullptr;  // of replicas that `dialects_by_uid` does not name
    std::map<std::string, const fronts::Dialect*> dialects_by_uid;
    // Returns the name of a model by its number in the catalogue. Empty if there is no catalogue.
    std::function<std::string(std::uint16_t)> model_name = {};
    std::function<void()> on_attempt_sent = [] {};  // the kernel has accepted an attempt's last byte
  };

  // `endpoints` is not owned and must outlive the pool.
  UpstreamPool(Options options, const EndpointTable& endpoints);
  ~UpstreamPool() override;
  // Sets the request manager that is notified of the events and the ends of attempts. `core` is not owned.
  // Must be called before the first attempt or probe.
  void attach(core::RequestManager& core) { core_ = &core; }

  // Must be called after each change of the endpoint list. Closes idle connections to replicas that are no
  // longer ready or have another address.
  void on_endpoints_changed();

  void launch(core::AttemptId attempt, ReplicaId replica, std::shared_ptr<const core::Payload> payload,
              Time until, std::uint16_t model) override;
  bool abandon(core::AttemptId attempt) override;
  void pause_reading(core::AttemptId attempt) override;
  void resume_reading(core::AttemptId attempt) override;
  void probe(ReplicaId replica) override;

  std::size_t connection_count() const { return connections_.size(); }
  const UpstreamCounters& counters() const { return counters_; }

 private:
  class Connection;

  // A connection, or the reason why there is none.
  struct Acquisition {
    Connection* connection = nullptr;
    Outcome failure = Outcome::connect_failed;
  };

  Acquisition acquire(const EndpointEntry& entry);
  Connection* reuse_idle(ReplicaId replica);
  Connection* oldest_idle() const;
  bool is_full() const;
  bool make_room_for_connection();
  bool leads_to_listed_endpoint(const Connection& connection) const;
  void add_to_idle(Connection& connection);
  void remove_from_idle(Connection& connection);
  void remove(Connection& connection);
  const fronts::Dialect& dialect_of(const EndpointEntry& entry) const;

  Options options_;
  const EndpointTable& endpoints_;
  core::RequestManager* core_ = nullptr;
  UpstreamCounters counters_;
  std::map<Connection*, std::unique_ptr<Connection>> connections_;
  std::map<ReplicaId, std::vector<Connection*>>
      idle_;  // the connection used last is at the end, and is used next
  std::map<core::AttemptId, Connection*> attempts_;
};

}  // namespace thornwick::net
