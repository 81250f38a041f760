// The simulation of one day. Each of attempts.cpp, clients.cpp, faults.cpp, replicas.cpp and routers.cpp has
// the operations on one kind of object; day_simulation.cpp has the setup and the dispatch of events.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <string>
#include <vector>

#include "emulator/day.hpp"
#include "emulator/day_entities.hpp"
#include "emulator/demand.hpp"
#include "emulator/discovery.hpp"
#include "emulator/emulated_router.hpp"
#include "emulator/event_queue.hpp"
#include "emulator/network.hpp"
#include "emulator/random_stream.hpp"
#include "emulator/slab.hpp"

namespace thornwick::emulator {

class DaySimulation {
 public:
  // Throws std::invalid_argument for an invalid scenario. The scenario must outlive the simulation.
  DaySimulation(const Scenario& scenario, std::uint64_t seed, const DayOptions& options);

  // Runs the day to its end. May be called once.
  [[nodiscard]] Result run();

  // Runs a day on which no request is sent, and returns the requests that would have been sent. May be called
  // once.
  [[nodiscard]] std::vector<PlannedRequest> run_without_requests();

  Time now() const { return now_; }

  // The interfaces around a router's core, called by EmulatedRouter.
  void set_router_timer(EmulatedRouter& router, Time when);
  void start_attempt(EmulatedRouter& router, core::AttemptId id, ReplicaId replica_id,
                     const ClientRequest& request);
  // Returns false if the attempt has already ended.
  bool cancel_attempt(EmulatedRouter& router, core::AttemptId id);
  void probe(const EmulatedRouter& router, ReplicaId replica_id);
  void request_endpoint_list(EmulatedRouter& router);
  // `rank` is the index of the receiver, or Gossip::kAllPeers.
  void send_peer_message(const EmulatedRouter& sender, std::uint32_t rank, const std::string& message);

  // The outcomes of a try, called by ClientRequest.
  void on_answered(ClientRequest& request);
  void on_rejected(ClientRequest& request, Time retry_after);  // the try was rejected
  void on_failed(ClientRequest& request, Time retry_after);    // the try failed, or its router was lost
  void on_interrupted(ClientRequest& request);                 // the answer ended before it was complete

 private:
  enum class ReplicaLoss { process_died, unreachable };

  // Events (day_simulation.cpp).
  void schedule(Time at, EventType type, std::uint64_t subject = 0, std::uint32_t index = 0);
  void handle(const Event& event);
  void play();
  void set_up_fleet();
  void set_up_routers();
  void set_up_faults();
  void sample_load();
  void finish_result();

  // Attempts (attempts.cpp).
  void connect(EmulatedRouter& router, Handle handle);
  void on_attempt_arrived(Handle handle);
  void on_first_token(Handle handle);
  void on_completed(Handle handle);
  void end_attempt(Handle handle, Outcome outcome);
  void forget_attempt(Handle handle);
  void keep_connection(EmulatedRouter& router, const Attempt& attempt);
  void close_connection(const Attempt& attempt);

  // The rule against duplicate effects (effects.cpp).
  void check_repeat(const ClientRequest& request, std::uint32_t replica);
  void check_rejection(const ClientRequest& request);
  bool discards_repeat(const RequestClass& request_class, const Execution& earlier,
                       std::uint32_t replica) const;

  // Replicas (replicas.cpp).
  std::uint32_t create_replica();
  void add_replica();  // adds a replica that starts now
  void lose_replica(std::uint32_t index, ReplicaLoss loss);
  void restore_replica(std::uint32_t index);
  void set_replica_speed(std::uint32_t index);
  double current_capacity(const Replica& replica) const;
  void schedule_replica(std::uint32_t index);
  void on_replica_timer(std::uint32_t index, std::uint64_t version);
  void deliver(const Replica& replica, const Report& report);
  void check_overload(std::uint32_t index, double work);

  // Routers and discovery (routers.cpp).
  Settings settings_for(const EmulatedRouter& router) const;
  std::unique_ptr<core::Decider> make_decider(EmulatedRouter& router, const Settings& settings);
  void start_router(EmulatedRouter& router);
  void lose_router(EmulatedRouter& router);
  void add_counts(const EmulatedRouter& router);
  void on_router_timer(std::uint32_t index, std::uint64_t version);
  void on_peer_message(Handle handle);
  bool partitioned(const EmulatedRouter& sender, const EmulatedRouter& receiver) const;
  Endpoint endpoint_of(const Replica& replica, EndpointState state) const;
  void announce(std::uint32_t replica, EndpointState state, double after_s);
  void on_change_registered(std::uint64_t change);
  void deliver_watch_event(std::uint64_t change, EmulatedRouter& router);
  void deliver_endpoint_list(EmulatedRouter& router);

  // Clients (clients.cpp).
  void on_session_arrived();
  void send_next_turn(Handle handle);
  void send_request(const PlannedRequest& plan);
  void send_try(Handle handle);
  void cancel_request(Handle handle);
  bool may_retry(const ClientRequest& request, TryEnding ending, Time retry_at) const;
  void retry_or_give_up(ClientRequest& request, TryEnding ending, Time retry_after);
  void give_up(ClientRequest& request);
  void end_request(ClientRequest& request, double earned_fraction);
  EmulatedRouter& choose_router(std::uint16_t zone);

  // Faults (faults.cpp).
  void start_fault(std::uint32_t index);
  void progress_fault(std::uint32_t index);
  void end_fault(std::uint32_t index);
  void lose_zone(const DayFault& fault, std::uint16_t zone);
  void restore_zone(std::uint16_t zone);
  void scale_speed_factors(double multiplier, double divisor);
  void age_replica(std::uint32_t index);
  void replace_next_replica(std::uint32_t index);
  double rate_factor() const;

  const Scenario& scenario_;
  const std::uint64_t seed_;
  const DayOptions options_;
  Time now_ = 0;
  const Time day_end_;  // time after which no request is sent
  EventQueue events_;
  RandomStream fleet_random_;
  RandomStream client_random_;
  RandomStream replica_random_;
  RandomStream peer_random_;
  RandomStream fault_random_;
  Network network_;
  DiscoveryService discovery_;
  std::unique_ptr<DemandModel> demand_;  // created once the fleet's capacity is known

  std::vector<Replica> replicas_;
  absl::flat_hash_map<ReplicaId, std::uint32_t> replica_index_;
  std::vector<std::unique_ptr<EmulatedRouter>> routers_;
  std::vector<ActiveFault> faults_;  // in the order of Scenario::faults
  Slab<Session> sessions_;
  Slab<ClientRequest> requests_;
  Slab<Attempt> attempts_;
  Slab<Datagram> datagrams_;

  double peer_delay_us_ = 1;  // mean delay of a message between routers
  double backoff_us_ = 0;
  double max_rate_factor_ = 1;  // maximum of rate_factor(), with all bursts at once
  // Events of an answer's stream as the core receives them. They carry no text.
  core::StreamEvent first_frame_;
  core::StreamEvent usage_frame_;
  core::StreamEvent end_frame_;
  std::vector<Report> reports_;                     // buffer that on_replica_timer() reuses
  std::vector<PlannedRequest>* planned_ = nullptr;  // if set, receives the requests instead of the routers
  double module_ns_ = 0;
  Result result_;
};

}  // namespace thornwick::emulator
