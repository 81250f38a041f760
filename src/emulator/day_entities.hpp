// The objects of an emulated day: requests of clients, attempts of routers, replicas and faults. Times are
// microseconds from the day's start.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <string>

#include "core/request_manager.hpp"
#include "emulator/day.hpp"
#include "emulator/engine.hpp"
#include "emulator/result.hpp"
#include "emulator/slab.hpp"

namespace thornwick::emulator {

class DaySimulation;

// One request of a client with all its tries. It is the payload and the reply of its current try, and lives
// until the outcome is final.
struct ClientRequest : core::Payload, core::Reply {
  void send_event(const core::StreamEvent& event) override;
  void finish() override;
  void abort_answer() override;
  void reject(Time retry_after) override;
  void fail(core::FailureReason why, Time retry_after) override;

  DaySimulation* day = nullptr;
  Handle handle = 0;
  PlannedRequest plan;
  Time first_at = 0;  // of the current try: when its first token came; 0: not yet
  std::uint32_t router = 0;
  RequestId request_id = 0;  // of the current try; 0: none is open
  int tries = 0;
  bool resumed = false;  // an earlier answer ended in the middle
  bool answered = false;
};

// One attempt of a router, from its start until its router forgets it.
struct Attempt {
  core::AttemptId id;
  std::uint32_t router = 0;
  std::uint32_t replica = 0;
  Handle request = 0;        // of the client
  bool in_engine = false;    // the replica's engine has its work
  Time delivered_until = 0;  // when the latest of the answer's bytes reaches the router
  double cached = 0;         // prompt tokens that were found in the replica's cache
  double generated = 0;      // tokens of the whole answer
  double undelivered = 0;    // tokens of a completed answer that has not reached the router yet
};

struct Replica {
  struct SentWork {
    Time at = 0;
    double work = 0;
  };

  ReplicaId id = 0;
  std::uint16_t zone = 0;
  std::uint16_t kind = 0;
  std::unique_ptr<Engine> engine;
  double speed = 1;
  double speed_factor = 1;  // multiple of the speed that faults leave
  Time started = 0;         // 0: before the day
  Time warm_up = 0;
  double initial_capacity = 1;
  bool up = true;
  bool unreachable = false;  // while it is not up: nothing answers in its place
  bool draining = false;
  std::size_t connections = 0;
  std::uint64_t timer_version = 0;  // timer events of earlier versions are void
  Time timer_at = kNever;
  std::deque<SentWork> recent_work;  // sent to it while it warmed up
  double recent_work_sum = 0;
  ReplicaResult result;
};

// A message between two routers.
struct Datagram {
  std::uint32_t from = 0;
  std::uint32_t to = 0;
  std::string text;
};

// A fault of the scenario, as drawn for the day.
struct ActiveFault {
  double size = 1;
  Time from = 0;
  Time until = 0;
  std::uint16_t zone = 0;
  std::uint32_t replica = 0;  // ageing: the slow one; replacement: the next one
  bool active = false;
};

}  // namespace thornwick::emulator
