#include "models/slow_start_controller.hpp"

#include <algorithm>
#include <cmath>

namespace thornwick::models {
namespace {

constexpr double kRateWindowS = 2;      // seconds: decay of the measured rate of the pool's own work
constexpr Time kHold = seconds(1);      // nothing is admitted for so long after a rejection
constexpr double kBurstS = 0.5;         // seconds' worth of the admitted rate that may come at once
constexpr double kMeanWeight = 0.1;     // of a new request in the moving average
constexpr double kMaxPart = 1;          // of the pool's own rate: more would be another pool's whole load
constexpr double kMinPartDivisor = 16;  // after rejections no less is left of the first part
constexpr double kMinReplicaWeight = 1e-3;

}  // namespace

double SlowStartController::warm_part(Time now) const {
  double warm = 0;
  double all = 0;
  for (const auto& replica : replicas_) {
    const double weight = std::max(kMinReplicaWeight, static_cast<double>(replica.weight));
    all += weight;
    if (replica.started_at == 0 || now - replica.started_at >= warm_up_) warm += weight;
  }
  return all > 0 ? warm / all : 0;
}

void SlowStartController::advance_to(Time now) {
  if (updated_at_ == 0) updated_at_ = now;
  if (now <= updated_at_) return;
  const double seconds = static_cast<double>(now - updated_at_) / 1e6;
  updated_at_ = now;
  own_per_s_ *= std::exp(-seconds / kRateWindowS);
  // It grows while it is used and borne; unused it goes back to where it began.
  if (now >= held_until_) {
    const double growth = std::pow(1 + limits_.fallback_growth_per_s, std::min(1.0, seconds));
    part_ = asked_ ? std::min(kMaxPart, part_ * growth)
                   : std::max(limits_.initial_fallback_fraction, part_ / growth);
  }
  asked_ = false;
  const double warm = warm_part(now);
  // An idle pool serves nothing of its own: one request a second for each warm
  // replica is its least.
  const double least = mean_work_ * warm * static_cast<double>(replicas_.size());
  const double rate = part_ * std::max(own_per_s_, least) * warm;
  level_ = std::min(level_ + rate * seconds, std::max(rate * kBurstS, mean_work_));
}

void SlowStartController::own(Time now, double work) {
  advance_to(now);
  own_per_s_ += work / kRateWindowS;
  mean_work_ = mean_work_ == 0 ? work : mean_work_ + kMeanWeight * (work - mean_work_);
}

void SlowStartController::rejected(Time now) {
  advance_to(now);
  if (now >= held_until_) part_ = std::max(limits_.initial_fallback_fraction / kMinPartDivisor, part_ / 2);
  held_until_ = now + kHold;
  level_ = 0;
}

bool SlowStartController::admits(Time now, double work) {
  if (mean_work_ == 0) {  // the first request of an idle pool
    mean_work_ = work;
    level_ = work;
  }
  advance_to(now);
  asked_ = true;
  if (now < held_until_ || warm_part(now) <= 0 || level_ < std::min(work, mean_work_)) return false;
  level_ -= work;
  return true;
}

}  // namespace thornwick::models
