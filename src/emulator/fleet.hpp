// Replicas that are drawn from a scenario. Emulated days and stand-in replicas on sockets draw the same ones.
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
  double initial_capacity = 1;  // fraction of the full speed right after a start
  Time warm_up = 0;             // microseconds from a start until the full speed is reached
};

// Returns the fraction of the full speed that a replica has `age` microseconds after its start. The fraction
// rises linearly from `initial_capacity` to 1 over `warm_up` microseconds.
double warm_up_factor(Time age, Time warm_up, double initial_capacity);

// Draws replica `number` of a fleet. Kinds are assigned by their shares, zones in turn. Calls must be in the
// order of the numbers, because all of them draw from `random`.
DrawnReplica draw_replica(const Scenario& scenario, std::size_t number, RandomStream& random);

}  // namespace thornwick::emulator
