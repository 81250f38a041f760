#include "experiments/report.hpp"

#include <fmt/format.h>

#include <cstdlib>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>

#include "experiments/plot.hpp"
#include "experiments/statistics.hpp"

namespace thornwick::experiments {
namespace {

constexpr std::size_t kMostLines = 32;  // replicas drawn in one plot

struct Group {
  Point point;
  std::vector<const Row*> rows;
  Estimate of(double Row::*field) const {
    std::vector<double> values;
    for (const Row* row : rows) values.push_back(row->*field);
    return estimate(values);
  }
};

// By the order in which they come.
std::vector<Group> grouped(const std::vector<Row>& rows) {
  std::vector<Group> groups;
  for (const auto& row : rows) {
    auto found = std::find_if(groups.begin(), groups.end(), [&](auto& g) { return g.point == row.point; });
    if (found == groups.end()) found = groups.insert(groups.end(), {row.point, {}});
    found->rows.push_back(&row);
  }
  return groups;
}

struct Measure {
  const char* name;
  double Row::*field;
};
constexpr Measure kMeasures[] = {{"score", &Row::score},
                                 {"in time", &Row::in_time},
                                 {"prompt tokens found kept", &Row::kept},
                                 {"shed", &Row::rejected},
                                 {"attempts a request", &Row::attempts},
                                 {"decisions, us a request", &Row::module_us},
                                 {"emulated requests a second", &Row::requests_per_s}};

std::string shown(const Estimate& e) {
  return e.count < 2 ? fmt::format("{:.4g}", e.mean) : fmt::format("{:.4g} &plusmn; {:.2g}", e.mean, e.half);
}

std::string table(const std::vector<Group>& groups) {
  std::string out = "<table><tr><th>scenario</th><th>settings</th><th>policy</th><th>days</th>";
  for (const auto& m : kMeasures) out += fmt::format("<th>{}</th>", m.name);
  out += "<th>rules broken</th></tr>\n";
  for (const auto& g : groups) {
    out += fmt::format("<tr><td>{}</td><td>{}</td><td>{}</td><td>{}</td>", escaped(g.point.scenario),
                       escaped(g.point.settings), escaped(g.point.policy), g.rows.size());
    for (const auto& m : kMeasures) out += fmt::format("<td>{}</td>", shown(g.of(m.field)));
    std::uint64_t broken = 0;
    for (const Row* row : g.rows) broken += row->rules;
    out += fmt::format("<td>{}</td></tr>\n", broken);
  }
  return out + "</table>\n";
}

// "fleet.replicas=48 day.load=0.6" with one key taken out: its value and what is left.
struct Split {
  double value = 0;
  std::string rest;
  bool numeric = false;
};
Split split(const std::string& settings, const std::string& key) {
  Split s;
  for (std::size_t at = 0; at < settings.size();) {
    const auto end = std::min(settings.find(' ', at), settings.size());
    const std::string one = settings.substr(at, end - at);
    const auto equals = one.find('=');
    if (one.substr(0, equals) == key) {
      char* stop = nullptr;
      s.value = std::strtod(one.c_str() + equals + 1, &stop);
      s.numeric = stop != nullptr && *stop == '\0';
    } else {
      s.rest += (s.rest.empty() ? "" : " ") + one;
    }
    at = end + 1;
  }
  return s;
}

std::vector<std::string> keys_of(const std::string& settings) {
  std::vector<std::string> keys;
  for (std::size_t at = 0; at < settings.size();) {
    const auto end = std::min(settings.find(' ', at), settings.size());
    keys.push_back(settings.substr(at, settings.find('=', at) - at));
    at = end + 1;
  }
  return keys;
}

// How each measure goes with a setting, a curve for each policy and each value of the others.
std::string scale_curves(const std::vector<Group>& groups) {
  std::string out;
  std::vector<std::string> seen;
  for (const auto& first : groups) {
    for (const auto& key : keys_of(first.point.settings)) {
      if (std::find(seen.begin(), seen.end(), first.point.scenario + key) != seen.end()) continue;
      seen.push_back(first.point.scenario + key);
      for (const auto& m : kMeasures) {
        std::map<std::string, Curve> curves;
        for (const auto& g : groups) {
          const Split s = split(g.point.settings, key);
          if (g.point.scenario != first.point.scenario || !s.numeric) continue;
          const std::string name = g.point.policy + (s.rest.empty() ? "" : " " + s.rest);
          const Estimate e = g.of(m.field);
          if (e.mean == 0 && m.field != &Row::rejected) continue;  // not measured
          curves[name].name = name;
          curves[name].points.push_back({s.value, e.mean, e.half});
        }
        Plot plot{fmt::format("{}: {} by {}", first.point.scenario, m.name, key),
                  key,
                  m.name,
                  true,
                  false,
                  {},
                  true};
        for (auto& [name, curve] : curves) {
          std::sort(curve.points.begin(), curve.points.end(), [](auto& a, auto& b) { return a.x < b.x; });
          if (curve.points.size() > 1) plot.curves.push_back(curve);
        }
        if (!plot.curves.empty()) out += svg(plot);
      }
    }
  }
  return out;
}

std::string day_plots(const Row& row) {
  const auto json = nlohmann::json::parse(row.json, nullptr, false);
  if (json.is_discarded()) return "";
  const std::string name =
      fmt::format("{} {} {}, seed {}", row.point.scenario, row.point.settings, row.point.policy, row.seed);
  Plot latency{
      name + ": time to the first token", "part of the answers that took longer", "ms", true, true, {}, true};
  for (const auto& c : json["classes"]) {
    Curve curve{c["name"], {}};
    for (const auto& [percentile, longer] :
         {std::pair{"p50", 0.5}, {"p90", 0.1}, {"p99", 0.01}, {"p999", 0.001}}) {
      curve.points.push_back({longer, c["first_us"][percentile].get<double>() / 1000, 0});
    }
    latency.curves.push_back(curve);
  }
  Plot load{name + ": requests in each box", "s", "requests", false, false, {}, false};
  const double step = json.value("sample_s", 1.0);
  for (const auto& replica : json["fleet"]) {
    if (load.curves.size() == kMostLines) break;
    Curve curve{std::to_string(replica["id"].get<std::uint64_t>()), {}};
    double at = 0;
    for (const auto& held : replica["held"]) curve.points.push_back({at, held.get<double>(), 0}), at += step;
    load.curves.push_back(curve);
  }
  return svg(latency) + svg(load);
}

}  // namespace

std::string report(const std::string& title, const std::vector<Row>& rows) {
  const auto groups = grouped(rows);
  std::string out =
      "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>" + escaped(title) +
      "</title><style>body{font-family:sans-serif;margin:2em;max-width:1300px}table{border-collapse:collapse;"
      "font-size:13px}td,th{border:1px solid #ccc;padding:3px "
      "7px;text-align:left}svg{margin:8px}</style>\n<h1>" +
      escaped(title) + "</h1>\n<p>Means over days with 95 % confidence intervals (Student's t).</p>\n" +
      table(groups);
  out += "<h2>By setting</h2>\n" + scale_curves(groups) + "<h2>Single days</h2>\n";
  for (const auto& row : rows) {
    if (!row.json.empty()) out += day_plots(row);
  }
  return out + "</html>\n";
}

}  // namespace thornwick::experiments
