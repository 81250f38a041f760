// The connections to replicas: a pool for each replica, and the attempts and probes that go over them.
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

// What has happened with connections to replicas since the start.
struct UpstreamCounters {
  std::uint64_t opened = 0;
  std::uint64_t reused = 0;
  std::uint64_t drained_meanwhile = 0;  // attempts not sent: the replica was to get no more by then
  std::uint64_t no_descriptor = 0;      // connections not opened for want of one
  std::uint64_t silent = 0;             // answers that stopped in mid-stream
  std::uint64_t probes = 0;
  std::uint64_t spoilt = 0;   // answers that broke the rules
  std::uint64_t unclean = 0;  // idle connections closed because bytes had come over them
};

// Runs each attempt over a connection of its own, one at a time on a connection. Connections are kept between
// attempts while the replica is listed as ready at the same address.
class UpstreamPool : public core::UpstreamTransport {
 public:
  struct Options {
    Time keepalive = seconds(5);  // of the replicas: they close a connection that was idle for so long
    Time dial_limit = milliseconds(120);
    Time silence_limit = seconds(3);        // of a stream that has begun
    std::vector<std::string> report_names;  // the fields of a load report, in the order the policy wants
    std::size_t most_connections = 400;
    std::size_t most_frame = 256UL * 1024;                  // bytes of one event
    const fronts::Dialect* dialect = nullptr;               // of replicas that are not named below
    std::map<std::string, const fronts::Dialect*> by_name;  // uid -> dialect
    // By its number in the catalogue; empty: as asked.
    std::function<std::string(std::uint16_t)> model_name = {};
    std::function<void()> sent = [] {};  // the last byte of an attempt was written
  };

  // The table is not owned.
  UpstreamPool(Options options, const EndpointTable& endpoints);
  ~UpstreamPool() override;
  // Where ends and events of attempts go; not owned. Set before anything is launched.
  void serve(core::RequestManager& core) { core_ = &core; }

  // The list has changed: idle connections to replicas that are no longer ready, or listen elsewhere, are
  // closed.
  void on_endpoints_changed();

  void launch(core::AttemptId attempt, ReplicaId replica, std::shared_ptr<const core::Payload> payload,
              Time until, std::uint16_t model) override;
  bool abandon(core::AttemptId attempt) override;
  void pause_reading(core::AttemptId attempt) override;
  void resume_reading(core::AttemptId attempt) override;
  void probe(ReplicaId replica) override;

  std::size_t connections() const { return connections_.size(); }
  const UpstreamCounters& counters() const { return counters_; }

 private:
  class Connection;

  // A connection, or why there is none.
  struct Acquired {
    Connection* connection = nullptr;
    Outcome failure = Outcome::connect_failed;
  };

  Acquired acquire(const EndpointEntry& entry);
  Connection* reuse_idle(ReplicaId replica);
  Connection* oldest_idle() const;
  bool is_full() const;
  bool make_room();
  bool leads_to_listed(const Connection& connection) const;
  void add_to_idle(Connection& connection);
  void remove_from_idle(Connection& connection);
  void remove(Connection& connection);
  const fronts::Dialect& dialect_of(const EndpointEntry& entry) const;

  Options options_;
  const EndpointTable& endpoints_;
  core::RequestManager* core_ = nullptr;
  UpstreamCounters counters_;
  std::map<Connection*, std::unique_ptr<Connection>> connections_;
  std::map<ReplicaId, std::vector<Connection*>> idle_;  // the one used last is at the end, and is used next
  std::map<core::AttemptId, Connection*> attempts_;
};

}  // namespace thornwick::net
