// A router of an emulated day: the real core, and the interfaces that the simulation provides for the core.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <string>
#include <vector>

#include "affinity/affinity_table.hpp"
#include "budgets/admission_controller.hpp"
#include "core/request_manager.hpp"
#include "emulator/slab.hpp"

namespace thornwick::emulator {

class DaySimulation;

class EmulatedRouter final : public core::Clock,
                             public core::UpstreamTransport,
                             public core::Discovery,
                             public core::PeerTransport {
 public:
  // The idle connections to one replica: the time at which each became idle, ascending.
  using IdleConnections = std::vector<Time>;

  EmulatedRouter(DaySimulation& simulation, std::uint32_t its_index, std::uint16_t its_zone)
      : day_(simulation), index(its_index), zone(its_zone) {}

  Time now() const override;
  void wake_at(Time when) override;
  void launch(core::AttemptId attempt, ReplicaId replica_id, std::shared_ptr<const core::Payload> payload,
              Time until, std::uint16_t model) override;
  bool abandon(core::AttemptId attempt) override;
  void pause_reading(core::AttemptId) override {}
  void resume_reading(core::AttemptId) override {}
  void probe(ReplicaId replica_id) override;
  void subscribe() override;
  void fetch() override { subscribe(); }
  void send(std::uint32_t rank, const std::string& message) override;

 private:
  DaySimulation& day_;

 public:
  const std::uint32_t index;
  const std::uint16_t zone;
  std::unique_ptr<affinity::AffinityTable> affinity_table;
  // Declared before `core`, whose decider uses `quota_service` and `fair_share`.
  std::unique_ptr<budgets::QuotaService> quota_service;
  std::unique_ptr<budgets::FairShare> fair_share;
  std::unique_ptr<core::RequestManager> core;       // null while the router is lost
  absl::flat_hash_map<RequestId, Handle> attempts;  // the attempt in flight of each request
  std::vector<IdleConnections> idle_connections;    // by index of the replica
  // By index of the replica: time at which the router learned that the replica drains or is removed; 0: it is
  // ready.
  std::vector<Time> unavailable_since;
  bool subscribed = false;  // discovery sends watch events to the router
  bool up = true;
  std::uint64_t timer_version = 0;  // timer events of earlier versions are ignored
};

}  // namespace thornwick::emulator
