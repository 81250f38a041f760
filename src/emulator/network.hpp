// The network between the zones of an emulated day.
#pragma once

#include <cstdint>
#include <vector>

#include "emulator/random_stream.hpp"
#include "emulator/scenario.hpp"

namespace thornwick::emulator {

class Network {
 public:
  // Draws the one-way time of each pair of zones.
  Network(const Scenario& scenario, std::uint64_t seed);

  // Draws the microseconds that one message takes, at least 1. Each message has its own jitter.
  [[nodiscard]] Time one_way(std::uint16_t from_zone, std::uint16_t to_zone);

 private:
  RandomStream random_;
  double jitter_;
  std::vector<std::vector<double>> base_us_;  // by the indexes of both zones
};

}  // namespace thornwick::emulator
