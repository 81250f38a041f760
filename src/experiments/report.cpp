#include "experiments/report.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <nlohmann/json.hpp>

#include "experiments/plot.hpp"
#include "experiments/statistics.hpp"

namespace thornwick::experiments {
namespace {

constexpr std::size_t kMaxReplicaCurves = 32;  // maximum number of curves in one plot
constexpr double kMicrosecondsPerMillisecond = 1000;

// All days of one grid point.
struct Group {
  GridPoint point;
  std::vector<const ResultRow*> rows;

  Estimate estimate_of(double ResultRow::*field) const {
    std::vector<double> values;
    values.reserve(rows.size());
    for (const ResultRow* row : rows) values.push_back(row->*field);
    return estimate(values);
  }
};

// Groups the rows by their grid points, in the order of each point's first row.
std::vector<Group> group_by_point(const std::vector<ResultRow>& rows) {
  std::vector<Group> groups;
  for (const auto& row : rows) {
    const auto same_point = [&](const Group& group) { return group.point == row.point; };
    auto found = std::find_if(groups.begin(), groups.end(), same_point);
    if (found == groups.end()) found = groups.insert(groups.end(), {row.point, {}});
    found->rows.push_back(&row);
  }
  return groups;
}

struct Measure {
  const char* name;
  double ResultRow::*field;
};
constexpr Measure kMeasures[] = {{"score", &ResultRow::score},
                                 {"in time", &ResultRow::in_time_share},
                                 {"prompt tokens found kept", &ResultRow::cached_share},
                                 {"shed", &ResultRow::rejected_share},
                                 {"attempts a request", &ResultRow::attempts_per_turn},
                                 {"decisions, us a request", &ResultRow::decision_us},
                                 {"emulated requests a second", &ResultRow::requests_per_s}};

std::string format_estimate(const Estimate& value) {
  if (value.count < 2) return fmt::format("{:.4g}", value.mean);
  return fmt::format("{:.4g} &plusmn; {:.2g}", value.mean, value.half_width);
}

std::string write_table(const std::vector<Group>& groups) {
  std::string out = "<table><tr><th>scenario</th><th>settings</th><th>policy</th><th>days</th>";
  for (const auto& measure : kMeasures) out += fmt::format("<th>{}</th>", measure.name);
  out += "<th>rules broken</th></tr>\n";
  for (const auto& group : groups) {
    out += fmt::format("<tr><td>{}</td><td>{}</td><td>{}</td><td>{}</td>", escape_html(group.point.scenario),
                       escape_html(group.point.settings), escape_html(group.point.policy), group.rows.size());
    for (const auto& measure : kMeasures) {
      out += fmt::format("<td>{}</td>", format_estimate(group.estimate_of(measure.field)));
    }
    std::uint64_t rules_broken = 0;
    for (const ResultRow* row : group.rows) rules_broken += row->rules_broken;
    out += fmt::format("<td>{}</td></tr>\n", rules_broken);
  }
  return out + "</table>\n";
}

struct Setting {
  std::string key;
  std::string value;
};

// Parses settings such as "fleet.boxes=48 day.load=0.6".
std::vector<Setting> parse_settings(const std::string& text) {
  std::vector<Setting> settings;
  for (std::size_t begin = 0; begin < text.size();) {
    const auto end = std::min(text.find(' ', begin), text.size());
    const std::string setting = text.substr(begin, end - begin);
    const auto equals = setting.find('=');
    settings.push_back({setting.substr(0, equals), setting.substr(equals + 1)});
    begin = end + 1;
  }
  return settings;
}

// The value of one key among the settings of a grid point, and the text of the other settings.
struct Position {
  double value = 0;
  bool is_number = false;
  std::string other_settings;
};
Position position_on_axis(const std::string& settings, const std::string& key) {
  Position position;
  for (const auto& setting : parse_settings(settings)) {
    if (setting.key == key) {
      char* end = nullptr;
      position.value = std::strtod(setting.value.c_str(), &end);
      position.is_number = *end == '\0';
    } else {
      position.other_settings +=
          (position.other_settings.empty() ? "" : " ") + setting.key + "=" + setting.value;
    }
  }
  return position;
}

// Plots one measure by one setting, with a curve for each policy and each combination of the other settings.
// Returns an empty string if no curve has two points or more.
std::string plot_measure(const std::vector<Group>& groups, const std::string& scenario,
                         const std::string& key, const Measure& measure) {
  std::map<std::string, Curve> curves;
  for (const auto& group : groups) {
    const Position position = position_on_axis(group.point.settings, key);
    if (group.point.scenario != scenario || !position.is_number) continue;
    const Estimate value = group.estimate_of(measure.field);
    const bool measured = value.mean != 0 || measure.field == &ResultRow::rejected_share;
    if (!measured) continue;
    std::string name = group.point.policy;
    if (!position.other_settings.empty()) name += " " + position.other_settings;
    curves[name].name = name;
    curves[name].points.push_back({position.value, value.mean, value.half_width});
  }
  Plot plot;
  plot.title = fmt::format("{}: {} by {}", scenario, measure.name, key);
  plot.x_name = key;
  plot.y_name = measure.name;
  plot.x_scale = Scale::logarithmic;
  for (auto& [name, curve] : curves) {
    const auto by_x = [](const PlotPoint& left, const PlotPoint& right) { return left.x < right.x; };
    std::sort(curve.points.begin(), curve.points.end(), by_x);
    if (curve.points.size() > 1) plot.curves.push_back(curve);
  }
  return plot.curves.empty() ? "" : draw_svg(plot);
}

// Plots every measure by every setting of every scenario.
std::string plot_by_setting(const std::vector<Group>& groups) {
  std::string out;
  std::vector<std::string> drawn;
  for (const auto& group : groups) {
    for (const auto& setting : parse_settings(group.point.settings)) {
      const std::string subject = group.point.scenario + setting.key;
      if (std::find(drawn.begin(), drawn.end(), subject) != drawn.end()) continue;
      drawn.push_back(subject);
      for (const auto& measure : kMeasures) {
        out += plot_measure(groups, group.point.scenario, setting.key, measure);
      }
    }
  }
  return out;
}

struct Percentile {
  const char* name;
  double longer_share;  // fraction of the answers that took longer
};
constexpr Percentile kPercentiles[] = {{"p50", 0.5}, {"p90", 0.1}, {"p99", 0.01}, {"p999", 0.001}};

std::string plot_first_token(const std::string& day, const nlohmann::json& result) {
  Plot plot;
  plot.title = day + ": time to the first token";
  plot.x_name = "part of the answers that took longer";
  plot.y_name = "ms";
  plot.x_scale = Scale::logarithmic;
  plot.y_scale = Scale::logarithmic;
  for (const auto& request_class : result["classes"]) {
    Curve curve{request_class["name"], {}};
    for (const auto& percentile : kPercentiles) {
      const double time_us = request_class["first_us"][percentile.name].get<double>();
      curve.points.push_back({percentile.longer_share, time_us / kMicrosecondsPerMillisecond, 0});
    }
    plot.curves.push_back(curve);
  }
  return draw_svg(plot);
}

std::string plot_requests_in_flight(const std::string& day, const nlohmann::json& result) {
  Plot plot;
  plot.title = day + ": requests in each box";
  plot.x_name = "s";
  plot.y_name = "requests";
  plot.legend = Legend::hidden;
  const double sample_s = result.value("sample_s", 1.0);
  for (const auto& replica : result["fleet"]) {
    if (plot.curves.size() == kMaxReplicaCurves) break;
    Curve curve{std::to_string(replica["id"].get<std::uint64_t>()), {}};
    double time_s = 0;
    for (const auto& in_flight : replica["held"]) {
      curve.points.push_back({time_s, in_flight.get<double>(), 0});
      time_s += sample_s;
    }
    plot.curves.push_back(curve);
  }
  return draw_svg(plot);
}

std::string plot_day(const ResultRow& row) {
  const auto result = nlohmann::json::parse(row.json, nullptr, false);
  if (result.is_discarded()) return "";
  const std::string day =
      fmt::format("{} {} {}, seed {}", row.point.scenario, row.point.settings, row.point.policy, row.seed);
  return plot_first_token(day, result) + plot_requests_in_flight(day, result);
}

constexpr const char* kStyle =
    "<style>body{font-family:sans-serif;margin:2em;max-width:1300px}table{border-collapse:collapse;"
    "font-size:13px}td,th{border:1px solid #ccc;padding:3px "
    "7px;text-align:left}svg{margin:8px}</style>\n";

}  // namespace

std::string write_report(const std::string& title, const std::vector<ResultRow>& rows) {
  const auto groups = group_by_point(rows);
  std::string out = R"(<!doctype html><html lang="en"><meta charset="utf-8"><title>)" + escape_html(title) +
                    "</title>" + kStyle + "<h1>" + escape_html(title) + "</h1>\n";
  out += "<p>Means over days with 95 % confidence intervals (Student's t).</p>\n" + write_table(groups);
  out += "<h2>By setting</h2>\n" + plot_by_setting(groups) + "<h2>Single days</h2>\n";
  for (const auto& row : rows) {
    if (!row.json.empty()) out += plot_day(row);
  }
  return out + "</html>\n";
}

}  // namespace thornwick::experiments
