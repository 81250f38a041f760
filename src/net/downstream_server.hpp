// The server for clients: listens, reads requests, and writes each answer to the connection of its request.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "core/request_manager.hpp"
#include "fronts/dialect.hpp"
#include "lifecycle/lifecycle.hpp"
#include "lifecycle/request_ids.hpp"
#include "net/loop.hpp"
#include "net/memory_account.hpp"

namespace thornwick::net {

// Counts of events of clients' connections since the start of the process.
struct DownstreamCounters {
  std::uint64_t accepted = 0;  // connections that were accepted
  // Requests that cannot be read or used, or whose id is in use or may be.
  std::uint64_t invalid_requests = 0;
  std::uint64_t health_checks = 0;  // answered, of load balancers
  // Requests rejected for overload before the request manager had them.
  std::uint64_t overload_rejections = 0;
  std::uint64_t timed_out = 0;  // connections closed that sent no request in time
  std::uint64_t evicted = 0;    // connections without a request closed to make room
};

// The state of admission that all servers of a router share.
struct SharedAdmissionState {
  lifecycle::RequestIdRegistry request_ids;
  HeldBytes retained_id_bytes{MemoryUse::names};
};

class DownstreamServer {
 public:
  struct Options {
    std::string address;
    const fronts::Dialect* dialect = nullptr;
    // Connections with a request in flight; further requests are rejected.
    std::size_t max_busy_connections = 400;
    std::size_t max_connections = 450;  // connections with and without a request
    std::size_t max_body_bytes = 48UL * 1024 * 1024;
    // The number of unsent bytes to one client above which reading from its replica pauses.
    std::size_t congestion_bytes = 256UL * 1024;
    Time overload_retry_after = 0;                   // advised with a rejection for overload; 0: no advice
    Owned<GSocket> listening_socket = {};            // a listening socket; null: one is opened at the address
    AddressUse address_use = AddressUse::exclusive;  // shared: a successor may listen at the same address
    const lifecycle::Lifecycle* router_lifecycle = nullptr;  // not owned
    // Is called when a request was rejected for overload before the request manager had it. The argument is
    // the request's class, as the client names it.
    std::function<void(std::string_view)> on_overload_rejection = [](std::string_view) {};
    // Returns the name of a model by its number in the catalogue. Empty if there is no catalogue.
    std::function<std::string(std::uint16_t)> model_name = {};
  };

  // Listens from now on. `names`, `core` and `shared_admission` are not owned and have to outlive the
  // server. Throws NetError if it cannot listen.
  DownstreamServer(Options options, const fronts::RequestNames& names, core::RequestManager& core,
                   SharedAdmissionState& shared_admission);
  ~DownstreamServer();

  // Must be called after the router's lifecycle has entered another phase. Accepts, keeps and closes
  // connections as the phase requires.
  void on_phase_changed();
  std::string address() const { return listener_->address(); }
  GSocket* socket() const { return listener_->socket(); }
  std::size_t connection_count() const { return connections_.size(); }
  const DownstreamCounters& counters() const { return counters_; }

 private:
  class Connection;
  using WaitingQueue = std::list<Connection*>;  // the connection that has waited longest comes first

  // The place of a connection in one of the queues of its server, or in none. It is not left at its
  // destruction, because the server destroys its queues first.
  class QueuePlace {
   public:
    explicit QueuePlace(Connection& connection) : connection_(connection) {}
    QueuePlace(const QueuePlace&) = delete;
    QueuePlace& operator=(const QueuePlace&) = delete;
    void enter(WaitingQueue& queue);
    void leave();
    WaitingQueue* queue() const { return queue_; }

   private:
    Connection& connection_;
    WaitingQueue* queue_ = nullptr;
    WaitingQueue::iterator position_;
  };

  const lifecycle::Lifecycle& router_lifecycle() const { return *options_.router_lifecycle; }
  std::unique_ptr<Listener> listen();
  bool has_room() const;
  void make_room_for_connection();
  bool evict(WaitingQueue& queue, Time min_waiting);
  void on_accepted(Owned<GSocket> socket);
  void remove(Connection& connection);
  void start_waiting_check();
  void check_waiting();
  void close_timed_out(WaitingQueue& queue, Time limit);
  void close_unused();
  void free_memory();
  void wait_for_memory(QueuePlace& place);
  void check_memory();

  Options options_;
  const fronts::RequestNames& names_;
  core::RequestManager& core_;
  DownstreamCounters counters_;
  SharedAdmissionState& shared_admission_;
  std::map<Connection*, std::unique_ptr<Connection>> connections_;
  WaitingQueue new_connections_;   // connections that have not sent a complete request yet
  WaitingQueue idle_connections_;  // connections between two requests
  WaitingQueue half_read_;         // connections with a request that is not read completely
  WaitingQueue memory_waiters_;    // half-read ones whose reading has paused because memory is short
  std::size_t busy_count_ = 0;     // connections with a request in flight
  Timer memory_timer_;
  Timer close_unused_timer_;
  Timer waiting_check_timer_;
  std::unique_ptr<Listener> listener_;
};

}  // namespace thornwick::net
