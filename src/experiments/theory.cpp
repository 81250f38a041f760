#include "experiments/theory.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <string_view>

#include "emulator/day.hpp"
#include "experiments/plot.hpp"
#include "experiments/worker_pool.hpp"

namespace thornwick::experiments {
namespace {

// Service time of a size of 1. The value is large, so that the clock's resolution of a microsecond does not
// affect small sizes.
constexpr double kMicrosecondsPerUnit = 100;
constexpr double kUnlimitedS = 1e9;
constexpr double kUnlimitedMs = 1e12;
constexpr std::string_view kRandomSplitting = "random";
constexpr std::string_view kSitaE = "sita";
constexpr std::string_view kPolicies[] = {kRandomSplitting, kSitaE};

// Returns a scenario of hosts that serve one request after the other, without limits of connections, retries
// or anything else that the theory omits.
emulator::Scenario hosts_scenario(const TheoryPlan& plan, const BoundedPareto& sizes, double load,
                                  std::string_view policy) {
  emulator::Scenario scenario;
  scenario.name = "theory";
  scenario.policy = std::string(policy);
  scenario.replicas = static_cast<std::size_t>(plan.hosts);
  scenario.routers = 1;
  scenario.load = {load, load};
  scenario.seconds = plan.jobs * plan.mean_size * kMicrosecondsPerUnit / 1e6 / (load * plan.hosts);
  scenario.warm_up_s = 0;
  scenario.max_overtime_s = kUnlimitedS;
  scenario.same_zone_ms = {0.001, 0.001};
  scenario.jitter = 0;
  scenario.handshake_ms = 0;
  scenario.idle_timeout_s = kUnlimitedS;
  scenario.max_connections = 1'000'000'000;
  scenario.retries = 0;
  scenario.try_timeout_fraction = 1;
  scenario.attempts = 1;
  scenario.cancel_probability = 0;
  scenario.hint_sigma = 0;
  scenario.kinds = {emulator::ReplicaKind{}};
  scenario.kinds[0].queue = true;
  scenario.kinds[0].warm_up_s = {0, 0};
  emulator::RequestClass jobs;
  jobs.name = "jobs";
  jobs.latency_objective_ms = kUnlimitedMs;
  jobs.deadline_ms = kUnlimitedMs;
  jobs.token_ms = kUnlimitedMs;
  jobs.alpha = sizes.alpha;
  jobs.min_us = sizes.min_size * kMicrosecondsPerUnit;
  jobs.max_us = sizes.max_size * kMicrosecondsPerUnit;
  jobs.mean_us = plan.mean_size * kMicrosecondsPerUnit;
  scenario.classes = {jobs};
  return scenario;
}

struct Job {
  std::size_t row = 0;
  unsigned run = 0;
  emulator::Scenario scenario;
};

TheoryRow expected_row(const TheoryPlan& plan, const BoundedPareto& sizes, double load,
                       std::string_view policy) {
  TheoryRow row;
  row.policy = std::string(policy);
  row.alpha = sizes.alpha;
  row.load = load;
  const ExpectedDelay expected =
      policy == kRandomSplitting ? random_splitting(sizes, load) : sita_e(sizes, load, plan.hosts);
  row.expected_slowdown = expected.slowdown;
  row.observable_share = observable_share(sizes, plan.jobs * plan.runs);
  return row;
}

double mean_slowdown(const emulator::Result& result) {
  return result.slowdown_sum / static_cast<double>(std::max<std::uint64_t>(1, result.slowdowns));
}

std::string write_table(const TheoryPlan& plan, const std::vector<TheoryRow>& rows) {
  std::string out = fmt::format(
      "<h1>Mean slowdown: emulator and closed forms</h1><p>{} hosts, mean {}, largest {:.0e}, {} runs of {} "
      "jobs; 95 % intervals.</p>\n<table><tr><th>policy</th><th>load</th><th>alpha</th><th>emulated</th>"
      "<th>closed form</th><th>second moment in sight</th><th>agrees</th></tr>\n",
      plan.hosts, plan.mean_size, plan.largest_size, plan.runs, plan.jobs);
  for (const auto& row : rows) {
    out += fmt::format(
        "<tr><td>{}</td><td>{}</td><td>{}</td><td>{:.5g} &plusmn; {:.2g}</td><td>{:.5g}</td><td>{:.3f}</td>"
        "<td>{}</td></tr>\n",
        row.policy, row.load, row.alpha, row.slowdown.mean, row.slowdown.half_width, row.expected_slowdown,
        row.observable_share, row.agrees() ? "yes" : "no");
  }
  return out + "</table>\n";
}

std::string plot_load(const std::vector<TheoryRow>& rows, double load) {
  Plot plot;
  plot.title = fmt::format("Mean slowdown at load {}", load);
  plot.x_name = "alpha";
  plot.y_name = "slowdown";
  plot.y_scale = Scale::logarithmic;
  for (const std::string_view policy : kPolicies) {
    Curve emulated{fmt::format("{} emulated", policy), {}};
    Curve theory{fmt::format("{} theory", policy), {}};
    for (const auto& row : rows) {
      if (row.policy != policy || row.load != load) continue;
      emulated.points.push_back({row.alpha, row.slowdown.mean, row.slowdown.half_width});
      theory.points.push_back({row.alpha, row.expected_slowdown, 0});
    }
    plot.curves.push_back(emulated);
    plot.curves.push_back(theory);
  }
  return draw_svg(plot);
}

}  // namespace

bool TheoryRow::agrees() const { return std::abs(slowdown.mean - expected_slowdown) <= slowdown.half_width; }

std::vector<TheoryRow> play_theory(const TheoryPlan& plan) {
  std::vector<TheoryRow> rows;
  std::vector<Job> jobs;
  for (const std::string_view policy : kPolicies) {
    for (const double load : plan.loads) {
      for (const double alpha : plan.alphas) {
        const BoundedPareto sizes = bounded_pareto_with_mean(alpha, plan.largest_size, plan.mean_size);
        for (unsigned run = 0; run < plan.runs; ++run) {
          jobs.push_back({rows.size(), run, hosts_scenario(plan, sizes, load, policy)});
        }
        rows.push_back(expected_row(plan, sizes, load, policy));
      }
    }
  }
  std::vector<std::vector<double>> slowdowns(rows.size(), std::vector<double>(plan.runs));
  for_each_index(jobs.size(), plan.threads, [&](std::size_t index) {
    const Job& job = jobs[index];
    slowdowns[job.row][job.run] = mean_slowdown(emulator::play_day(job.scenario, plan.seed + job.run));
  });
  for (std::size_t i = 0; i < rows.size(); ++i) rows[i].slowdown = estimate(slowdowns[i]);
  return rows;
}

std::string write_theory_page(const TheoryPlan& plan, const std::vector<TheoryRow>& rows) {
  std::string out =
      "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>Emulator and "
      "theory</title><style>body{font-family:"
      "sans-serif;margin:2em}table{border-collapse:collapse}td,th{border:1px solid #ccc;padding:3px "
      "7px}</style>\n";
  out += write_table(plan, rows);
  for (const double load : plan.loads) out += plot_load(rows, load);
  return out + "</html>\n";
}

}  // namespace thornwick::experiments
