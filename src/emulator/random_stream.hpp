// Random numbers of the emulator. Each concern has a stream of its own, so that a day with another policy, or
// with one fault more, has the same arrivals. Boost.Random's generators and distributions give the same
// numbers on every machine, which the standard library does not promise of its distributions.
#pragma once

#include <algorithm>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/normal_distribution.hpp>
#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <cmath>
#include <cstdint>
#include <random>
#include <utility>
#include <vector>

namespace thornwick::emulator {

// What a stream's numbers decide. The values are part of the seed: they must not change.
enum class StreamPurpose : std::uint32_t {
  fleet = 1,  // what the replicas are like
  arrivals,   // when sessions begin, and whose they are
  sizes,      // how long prompts and answers are
  clients,    // when clients cancel and retry
  network,
  replicas,  // errors
  discovery,
  peers,
  faults,
  policy  // the choices of baseline policies
};

class RandomStream {
 public:
  RandomStream(std::uint64_t seed, StreamPurpose purpose, std::uint32_t number = 0) {
    std::seed_seq words{static_cast<std::uint32_t>(seed), static_cast<std::uint32_t>(seed >> 32),
                        static_cast<std::uint32_t>(purpose), number};
    generator_.seed(words);
  }

  std::uint64_t bits() { return generator_(); }

  // [0, 1)
  double unit() { return boost::random::uniform_01<double>()(generator_); }

  // [low, high)
  double between(double low, double high) { return low + (high - low) * unit(); }

  bool happens(double probability) { return unit() < probability; }

  // An index below `count`, which must not be 0.
  std::size_t below(std::size_t count) {
    return boost::random::uniform_int_distribution<std::size_t>(0, count - 1)(generator_);
  }

  double exponential(double mean) {
    return mean * boost::random::exponential_distribution<double>(1)(generator_);
  }

  // `sigma` is the standard deviation of the logarithm. Draws nothing if it is 0.
  double lognormal(double mean, double sigma) {
    if (sigma <= 0) return mean;
    return mean *
           std::exp(sigma * boost::random::normal_distribution<double>()(generator_) - sigma * sigma / 2);
  }

  // Bounded Pareto on [min, max] (Harchol-Balter, Crovella and Murta 1999, section 5).
  double bounded_pareto(double alpha, double min, double max) {
    return min * std::pow(1 - unit() * (1 - std::pow(min / max, alpha)), -1 / alpha);
  }

 private:
  boost::random::mt19937_64 generator_;
};

// Draws indices, each in proportion to its weight.
class WeightedChoice {
 public:
  // At least one weight, none negative.
  explicit WeightedChoice(std::vector<double> weights) : sums_(std::move(weights)) {
    for (std::size_t i = 1; i < sums_.size(); ++i) sums_[i] += sums_[i - 1];
  }

  std::size_t draw(RandomStream& random) const {
    const double position = random.unit() * sums_.back();
    const auto found = std::upper_bound(sums_.begin(), sums_.end(), position);
    return std::min<std::size_t>(static_cast<std::size_t>(found - sums_.begin()), sums_.size() - 1);
  }

 private:
  std::vector<double> sums_;
};

}  // namespace thornwick::emulator
