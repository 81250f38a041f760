// Statistics of cache hits. Each answer either found the prompt copy that was expected (a hit) or did not (a
// miss). The tests decide from a sequence of answers whether the predictions still hold; the models make the
// predictions. No clock, no I/O.
//
// Loss of copies: Page's CUSUM of the log likelihood ratio between two hypotheses: "hits come as predicted"
// (probability p, predicted for each answer) and "the copies are gone" (probability kHitRateWhenGone). For
// independent answers with the right p the mean number of answers between false alarms is at least e^h
// (Lorden 1971, "Procedures for reacting to a change in distribution", theorem 2), so the threshold is h =
// ln(answers between false alarms). At p = 0.9 each miss adds 2.25: six misses in a row raise the alarm at
// one false alarm in 100,000 answers.
//
// Recovery: Wald's sequential probability ratio test between the same two hypotheses, with two given error
// rates.
#pragma once

#include <cstdint>

namespace thornwick::affinity {

// Fraction of the expected copies that are found although all copies are gone: by chance, or because of other
// routers.
inline constexpr double kHitRateWhenGone = 0.05;
// Predictions are limited to this range.
inline constexpr double kMinPrediction = 0.10;
inline constexpr double kMaxPrediction = 0.95;

enum class CacheOutcome : std::uint8_t { miss, hit };

// The prediction, limited so that no single answer decides a test.
double clamp_prediction(double probability);

// ln P(outcome | the copies are gone) - ln P(outcome | hits come as predicted), of a hit predicted with this
// probability.
double loss_log_likelihood_ratio(double probability, CacheOutcome outcome);

// Detects that the copies on a replica, or in the fleet, are gone.
class LossTest {
 public:
  // Throws std::invalid_argument unless `answers_per_false_alarm` is above 1.
  explicit LossTest(double answers_per_false_alarm);

  // Adds an answer whose hit was predicted with this probability. Returns true if that raises the alarm; the
  // test then starts again.
  bool add(double probability, CacheOutcome outcome);
  void reset() { sum_ = 0; }
  // Fast initial response (Lucas and Crosier 1982): the test starts half way to the alarm. Meant for copies
  // that were recorded long ago.
  void head_start() { sum_ = threshold_ / 2; }

 private:
  double threshold_;
  double sum_ = 0;
};

enum class Verdict : std::uint8_t { undecided, recovered, lost };

// Decides whether a replica on probation keeps its new copies.
class RecoveryTest {
 public:
  // Error rates: `false_trust` of trusting a replica that keeps nothing, `false_doubt` of doubting one that
  // keeps its copies. Throws std::invalid_argument unless both are in (0, 0.5).
  RecoveryTest(double false_trust, double false_doubt);
  // With the rates 0.001 and 0.01.
  RecoveryTest();

  // Adds an answer whose hit was predicted with this probability. After a verdict the test starts again.
  Verdict add(double probability, CacheOutcome outcome);
  void reset() { sum_ = 0; }

 private:
  double recovered_threshold_;
  double lost_threshold_;
  double sum_ = 0;
};

// How long copies survive on one replica: each is evicted at a constant rate for each token that this router
// has sent to the replica since. The unit is tokens and not time because a replica evicts when it needs the
// memory. Only the tokens of this router count because it does not know those of other routers, and its share
// of them is about constant.
//
// The rate is the mean of a Gamma posterior with exponential forgetting: a miss is an event half way through
// the age, a hit is exposure without an event.
class Survival {
 public:
  // The probability that a copy is still there after so many tokens. Negative counts are taken as 0.
  double probability_after(double tokens) const;
  // Adds an answer whose copy had this age in tokens.
  void learn(double age_tokens, CacheOutcome outcome);
  // The number of tokens after which half of the copies are gone.
  double half_life() const;

 private:
  static constexpr double kPriorEvents = 0.5;
  static constexpr double kPriorTokens = 200'000;
  static constexpr double kForgetting = 0.99;  // per answer: about the last 100 answers count

  double events_ = 0;
  double tokens_ = 0;
};

// The fraction of predicted hits that occurred, with its bounds, over about the last 200 answers.
class Calibration {
 public:
  // Adds an answer whose hit was predicted with this probability.
  void learn(double probability, CacheOutcome outcome);
  // The factor by which to multiply predictions, in (0, 1]; 1 before the first answer.
  double factor() const;

  struct Bounds {
    double low;
    double high;
  };
  // The credible interval of the hit rate: the beta posterior with Jeffreys' prior. `confidence` is in (0,
  // 1).
  Bounds bounds(double confidence) const;

 private:
  static constexpr double kForgetting = 0.995;
  static constexpr double kPriorHits = 8;  // assumed predicted hits before the first answer

  double answers_ = 0;
  double predicted_ = 0;
  double hits_ = 0;
};

}  // namespace thornwick::affinity
