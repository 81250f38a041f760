#include "experiments/theory.hpp"

#include <fmt/format.h>

#include <cmath>

#include "emulator/day.hpp"
#include "experiments/plot.hpp"
#include "experiments/worker_pool.hpp"

namespace thornwick::experiments {
namespace {

constexpr double kMicroseconds =
    100;  // of one of the paper's units: the clock's step must not show in small sizes

emulator::Scenario hosts_of(const TheoryPlan& plan, const BoundedPareto& sizes, double load,
                            const char* policy) {
  emulator::Scenario s;
  s.name = "theory";
  s.policy = policy;
  s.replicas = static_cast<std::size_t>(plan.hosts);
  s.routers = 1;
  s.load = {load, load};
  s.seconds = plan.jobs * plan.mean * kMicroseconds / 1e6 / (load * plan.hosts);
  s.warm_up_s = 0;
  s.end_s = 1e9;
  s.same_ms = {0.001, 0.001};
  s.jitter = 0;
  s.handshake_ms = 0;
  s.idle_s = 1e9;
  s.max_connections = 1'000'000'000;
  s.retries = 0, s.try_share = 1, s.attempts = 1;
  s.cancel_probability = 0;
  s.hint_sigma = 0;
  s.kinds = {emulator::ReplicaKind{}};
  s.kinds[0].queue = true;
  s.kinds[0].warm_up_s = {0, 0};
  emulator::RequestClass d;
  d.name = "jobs";
  d.latency_objective_ms = d.deadline_ms = 1e12;
  d.token_ms = 1e12;
  d.alpha = sizes.alpha;
  d.min_us = sizes.least * kMicroseconds, d.max_us = sizes.most * kMicroseconds,
  d.mean_us = plan.mean * kMicroseconds;
  s.classes = {d};
  return s;
}

}  // namespace

bool TheoryRow::agrees() const { return std::abs(slowdown.mean - expected) <= slowdown.half; }

std::vector<TheoryRow> play_theory(const TheoryPlan& plan) {
  struct Job {
    std::size_t row = 0;
    unsigned run = 0;
    emulator::Scenario scenario;
  };
  std::vector<TheoryRow> rows;
  std::vector<Job> jobs;
  for (const char* policy : {"random", "sita"}) {
    for (const double load : plan.loads) {
      for (const double alpha : plan.alphas) {
        const BoundedPareto sizes = with_mean(alpha, plan.most, plan.mean);
        const Expected expected =
            std::string(policy) == "random" ? random_splitting(sizes, load) : sita_e(sizes, load, plan.hosts);
        rows.push_back(
            {policy, alpha, load, {}, expected.slowdown, part_in_sight(sizes, plan.jobs * plan.runs)});
        for (unsigned run = 0; run < plan.runs; ++run) {
          jobs.push_back({rows.size() - 1, run, hosts_of(plan, sizes, load, policy)});
        }
      }
    }
  }
  std::vector<std::vector<double>> means(rows.size(), std::vector<double>(plan.runs));
  over_all(jobs.size(), plan.threads, [&](std::size_t at) {
    const auto r = emulator::play_day(jobs[at].scenario, plan.seed + jobs[at].run);
    means[jobs[at].row][jobs[at].run] =
        r.slowdown_sum / static_cast<double>(std::max<std::uint64_t>(1, r.slowdowns));
  });
  for (std::size_t i = 0; i < rows.size(); ++i) rows[i].slowdown = estimate(means[i]);
  return rows;
}

std::string theory_page(const TheoryPlan& plan, const std::vector<TheoryRow>& rows) {
  std::string out =
      "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>Emulator and "
      "theory</title><style>body{font-family:"
      "sans-serif;margin:2em}table{border-collapse:collapse}td,th{border:1px solid #ccc;padding:3px "
      "7px}</style>\n";
  out += fmt::format(
      "<h1>Mean slowdown: emulator and closed forms</h1><p>{} hosts, mean {}, largest {:.0e}, {} runs of {} "
      "jobs; 95 % intervals.</p>\n<table><tr><th>policy</th><th>load</th><th>alpha</th><th>emulated</th>"
      "<th>closed form</th><th>second moment in sight</th><th>agrees</th></tr>\n",
      plan.hosts, plan.mean, plan.most, plan.runs, plan.jobs);
  for (const auto& r : rows) {
    out += fmt::format(
        "<tr><td>{}</td><td>{}</td><td>{}</td><td>{:.5g} &plusmn; {:.2g}</td><td>{:.5g}</td><td>{:.3f}</td>"
        "<td>{}</td></tr>\n",
        r.policy, r.load, r.alpha, r.slowdown.mean, r.slowdown.half, r.expected, r.in_sight,
        r.agrees() ? "yes" : "no");
  }
  out += "</table>\n";
  for (const double load : plan.loads) {
    Plot plot{fmt::format("Mean slowdown at load {}", load), "alpha", "slowdown", false, true, {}, true};
    for (const char* policy : {"random", "sita"}) {
      Curve seen{std::string(policy) + " emulated", {}}, said{std::string(policy) + " theory", {}};
      for (const auto& r : rows) {
        if (r.policy != policy || r.load != load) continue;
        seen.points.push_back({r.alpha, r.slowdown.mean, r.slowdown.half});
        said.points.push_back({r.alpha, r.expected, 0});
      }
      plot.curves.push_back(seen);
      plot.curves.push_back(said);
    }
    out += svg(plot);
  }
  return out + "</html>\n";
}

}  // namespace thornwick::experiments
