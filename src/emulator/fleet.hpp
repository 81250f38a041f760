// Replicas as a scenario draws them: the same for an emulated day and for stand-in replicas on sockets.
#pragma once

#include <memory>

#include "emulator/engine.hpp"
#include "emulator/random_stream.hpp"
#include "emulator/scenario.hpp"

namespace thornwick::emulator {

struct DrawnReplica {
  std::uint16_t zone = 0;  // index into Scenario::zones
  std::uint16_t kind = 0;  // index into Scenario::kinds
  std::unique_ptr<Engine> engine;
  double speed = 1;
  double initial_capacity = 1;  // part of the full speed right after a start
  Time warm_up = 0;             // microseconds until the full speed is reached
};

// Part of its full speed that a replica has `age` microseconds after its start. It rises linearly from
// `initial_capacity` to 1 over `warm_up` microseconds.
double warm_up_factor(Time age, Time warm_up, double initial_capacity);

// Replica `number` of a fleet. Kinds are assigned by their shares, zones in turn. The fleet's random stream
// is consumed in the order of the numbers.
DrawnReplica draw_replica(const Scenario& scenario, std::size_t number, RandomStream& random);

}  // namespace thornwick::emulator
