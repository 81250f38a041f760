#include "affinity/cache_hit_estimator.hpp"

#include <algorithm>
#include <boost/math/distributions/beta.hpp>
#include <cmath>
#include <stdexcept>

namespace thornwick::affinity {
namespace {

constexpr double kDefaultFalseTrust = 0.001;
constexpr double kDefaultFalseDoubt = 0.01;

bool is_error_rate(double rate) { return rate > 0 && rate < 0.5; }

}  // namespace

double clamp_prediction(double probability) {
  return std::clamp(probability, kMinPrediction, kMaxPrediction);
}

double loss_log_likelihood_ratio(double probability, CacheOutcome outcome) {
  const bool hit = outcome == CacheOutcome::hit;
  const double hit_probability = clamp_prediction(probability);
  const double probability_as_predicted = hit ? hit_probability : 1 - hit_probability;
  const double probability_if_gone = hit ? kHitRateWhenGone : 1 - kHitRateWhenGone;
  return std::log(probability_if_gone / probability_as_predicted);
}

LossTest::LossTest(double answers_per_false_alarm) : threshold_(std::log(answers_per_false_alarm)) {
  if (!(answers_per_false_alarm > 1))
    throw std::invalid_argument("loss test: answers_per_false_alarm must be above 1");
}

bool LossTest::add(double probability, CacheOutcome outcome) {
  sum_ = std::max(0.0, sum_ + loss_log_likelihood_ratio(probability, outcome));
  if (sum_ < threshold_) return false;
  sum_ = 0;
  return true;
}

RecoveryTest::RecoveryTest() : RecoveryTest(kDefaultFalseTrust, kDefaultFalseDoubt) {}

RecoveryTest::RecoveryTest(double false_trust, double false_doubt)
    : recovered_threshold_(std::log((1 - false_doubt) / false_trust)),
      lost_threshold_(std::log(false_doubt / (1 - false_trust))) {
  if (!is_error_rate(false_trust) || !is_error_rate(false_doubt))
    throw std::invalid_argument("recovery test: an error rate is outside (0, 0.5)");
}

Verdict RecoveryTest::add(double probability, CacheOutcome outcome) {
  sum_ -= loss_log_likelihood_ratio(probability, outcome);
  if (sum_ > lost_threshold_ && sum_ < recovered_threshold_) return Verdict::undecided;
  const Verdict verdict = sum_ >= recovered_threshold_ ? Verdict::recovered : Verdict::lost;
  sum_ = 0;
  return verdict;
}

double Survival::probability_after(double tokens) const {
  return std::exp(-std::max(0.0, tokens) * (kPriorEvents + events_) / (kPriorTokens + tokens_));
}

void Survival::learn(double age_tokens, CacheOutcome outcome) {
  events_ *= kForgetting;
  tokens_ *= kForgetting;
  const double age = std::max(0.0, age_tokens);
  if (outcome == CacheOutcome::hit) {
    tokens_ += age;
    return;
  }
  events_ += 1;
  tokens_ += age / 2;
}

double Survival::half_life() const {
  return std::log(2.0) * (kPriorTokens + tokens_) / (kPriorEvents + events_);
}

void Calibration::learn(double probability, CacheOutcome outcome) {
  answers_ = answers_ * kForgetting + 1;
  predicted_ = predicted_ * kForgetting + probability;
  hits_ = hits_ * kForgetting + (outcome == CacheOutcome::hit ? 1 : 0);
}

double Calibration::factor() const { return std::min(1.0, (hits_ + kPriorHits) / (predicted_ + kPriorHits)); }

Calibration::Bounds Calibration::bounds(double confidence) const {
  const boost::math::beta_distribution<> posterior(hits_ + 0.5, std::max(0.0, answers_ - hits_) + 0.5);
  const double tail = (1 - confidence) / 2;
  return {boost::math::quantile(posterior, tail), boost::math::quantile(posterior, 1 - tail)};
}

}  // namespace thornwick::affinity
