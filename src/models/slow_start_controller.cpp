#include "models/slow_start_controller.hpp"

#include <algorithm>
#include <cmath>

namespace thornwick::models {
namespace {

constexpr double kRateWindowS = 2;          // seconds over which the rate of primary work decays
constexpr Time kHoldTime = seconds(1);      // no fallback work is admitted for so long after a rejection
constexpr double kBurstS = 0.5;             // seconds' worth of the admitted rate that may arrive at once
constexpr double kNewRequestWeight = 0.1;   // weight of a new request in the moving average
constexpr double kMaxFallbackFraction = 1;  // of primary tokens; more is a whole pool's load
constexpr double kMaxFractionDivisor = 16;  // rejections divide the initial fraction by at most this
constexpr double kMinReplicaWeight = 1e-3;

}  // namespace

double SlowStartController::warm_fraction(Time now) const {
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
  primary_per_s_ *= std::exp(-seconds / kRateWindowS);
  // The fraction grows while it is used and the pool rejects nothing; unused, it returns to its initial
  // value.
  if (now >= held_until_) {
    const double growth = std::pow(1 + limits_.fallback_growth_per_s, std::min(1.0, seconds));
    fallback_fraction_ = fallback_requested_
                             ? std::min(kMaxFallbackFraction, fallback_fraction_ * growth)
                             : std::max(limits_.initial_fallback_fraction, fallback_fraction_ / growth);
  }
  fallback_requested_ = false;
  const double warm = warm_fraction(now);
  // An idle pool has no primary work: its minimum is one request per second for each warm replica.
  const double idle_rate = mean_work_ * warm * static_cast<double>(replicas_.size());
  const double rate = fallback_fraction_ * std::max(primary_per_s_, idle_rate) * warm;
  available_tokens_ = std::min(available_tokens_ + rate * seconds, std::max(rate * kBurstS, mean_work_));
}

void SlowStartController::on_primary_request(Time now, double tokens) {
  advance_to(now);
  primary_per_s_ += tokens / kRateWindowS;
  mean_work_ = mean_work_ == 0 ? tokens : mean_work_ + kNewRequestWeight * (tokens - mean_work_);
}

void SlowStartController::on_rejection(Time now) {
  advance_to(now);
  if (now >= held_until_)
    fallback_fraction_ =
        std::max(limits_.initial_fallback_fraction / kMaxFractionDivisor, fallback_fraction_ / 2);
  held_until_ = now + kHoldTime;
  available_tokens_ = 0;
}

bool SlowStartController::try_admit(Time now, double tokens) {
  if (mean_work_ == 0) {  // the first request of an idle pool
    mean_work_ = tokens;
    available_tokens_ = tokens;
  }
  advance_to(now);
  fallback_requested_ = true;
  if (now < held_until_ || warm_fraction(now) <= 0 || available_tokens_ < std::min(tokens, mean_work_))
    return false;
  available_tokens_ -= tokens;
  return true;
}

}  // namespace thornwick::models
