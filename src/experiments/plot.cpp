#include "experiments/plot.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace thornwick::experiments {
namespace {

// Dimensions in pixels.
constexpr double kWidth = 620;
constexpr double kHeight = 360;
constexpr double kLeft = 70;
constexpr double kRight = 150;
constexpr double kTop = 34;
constexpr double kBottom = 48;
constexpr double kPlotRight = kWidth - kRight;
constexpr double kPlotBottom = kHeight - kBottom;
constexpr double kTitleY = 18;
constexpr double kLegendLine = 14;
constexpr int kTicks = 5;
constexpr const char* kGridColour = "#eee";
constexpr const char* kColours[] = {"#1b6ca8", "#c0392b", "#2e8b57", "#8e44ad",
                                    "#d68910", "#34495e", "#16a085", "#7f8c8d"};

// Maps the values of one axis to pixels between `from` and `to`.
class AxisScale {
 public:
  AxisScale(Scale scale, double from, double to) : scale_(scale), from_(from), to_(to) {}

  // Extends the axis to the value, if the value can be drawn.
  void include(double value) {
    if (!drawable(value)) return;
    low_ = std::min(low_, scaled(value));
    high_ = std::max(high_, scaled(value));
  }

  bool drawable(double value) const { return std::isfinite(value) && (scale_ == Scale::linear || value > 0); }

  // Completes the axis after the last include(). A linear axis begins at zero if zero is near, and every axis
  // gets a positive extent.
  void finish() {
    if (low_ > high_) {
      low_ = 0;
      high_ = 1;
    }
    if (scale_ == Scale::linear && low_ > 0 && low_ < kNearZero * high_) low_ = 0;
    if (high_ - low_ < kMinExtent) {
      high_ += 0.5;
      low_ -= 0.5;
    }
  }

  double pixel(double value) const { return from_ + (scaled(value) - low_) / (high_ - low_) * (to_ - from_); }

  std::vector<double> ticks() const {
    std::vector<double> values;
    for (int i = 0; i <= kTicks; ++i) {
      const double at = low_ + (high_ - low_) * i / kTicks;
      values.push_back(scale_ == Scale::logarithmic ? std::pow(10, at) : at);
    }
    return values;
  }

 private:
  static constexpr double kNearZero =
      0.5;  // fraction of the largest value below which zero is near the smallest one
  static constexpr double kMinExtent = 1e-9;

  double scaled(double value) const { return scale_ == Scale::logarithmic ? std::log10(value) : value; }

  Scale scale_;
  double from_;
  double to_;
  double low_ = std::numeric_limits<double>::infinity();
  double high_ = -std::numeric_limits<double>::infinity();
};

struct Axes {
  AxisScale x;
  AxisScale y;

  bool drawable(const PlotPoint& point) const { return x.drawable(point.x) && y.drawable(point.y); }
};

std::string draw_text(double pixel_x, double pixel_y, const char* anchor, const std::string& text) {
  return fmt::format("<text x=\"{:.1f}\" y=\"{:.1f}\" text-anchor=\"{}\">{}</text>\n", pixel_x, pixel_y,
                     anchor, escape_html(text));
}

std::string draw_line(double x1, double y1, double x2, double y2, const char* colour) {
  return fmt::format("<line x1=\"{:.1f}\" y1=\"{:.1f}\" x2=\"{:.1f}\" y2=\"{:.1f}\" stroke=\"{}\"/>\n", x1,
                     y1, x2, y2, colour);
}

std::string draw_curve(const Curve& curve, const Axes& axes, const char* colour) {
  std::string path;
  std::string intervals;
  for (const auto& point : curve.points) {
    if (!axes.drawable(point)) continue;
    const double pixel_x = axes.x.pixel(point.x);
    path += fmt::format("{:.1f},{:.1f} ", pixel_x, axes.y.pixel(point.y));
    const double low = point.y - point.half_width;
    if (point.half_width > 0 && std::isfinite(point.half_width) && axes.y.drawable(low)) {
      intervals +=
          draw_line(pixel_x, axes.y.pixel(low), pixel_x, axes.y.pixel(point.y + point.half_width), colour);
    }
  }
  const std::string line = fmt::format(
      "<polyline points=\"{}\" fill=\"none\" stroke=\"{}\" stroke-width=\"1.5\"/>\n", path, colour);
  return line + intervals;
}

// Returns axes that show all points with their intervals.
Axes axes_for(const Plot& plot) {
  Axes axes{AxisScale(plot.x_scale, kLeft, kPlotRight), AxisScale(plot.y_scale, kPlotBottom, kTop)};
  for (const auto& curve : plot.curves) {
    for (const auto& point : curve.points) {
      if (!axes.drawable(point)) continue;
      axes.x.include(point.x);
      axes.y.include(point.y);
      if (!std::isfinite(point.half_width)) continue;
      axes.y.include(point.y - point.half_width);
      axes.y.include(point.y + point.half_width);
    }
  }
  axes.x.finish();
  axes.y.finish();
  return axes;
}

std::string draw_grid(const Axes& axes) {
  std::string out;
  for (const double tick : axes.x.ticks()) {
    const double pixel_x = axes.x.pixel(tick);
    out += draw_line(pixel_x, kTop, pixel_x, kPlotBottom, kGridColour);
    out += draw_text(pixel_x, kPlotBottom + 14, "middle", fmt::format("{:.3g}", tick));
  }
  for (const double tick : axes.y.ticks()) {
    const double pixel_y = axes.y.pixel(tick);
    out += draw_line(kLeft, pixel_y, kPlotRight, pixel_y, kGridColour);
    out += draw_text(kLeft - 6, pixel_y + 4, "end", fmt::format("{:.3g}", tick));
  }
  return out;
}

std::string draw_legend_entry(std::size_t number, const std::string& name, const char* colour) {
  const double pixel_y = kTop + kLegendLine * static_cast<double>(number);
  return draw_line(kPlotRight + 8, pixel_y, kPlotRight + 22, pixel_y, colour) +
         draw_text(kPlotRight + 26, pixel_y + 4, "start", name);
}

}  // namespace

std::string escape_html(const std::string& text) {
  std::string escaped;
  for (const char letter : text) {
    switch (letter) {
      case '<': escaped += "&lt;"; break;
      case '>': escaped += "&gt;"; break;
      case '&': escaped += "&amp;"; break;
      case '"': escaped += "&quot;"; break;
      default: escaped += letter;
    }
  }
  return escaped;
}

std::string draw_svg(const Plot& plot) {
  const Axes axes = axes_for(plot);
  std::string out = fmt::format(
      "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 {0} {1}\" width=\"{0}\" height=\"{1}\" "
      "font-family=\"sans-serif\" font-size=\"11\">\n",
      kWidth, kHeight);
  out += draw_text(kLeft, kTitleY, "start", plot.title);
  out += draw_grid(axes);
  out += draw_text((kLeft + kPlotRight) / 2, kHeight - 12, "middle", plot.x_name);
  out += draw_text(8, kTop - 4, "start", plot.y_name);
  for (std::size_t number = 0; number < plot.curves.size(); ++number) {
    const Curve& curve = plot.curves[number];
    const char* colour = kColours[number % std::size(kColours)];
    out += draw_curve(curve, axes, colour);
    if (plot.legend == Legend::shown) out += draw_legend_entry(number, curve.name, colour);
  }
  return out + "</svg>\n";
}

}  // namespace thornwick::experiments
