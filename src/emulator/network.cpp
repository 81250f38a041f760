#include "emulator/network.hpp"

#include <algorithm>
#include <cmath>

namespace thornwick::emulator {

Network::Network(const Scenario& scenario, std::uint64_t seed)
    : random_(seed, StreamPurpose::network),
      jitter_(scenario.jitter),
      base_us_(scenario.zones.size(), std::vector<double>(scenario.zones.size())) {
  for (std::size_t i = 0; i < base_us_.size(); ++i) {
    for (std::size_t j = 0; j <= i; ++j) {
      const Range& range = i == j ? scenario.same_zone_ms : scenario.cross_zone_ms;
      base_us_[i][j] = 1000 * random_.between(range.low, range.high);
      base_us_[j][i] = base_us_[i][j];
    }
  }
}

Time Network::one_way(std::uint16_t from_zone, std::uint16_t to_zone) {
  const double base = base_us_[from_zone][to_zone];
  return std::max<Time>(1, std::llround(base + random_.exponential(base * jitter_)));
}

}  // namespace thornwick::emulator
