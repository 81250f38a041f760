// Checks the sequential tests and the models of cache hits against their stated error rates, by simulation
// with fixed seeds.
#include "affinity/cache_hit_estimator.hpp"

#include <boost/math/distributions/poisson.hpp>
#include <boost/random/bernoulli_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <catch2/catch.hpp>
#include <cmath>

using namespace thornwick::affinity;

namespace {

// Draws hits with a given probability.
struct OutcomeGenerator {
  boost::random::mt19937_64 engine{20260601};
  CacheOutcome operator()(double hit_rate) {
    const bool hit = boost::random::bernoulli_distribution<>(hit_rate)(engine);
    return hit ? CacheOutcome::hit : CacheOutcome::miss;
  }
};

}  // namespace

TEST_CASE("false alarms of the loss test are no more frequent than its stated rate") {
  constexpr int kAnswers = 2'000'000;
  constexpr double kEvery = 10'000;
  for (const double hit_rate : {0.3, 0.6, 0.9, 0.95}) {
    OutcomeGenerator outcome;
    LossTest test(kEvery);
    int alarms = 0;
    for (int i = 0; i < kAnswers; ++i) alarms += test.add(hit_rate, outcome(hit_rate)) ? 1 : 0;
    // The stated rate is a bound: the count stays below the upper 99.9 % point of a process at that rate.
    const boost::math::poisson_distribution<> at_rate(kAnswers / kEvery);
    INFO("hit rate " << hit_rate << ", alarms " << alarms);
    CHECK(alarms <= boost::math::quantile(at_rate, 0.999));
  }
}

TEST_CASE("the loss of all copies is detected within 20 answers") {
  for (const double hit_rate : {0.75, 0.85, 0.95}) {
    OutcomeGenerator outcome;
    int late = 0;
    for (int trial = 0; trial < 10'000; ++trial) {
      LossTest test(100'000);
      for (int i = 0; i < 200; ++i)
        test.add(hit_rate, outcome(hit_rate));  // some state after normal operation
      int answers = 1;
      while (!test.add(hit_rate, outcome(0.01)) && answers < 100) ++answers;
      late += answers > 20 ? 1 : 0;
    }
    INFO("hit rate " << hit_rate << ", late " << late << " of 10000");
    CHECK(late <= 10);
  }
}

TEST_CASE("a replica that keeps its copies is trusted again, one that does not is not") {
  OutcomeGenerator outcome;
  int rightly_trusted = 0;
  int wrongly_trusted = 0;
  int answers = 0;
  for (int trial = 0; trial < 20'000; ++trial) {
    RecoveryTest test;
    Verdict verdict = Verdict::undecided;
    while (verdict == Verdict::undecided) {
      verdict = test.add(0.9, outcome(0.9));
      ++answers;
    }
    rightly_trusted += verdict == Verdict::recovered ? 1 : 0;
    verdict = Verdict::undecided;
    while (verdict == Verdict::undecided) verdict = test.add(0.9, outcome(kHitRateWhenGone));
    wrongly_trusted += verdict == Verdict::recovered ? 1 : 0;
  }
  CHECK(rightly_trusted >= 20'000 * 0.98);
  CHECK(wrongly_trusted <= 20'000 * 0.002);
  CHECK(answers <= 20'000 * 6);  // about three hits are enough
}

TEST_CASE("the survival of copies is learned, and learned again after it changes") {
  OutcomeGenerator outcome;
  Survival survival;
  const auto learn_from = [&](double half_life, int answers) {
    for (int i = 0; i < answers; ++i) {
      const double age = half_life / 4 * (1 + i % 8);
      survival.learn(age, outcome(std::exp2(-age / half_life)));
    }
  };
  learn_from(40'000, 1000);
  CHECK(survival.half_life() > 20'000);
  CHECK(survival.half_life() < 80'000);
  learn_from(8'000, 1000);
  CHECK(survival.half_life() < 20'000);
  CHECK(survival.probability_after(0) == 1);
}

TEST_CASE("predictions that are too high are corrected, and the bounds contain the true hit rate") {
  OutcomeGenerator outcome;
  Calibration calibration;
  for (int i = 0; i < 2000; ++i) calibration.learn(0.9, outcome(0.6));
  CHECK(calibration.factor() == Approx(0.6 / 0.9).margin(0.12));
  const auto [low, high] = calibration.bounds(0.999);
  CHECK(low < 0.6);
  CHECK(high > 0.6);
}

TEST_CASE("error rates out of range are rejected") {
  CHECK_THROWS_AS(LossTest(1), std::invalid_argument);
  CHECK_THROWS_AS(RecoveryTest(0, 0.1), std::invalid_argument);
  CHECK_THROWS_AS(RecoveryTest(0.1, 0.5), std::invalid_argument);
}
