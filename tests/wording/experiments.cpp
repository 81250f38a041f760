// The pages and lines of `thornwick lab`: plots, reports and the output of its commands. Pages are made from
// rows that are written here, so that nothing in them depends on a day that is played; numbers of played days
// are masked.
#include <cctype>

#include "expected.hpp"
#include "experiments/plot.hpp"
#include "experiments/report.hpp"
#include "experiments/theory.hpp"
#include "program_run.hpp"

using namespace thornwick;
using namespace thornwick::experiments;
using thornwick::testing::check_expected;
using thornwick::testing::ProgramResult;
using thornwick::testing::run_program;
using thornwick::testing::Scratch;

namespace {

constexpr const char* kDay =
    R"({"classes": [{"name": "chat", "first_us": {"p50": 120000, "p90": 400000, "p99": 900000, "p999": 1500000}}],
 "sample_s": 0.5, "fleet": [{"id": 3, "held": [0, 2, 5, 1]}, {"id": 9, "held": [1, 1, 0, 0]}]})";

ResultRow row_of(const std::string& settings, const std::string& policy, std::uint64_t seed, double score) {
  ResultRow row;
  row.point = {"small & <quick>", settings, policy};
  row.seed = seed;
  row.score = score;
  row.in_time_share = score / 2;
  row.cached_share = 0.25;
  row.rejected_share = 1 - score;
  row.attempts_per_turn = 1.5;
  row.decision_us = 12;
  row.requests_per_s = 90'000;
  row.turns = 1000;
  row.rules_broken = seed == 2 ? 1 : 0;
  if (seed == 1) row.json = kDay;
  return row;
}

// Each run of digits as one '#': the words of a line, whatever was measured.
std::string without_numbers(const std::string& text) {
  std::string masked;
  for (const char letter : text) {
    const bool digit = std::isdigit(static_cast<unsigned char>(letter)) != 0;
    if (digit && !masked.empty() && masked.back() == '#') continue;
    masked += digit ? '#' : letter;
  }
  return masked;
}

}  // namespace

TEST_CASE("a plot is drawn as before") {
  const std::vector<Curve> curves = {{"one <curve>", {{1, 10, 2}, {10, 100, 0}, {100, 30, 5}}},
                                     {"another", {{1, 0, 0}, {5, 3, 1}}}};
  check_expected("experiments/plot.svg",
                 draw_svg({"linear", "x", "y", Scale::linear, Scale::linear, curves, Legend::shown}));
  check_expected("experiments/plot_log.svg", draw_svg({"logarithmic", "x & more", "y", Scale::logarithmic,
                                                       Scale::logarithmic, curves, Legend::hidden}));
}

TEST_CASE("a report is written as before") {
  const std::vector<ResultRow> rows = {row_of("fleet.boxes=4 day.load=0.5", "module", 1, 0.75),
                                       row_of("fleet.boxes=4 day.load=0.5", "module", 2, 0.5),
                                       row_of("fleet.boxes=8 day.load=0.5", "module", 1, 0.875),
                                       row_of("fleet.boxes=8 day.load=0.5", "random", 1, 0.25),
                                       row_of("fleet.boxes=4 day.load=0.5", "random", 1, 0.125)};
  check_expected("experiments/report.html", write_report("results & more", rows));
}

TEST_CASE("a page of theory is written as before") {
  TheoryPlan plan;
  plan.alphas = {1.1, 1.5};
  plan.loads = {0.5};
  TheoryRow agrees;
  agrees.policy = "random";
  agrees.alpha = 1.1;
  agrees.load = 0.5;
  agrees.slowdown = {8, 12.5, 1.25};
  agrees.expected_slowdown = 12;
  agrees.observable_share = 0.875;
  TheoryRow differs = agrees;
  differs.policy = "sita";
  differs.alpha = 1.5;
  differs.expected_slowdown = 20;
  check_expected("experiments/theory.html", write_theory_page(plan, {agrees, differs}));
}

TEST_CASE("lab's commands print the same lines") {
  const Scratch folder;
  const std::string scenario = std::string(THORNWICK_EXAMPLES) + "/lab/demo.toml";
  const std::string small =
      " --set day.seconds=4 --set day.warm_up_s=1 --days 2 --policy random --policy sita --quiet";
  std::string lines;
  for (const std::string& command :
       {"lab run " + scenario + " --policy random", "lab sweep " + scenario + small,
        "lab compare " + scenario + small,
        std::string("lab theory --alpha 1.5 --load 0.5 --most 10000 --jobs 200 --runs 2")}) {
    const ProgramResult result = run_program(command, folder);
    CHECK(result.status == 0);
    CHECK(result.errors.empty());
    lines += without_numbers(result.output);
  }
  check_expected("experiments/lines.txt", lines);
}
