// The objects of an emulated day: requests of clients, attempts of routers, replicas and faults. Times are
// microseconds from the day's start.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "core/request_manager.hpp"
#include "emulator/day.hpp"
#include "emulator/engine.hpp"
#include "emulator/result.hpp"
#include "emulator/slab.hpp"

namespace thornwick::emulator {

class DaySimulation;

// What a client may conclude from a try without an answer (the wire protocol, "CLIENTS").
enum class TryEnding {
  rejected,     // a repeat is harmless
  failed,       // a replica may have run it
  interrupted,  // the answer ended in the middle
};

// A replica has begun to work on a try.
struct Execution {
  std::uint32_t replica = 0;
  Time sent_at = 0;  // when the router sent the attempt
};

// One request of a client with all its tries. The object serves the core as the payload and the reply of the
// current try, and exists until the outcome is final.
struct ClientRequest : core::Payload, core::Reply {
  void send_event(const core::StreamEvent& event) override;
  void finish() override;
  void abort_answer() override;
  void reject(Time retry_after) override;
  void fail(core::FailureReason why, Time retry_after) override;

  DaySimulation* day = nullptr;
  Handle handle = 0;
  PlannedRequest plan;
  Time first_at = 0;  // time of the first token of the current try; 0: none has arrived
  std::uint32_t router = 0;
  RequestId request_id = 0;           // id of the current try; 0: no try is open
  std::vector<Execution> executions;  // of the current try
  int tries = 0;
  bool resumed = false;  // an earlier answer was interrupted
  bool answered = false;
};

// One attempt of a router. The object exists from the attempt's start until the router erases the attempt.
struct Attempt {
  core::AttemptId id;
  std::uint32_t router = 0;
  std::uint32_t replica = 0;
  Handle request = 0;      // handle of the client's request
  bool in_engine = false;  // the replica's engine holds the attempt's work
  Time sent_at = 0;
  Time delivered_until = 0;  // time at which the last bytes sent so far reach the router
  double cached = 0;         // number of prompt tokens that the replica found in its cache
  double generated = 0;      // number of tokens of the complete answer
  double undelivered = 0;    // number of tokens of a completed answer that has not reached the router yet
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
  double speed_factor = 1;  // multiple of `speed` at which the replica works under the current faults
  Time started_at = 0;      // 0: the replica started before the day
  Time warm_up = 0;
  double initial_capacity = 1;
  bool up = true;
  bool unreachable = false;  // only used while `up` is false: connections time out instead of being refused
  bool draining = false;
  std::size_t connections = 0;
  std::uint64_t timer_version = 0;  // timer events of earlier versions are ignored
  Time timer_at = kNever;
  std::deque<SentWork> recent_work;  // work that arrived lately, while the replica warmed up
  double recent_work_sum = 0;
  ReplicaResult result;
};

// A message from one router to another.
struct Datagram {
  std::uint32_t from = 0;
  std::uint32_t to = 0;
  std::string text;
};

// A fault of the scenario with the values that were drawn for the day.
struct ActiveFault {
  double size = 1;
  Time from = 0;
  Time until = 0;
  std::uint16_t zone = 0;
  // ageing: the replica that becomes slow; replacement: the replica to replace next.
  std::uint32_t replica = 0;
  bool active = false;
};

}  // namespace thornwick::emulator
