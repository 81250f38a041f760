// Experiments: grids, statistics, results files, plots, and the comparison with queueing theory.
#include <SQLiteCpp/SQLiteCpp.h>

#include <catch2/catch.hpp>
#include <fstream>

#include "../store/scratch.hpp"
#include "experiments/error.hpp"
#include "experiments/experiment.hpp"
#include "experiments/plot.hpp"
#include "experiments/report.hpp"
#include "experiments/statistics.hpp"
#include "experiments/theory.hpp"
#include "settings/section.hpp"

using namespace thornwick;
using namespace thornwick::experiments;
using thornwick::testing::Scratch;

namespace {

Plan small_plan() {
  Plan plan;
  plan.file = std::string(THORNWICK_EXAMPLES) + "/lab/suva-calm.toml";
  plan.axes = {{"day.seconds", {"8"}}, {"day.warm_up_s", {"2"}}, {"fleet.boxes", {"4", "6"}}};
  plan.policies = {"module", "random"};
  plan.max_days = 3;
  return plan;
}

// Runs the days that the results do not have yet, and returns their number.
std::size_t count_played_days(const Plan& plan, Results& results) {
  const auto before = results.all_rows().size();
  play(plan, cells_of(plan), results, [](std::size_t, std::size_t) {});
  return results.all_rows().size() - before;
}

}  // namespace

// The 0.975 quantiles of Student's t-distribution for two and four degrees of freedom are 4.302653 and
// 2.776445.
TEST_CASE("the confidence interval of a mean is that of Student's t-distribution") {
  const Estimate three = estimate({1, 2, 3});
  CHECK(three.mean == Approx(2));
  CHECK(three.half_width == Approx(4.302653 / std::sqrt(3.0)));
  CHECK(estimate({1, 2, 3, 4, 5}).half_width == Approx(2.776445 * std::sqrt(2.5 / 5)));
  CHECK(std::isinf(estimate({7}).half_width));
  const Difference same = paired_difference({1, 2, 3}, {1, 2, 3});
  CHECK(same.p_value == 1);
  const Difference up = paired_difference({1, 2, 3, 4}, {2, 2.9, 4.1, 5});
  CHECK(up.mean_difference.mean == Approx(1));
  CHECK(up.p_value < 0.001);
  CHECK_THROWS_AS(paired_difference({1}, {1, 2}), ExperimentError);
}

TEST_CASE("an axis has a key and values, and a list in brackets is one value") {
  const GridAxis axis = parse_axis("day.load=[0.3,0.4],0.5");
  CHECK(axis.key == "day.load");
  CHECK(axis.values == std::vector<std::string>{"[0.3,0.4]", "0.5"});
  for (const char* bad : {"day.load", "=3", "day.load=", "day.load=1,,2"}) {
    CHECK_THROWS_AS(parse_axis(bad), ExperimentError);
  }
}

TEST_CASE(
    "a grid combines each value with each policy, and invalid keys are reported before any day is run") {
  Plan plan = small_plan();
  const auto cells = cells_of(plan);
  REQUIRE(cells.size() == 4);
  CHECK(cells[0].scenario.replicas == 4);
  CHECK(cells[3].scenario.replicas == 6);
  CHECK(cells[3].point.policy == "random");
  CHECK(cells[0].key != cells[1].key);
  plan.axes.push_back({"class.1.share", {"0.9"}});
  CHECK(cells_of(plan)[0].scenario.classes[1].share == 0.9);
  plan.axes = {{"class.9.share", {"1"}}, {"fleet.boxes", {"0"}}, {"fleet.boxen", {"3"}}};
  try {
    cells_of(plan);
    FAIL("the invalid keys were accepted");
  } catch (const settings::InvalidFile& bad) {
    CHECK(std::string(bad.what()) ==
          "--set class.9.share: no such entry\n--set fleet.boxes: outside 1..100000\n--set fleet.boxen: no "
          "such key");
  }
}

TEST_CASE("a sweep continues where it was stopped, and its results do not depend on the number of threads") {
  const Scratch scratch;
  Plan plan = small_plan();
  std::vector<std::vector<ResultRow>> all;
  for (const unsigned threads : {1u, 4u}) {
    Results results(scratch.path("r" + std::to_string(threads)));
    plan.threads = threads;
    plan.max_days = 2;
    CHECK(count_played_days(plan, results) == 8);
    plan.max_days = 3;
    CHECK(count_played_days(plan, results) == 4);
    CHECK(count_played_days(plan, results) == 0);
    std::vector<ResultRow> rows;
    for (const auto& cell : cells_of(plan)) {
      for (auto& row : results.rows_of(cell.key)) rows.push_back(row);
    }
    all.push_back(rows);
  }
  REQUIRE(all[0].size() == all[1].size());
  for (std::size_t i = 0; i < all[0].size(); ++i) {
    CHECK(all[0][i].json == all[1][i].json);
    CHECK(all[0][i].score == all[1][i].score);
  }
}

TEST_CASE("no more days of a cell are run once its score is precise enough") {
  const Scratch scratch;
  Results results(scratch.path("r"));
  Plan plan = small_plan();
  plan.max_days = 10;
  plan.target_half_width = 5;  // wide enough for any two days
  plan.min_days = 3;
  CHECK(count_played_days(plan, results) == 4 * 3);
}

