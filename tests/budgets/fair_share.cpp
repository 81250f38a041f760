// Compares weighted fair admission with first come, first served, on one overloaded server.
#include "budgets/fair_share.hpp"

#include <rapidcheck.h>

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <catch2/catch.hpp>
#include <cmath>
#include <numeric>

using namespace thornwick;
using namespace thornwick::budgets;

namespace {

constexpr double kServedPerSecond = 100'000;  // tokens

// Members send requests at their own rates to a server of limited throughput, which reports scarcity when it
// is full.
struct Result {
  std::vector<std::vector<double>> served_by_second;  // [second][member]
  std::vector<Time> first_served_again_at;            // time of the first service after idling, by member
};

Result simulate(std::size_t members, const std::vector<double>& weights, const std::vector<double>& demand,
                int seconds, bool fair, std::size_t idle = SIZE_MAX, int idle_from = 0, int idle_to = 0) {
  FairShareOptions options;
  options.weights = weights;
  FairShare share(options);
  boost::random::mt19937_64 random(7);
  const auto unit = [&] { return boost::random::uniform_real_distribution<double>(0, 1)(random); };
  Result result;
  result.served_by_second.assign(static_cast<std::size_t>(seconds), std::vector<double>(members));
  std::vector<double> next(members);
  double backlog = 0;
  for (auto& at : next) at = unit() * 0.05;
  const double step = 0.001;
  for (double t = 0; t < seconds; t += step) {
    const Time now = 1'000'000 + static_cast<Time>(t * 1e6);
    backlog = std::max(0.0, backlog - kServedPerSecond * step);
    for (std::size_t m = 0; m < members; ++m) {
      for (; next[m] <= t; next[m] += -std::log(1 - unit()) * 200 / demand[m]) {
        const bool sends_request = m != idle || t < idle_from || t >= idle_to;
        if (!sends_request) continue;
        const double cost = 100 + 200 * unit();
        if (fair && !share.admit(now, static_cast<std::uint16_t>(m), cost).admitted) continue;
        // The server is full: its backlog is half a second of work.
        if (backlog > kServedPerSecond / 2) {
          share.on_scarcity(now);
          if (fair) share.adjust_cost(static_cast<std::uint16_t>(m), -cost);
          continue;
        }
        backlog += cost;
        share.on_served(now, cost);
        result.served_by_second[static_cast<std::size_t>(t)][m] += cost;
      }
    }
  }
  return result;
}

// Jain's fairness index (Jain, Chiu and Hawe 1984) of the tokens served per unit of weight.
double jain(const std::vector<double>& served, const std::vector<double>& weights) {
  double sum = 0, squares = 0;
  for (std::size_t i = 0; i < served.size(); ++i) {
    const double normalized = served[i] / weights[i];
    sum += normalized, squares += normalized * normalized;
  }
  return squares > 0 ? sum * sum / (static_cast<double>(served.size()) * squares) : 1;
}

std::vector<double> window(const Result& p, std::size_t from, std::size_t seconds) {
  std::vector<double> sum(p.served_by_second.front().size());
  for (std::size_t s = from; s < from + seconds; ++s) {
    for (std::size_t m = 0; m < sum.size(); ++m) sum[m] += p.served_by_second[s][m];
  }
  return sum;
}

double worst_jain(const Result& p, const std::vector<double>& weights, std::size_t seconds) {
  double worst = 1;
  for (std::size_t s = 5; s + seconds <= p.served_by_second.size(); ++s) {
    worst = std::min(worst, jain(window(p, s, seconds), weights));
  }
  return worst;
}

}  // namespace

TEST_CASE(
    "shares of 37, 36 and 27 percent are met over 1 s and 10 s although one member requests ten times its "
    "share") {
  const std::vector<double> weights = {0.37, 0.36, 0.27}, demand = {400'000, 60'000, 60'000};
  const Result fair = simulate(3, weights, demand, 30, true), plain = simulate(3, weights, demand, 30, false);
  INFO("Jain's index, fair: 1 s " << worst_jain(fair, weights, 1) << ", 10 s "
                                  << worst_jain(fair, weights, 10) << "; plain: "
                                  << worst_jain(plain, weights, 1) << ", " << worst_jain(plain, weights, 10));
  CHECK(worst_jain(fair, weights, 1) > 0.95);
  CHECK(worst_jain(fair, weights, 10) > 0.99);
  CHECK(worst_jain(plain, weights, 10) < 0.75);
  const auto served = window(fair, 10, 20);
  const double all = std::accumulate(served.begin(), served.end(), 0.0);
  for (std::size_t m = 0; m < 3; ++m) CHECK(std::abs(served[m] / all - weights[m]) < 0.03);
  CHECK(all > 0.85 * 20 * kServedPerSecond);  // the server stays busy
}

TEST_CASE("three hundred members of different weights get their shares") {
  std::vector<double> weights(300), demand(300);
  for (std::size_t m = 0; m < 300; ++m)
    weights[m] = 1 + static_cast<double>(m % 3), demand[m] = m < 30 ? 8000 : 1200;
  const Result fair = simulate(300, weights, demand, 30, true),
               plain = simulate(300, weights, demand, 30, false);
  INFO("Jain's index over 10 s, fair: " << worst_jain(fair, weights, 10)
                                        << "; plain: " << worst_jain(plain, weights, 10));
  CHECK(worst_jain(fair, weights, 10) > 0.9);
  CHECK(worst_jain(plain, weights, 10) < 0.5);
}

TEST_CASE("the share of an idle member goes to the others and is returned within a second") {
  const std::vector<double> weights = {1, 1, 1}, demand = {150'000, 150'000, 150'000};
  const Result p = simulate(3, weights, demand, 30, true, 2, 10, 20);
  const auto while_idle = window(p, 13, 6), after_return = window(p, 21, 1), before = window(p, 5, 4);
  CHECK(while_idle[2] == 0);
  CHECK(while_idle[0] + while_idle[1] > 0.8 * 6 * kServedPerSecond);
  CHECK(after_return[2] > 0.27 * kServedPerSecond);
  CHECK(std::abs(before[2] / (before[0] + before[1] + before[2]) - 1.0 / 3) < 0.05);
}

TEST_CASE(
    "all requests are admitted without scarcity, and a rejection never advises a retry after zero time") {
  FairShare share({});
  for (int i = 0; i < 1000; ++i) CHECK(share.admit(1'000'000 + i, 0, 1e6).admitted);
  share.on_scarcity(2'000'000);
  bool rejected = false;
  for (int i = 0; i < 1000 && !rejected; ++i) {
    const auto answer = share.admit(2'000'000 + i, 0, 1e6);
    rejected = !answer.admitted;
    if (rejected) CHECK(answer.retry_after > 0);
  }
  CHECK(rejected);
}
