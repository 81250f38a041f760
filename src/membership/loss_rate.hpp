// The fraction of probe rounds that are lost although the member runs, and the number of unanswered rounds
// that such losses explain.
#pragma once

#include <cstdint>

namespace thornwick::membership {

// Exponentially decayed fraction of rounds that were lost; `weight` is the weight of a new round.
class LossRate {
 public:
  LossRate(double initial, double weight) : value_(initial), weight_(weight) {}

  void on_answered() { value_ -= weight_ * value_; }
  void on_lost() { value_ += weight_ * (1 - value_); }
  double value() const { return value_; }

 private:
  double value_;
  double weight_;
};

// The smallest number of consecutive rounds that all stay unanswered through message loss alone with at most
// `probability`. Clamps `loss` to a plausible range first, because no measurement is exact.
std::uint32_t rounds_until(double probability, double loss);

}  // namespace thornwick::membership
