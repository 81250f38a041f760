// Random numbers of the emulator. Each purpose has its own stream, so that a day with another policy, or with
// one more fault, has the same arrivals. Boost.Random's generators and distributions give the same numbers on
// every machine; the standard library does not guarantee the same numbers for its distributions.
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

// The purpose of a stream's numbers. The values must not change, because they are part of each stream's seed.
enum class StreamPurpose : std::uint32_t {
  fleet = 1,  // parameters of the replicas
  arrivals,   // times, members, classes and zones of sessions
  sizes,      // lengths of prompts and answers
  clients,    // choices of the clients: routers, cancellations and retries
  network,
  replicas,  // errors of the replicas
  discovery,
  peers,
  faults,
  policy  // choices of the baseline policies
};

class RandomStream {
 public:
  RandomStream(std::uint64_t seed, StreamPurpose purpose, std::uint32_t number = 0) {
    std::seed_seq words{static_cast<std::uint32_t>(seed), static_cast<std::uint32_t>(seed >> 32),
                        static_cast<std::uint32_t>(purpose), number};
    generator_.seed(words);
  }

  std::uint64_t bits() { return generator_(); }

  // Draws from [0, 1).
  double unit() { return boost::random::uniform_01<double>()(generator_); }

  // Draws from [low, high).
  double between(double low, double high) { return low + (high - low) * unit(); }

  bool happens(double probability) { return unit() < probability; }

  // Draws an index below `count`, which must not be 0.
  std::size_t below(std::size_t count) {
    return boost::random::uniform_int_distribution<std::size_t>(0, count - 1)(generator_);
  }

  double exponential(double mean) {
    return mean * boost::random::exponential_distribution<double>(1)(generator_);
  }

  // `sigma` is the standard deviation of the logarithm. Returns `mean` without drawing a number if `sigma` is
  // 0.
  double lognormal(double mean, double sigma) {
    if (sigma <= 0) return mean;
    return mean *
           std::exp(sigma * boost::random::normal_distribution<double>()(generator_) - sigma * sigma / 2);
  }

  // Draws from the Bounded Pareto distribution on [min, max] (Harchol-Balter, Crovella and Murta 1999,
  // section 5).
  double bounded_pareto(double alpha, double min, double max) {
    return min * std::pow(1 - unit() * (1 - std::pow(min / max, alpha)), -1 / alpha);
  }

 private:
  boost::random::mt19937_64 generator_;
};

// Draws indexes, each with a probability in proportion to its weight.
class WeightedChoice {
 public:
  // There must be at least one weight, and none may be negative.
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
