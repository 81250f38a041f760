#include "membership/loss_rate.hpp"

#include <algorithm>
#include <cmath>

namespace thornwick::membership {
namespace {

constexpr double kMinLoss = 0.03;
constexpr double kMaxLoss = 0.8;

}  // namespace

std::uint32_t rounds_until(double probability, double loss) {
  const double rounds = std::log(probability) / std::log(std::clamp(loss, kMinLoss, kMaxLoss));
  return static_cast<std::uint32_t>(std::ceil(rounds));
}

}  // namespace thornwick::membership