TEST_CASE("a file that is not a results file, or was written by a newer version, is rejected") {
  const Scratch scratch;
  std::ofstream(scratch.path("text")) << std::string(4000, 'x');
  CHECK_THROWS_WITH(Results(scratch.path("text")), Catch::Contains("not a database"));
  {
    SQLite::Database db(scratch.path("new"), SQLite::OPEN_READWRITE | SQLite::OPEN_CREATE);
    db.exec("PRAGMA user_version = 99");
  }
  CHECK_THROWS_WITH(Results(scratch.path("new")), Catch::Contains("newer version"));
  CHECK_THROWS_AS(Results(scratch.path("no/folder")), ExperimentError);
}

TEST_CASE(
    "a report contains a plot for each setting and plots of single days, and refers to nothing outside "
    "itself") {
  const Scratch scratch;
  Results results(scratch.path("r"));
  count_played_days(small_plan(), results);
  const std::string page = write_report("a < b", results.all_rows());
  CHECK(page.find("a &lt; b") != std::string::npos);
  CHECK(page.find("score by fleet.boxes") != std::string::npos);
  CHECK(page.find("time to the first token") != std::string::npos);
  CHECK(page.find("requests in each box") != std::string::npos);
  CHECK(page.find("<script") == std::string::npos);
  CHECK(page.find("src=") == std::string::npos);
  CHECK(page.find("nan") == std::string::npos);
}

TEST_CASE("a plot omits points that its scales cannot show") {
  Plot plot{"t",
            "x",
            "y",
            Scale::logarithmic,
            Scale::logarithmic,
            {{"c", {{0, 1, 0}, {1, 0, 0}, {10, 5, 0}, {100, 50, 0}}}},
            Legend::shown};
  const std::string out = draw_svg(plot);
  CHECK(out.find("points=\"70.0,312.0 470.0,34.0 \"") != std::string::npos);
  CHECK(draw_svg({"empty", "x", "y", Scale::linear, Scale::linear, {}, Legend::shown}).find("</svg>") !=
        std::string::npos);
}

TEST_CASE("moments of Bounded Pareto sizes agree with a numerical integral") {
  for (const double alpha : {0.9, 1.0, 1.5, 2.0}) {
    const BoundedPareto sizes{alpha, 2, 1e4};
    for (const double power : {-1.0, 0.0, 1.0, 2.0}) {
      double sum = 0;
      const int steps = 200'000;
      for (int i = 0; i < steps; ++i) {
        const double low = 2 * std::pow(5000.0, static_cast<double>(i) / steps);
        const double high = 2 * std::pow(5000.0, static_cast<double>(i + 1) / steps),
                     middle = std::sqrt(low * high);
        sum += std::pow(middle, power - alpha - 1) * (high - low) * alpha * std::pow(2, alpha) /
               (1 - std::pow(2 / 1e4, alpha));
      }
      CHECK(sizes.moment(power) == Approx(sum).epsilon(1e-6));
    }
    CHECK(sizes.moment(0) == Approx(1));
  }
  CHECK(bounded_pareto_with_mean(1.3, 1e10, 3000).moment(1) == Approx(3000));
  CHECK_THROWS_AS(bounded_pareto_with_mean(1.3, 1000, 3000), ExperimentError);
}

TEST_CASE("hosts under SITA-E have equal work, and a single host has the same slowdown under both policies") {
  const BoundedPareto sizes = bounded_pareto_with_mean(1.4, 1e8, 3000);
  const auto edges = equal_work_edges(sizes, 8);
  for (std::size_t i = 0; i < 8; ++i) CHECK(sizes.moment(1, edges[i], edges[i + 1]) == Approx(3000.0 / 8));
  CHECK(sita_e(sizes, 0.5, 1).slowdown == Approx(random_splitting(sizes, 0.5).slowdown));
  CHECK(sita_e(sizes, 0.5, 8).slowdown < random_splitting(sizes, 0.5).slowdown);
  CHECK(observable_share(sizes, 1e12) > 0.999);
  CHECK(observable_share(sizes, 1e4) < 0.2);
}

// The sizes are chosen so that a short run observes their second moment. The seeds are fixed, so that the
// result is, too.
TEST_CASE("the emulator agrees with the closed forms of M/G/1 hosts") {
  TheoryPlan plan;
  plan.alphas = {1.1, 1.9};
  plan.loads = {0.5, 0.8};
  plan.largest_size = 1e5;
  plan.jobs = 20'000;
  for (const auto& row : play_theory(plan)) {
    INFO(row.policy << " load " << row.load << " alpha " << row.alpha << ": " << row.slowdown.mean << " +- "
                    << row.slowdown.half_width << ", expected " << row.expected_slowdown);
    CHECK(row.observable_share > 0.9);
    CHECK(std::abs(row.slowdown.mean - row.expected_slowdown) <= 1.5 * row.slowdown.half_width);
    CHECK(row.slowdown.half_width < 0.2 * row.expected_slowdown);
  }
}
