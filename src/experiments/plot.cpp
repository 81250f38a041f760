#include "experiments/plot.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace thornwick::experiments {
namespace {

constexpr double kWidth = 620, kHeight = 360, kLeft = 70, kRight = 150, kTop = 34, kBottom = 48;
constexpr int kTicks = 5;
constexpr const char* kColours[] = {"#1b6ca8", "#c0392b", "#2e8b57", "#8e44ad",
                                    "#d68910", "#34495e", "#16a085", "#7f8c8d"};

// Values to places on one side of the picture.
class Axis {
 public:
  Axis(bool log, double from, double to) : log_(log), from_(from), to_(to) {}
  void take(double value) {
    if (!drawable(value)) return;
    low_ = std::min(low_, of(value)), high_ = std::max(high_, of(value));
  }
  bool drawable(double value) const { return std::isfinite(value) && (!log_ || value > 0); }
  // From zero where that is near, and never without extent.
  void settle() {
    if (low_ > high_) low_ = 0, high_ = 1;
    if (!log_ && low_ > 0 && low_ < 0.5 * high_) low_ = 0;
    if (high_ - low_ < 1e-9) high_ += 0.5, low_ -= 0.5;
  }
  double place(double value) const { return from_ + (of(value) - low_) / (high_ - low_) * (to_ - from_); }
  std::vector<double> ticks() const {
    std::vector<double> all;
    for (int i = 0; i <= kTicks; ++i) {
      const double at = low_ + (high_ - low_) * i / kTicks;
      all.push_back(log_ ? std::pow(10, at) : at);
    }
    return all;
  }

 private:
  double of(double value) const { return log_ ? std::log10(value) : value; }
  bool log_;
  double from_, to_;
  double low_ = std::numeric_limits<double>::infinity(), high_ = -std::numeric_limits<double>::infinity();
};

std::string text(double x, double y, const char* anchor, const std::string& words) {
  return fmt::format("<text x=\"{:.1f}\" y=\"{:.1f}\" text-anchor=\"{}\">{}</text>\n", x, y, anchor,
                     escaped(words));
}

std::string line(double x1, double y1, double x2, double y2, const char* colour) {
  return fmt::format("<line x1=\"{:.1f}\" y1=\"{:.1f}\" x2=\"{:.1f}\" y2=\"{:.1f}\" stroke=\"{}\"/>\n", x1,
                     y1, x2, y2, colour);
}

std::string drawn(const Curve& curve, const Axis& x, const Axis& y, const char* colour) {
  std::string path, marks;
  for (const auto& p : curve.points) {
    if (!x.drawable(p.x) || !y.drawable(p.y)) continue;
    path += fmt::format("{:.1f},{:.1f} ", x.place(p.x), y.place(p.y));
    if (p.half > 0 && std::isfinite(p.half) && y.drawable(p.y - p.half)) {
      marks += line(x.place(p.x), y.place(p.y - p.half), x.place(p.x), y.place(p.y + p.half), colour);
    }
  }
  return fmt::format("<polyline points=\"{}\" fill=\"none\" stroke=\"{}\" stroke-width=\"1.5\"/>\n", path,
                     colour) +
         marks;
}

}  // namespace

std::string escaped(const std::string& words) {
  std::string safe;
  for (const char c : words) {
    switch (c) {
      case '<': safe += "&lt;"; break;
      case '>': safe += "&gt;"; break;
      case '&': safe += "&amp;"; break;
      case '"': safe += "&quot;"; break;
      default: safe += c;
    }
  }
  return safe;
}

std::string svg(const Plot& plot) {
  Axis x(plot.x_log, kLeft, kWidth - kRight), y(plot.y_log, kHeight - kBottom, kTop);
  for (const auto& curve : plot.curves) {
    for (const auto& p : curve.points) {
      if (!x.drawable(p.x) || !y.drawable(p.y)) continue;
      x.take(p.x), y.take(p.y);
      if (std::isfinite(p.half)) y.take(p.y - p.half), y.take(p.y + p.half);
    }
  }
  x.settle(), y.settle();
  std::string out = fmt::format(
      "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 {0} {1}\" width=\"{0}\" height=\"{1}\" "
      "font-family=\"sans-serif\" font-size=\"11\">\n",
      kWidth, kHeight);
  out += text(kLeft, 18, "start", plot.title);
  for (const double tick : x.ticks()) {
    out += line(x.place(tick), kTop, x.place(tick), kHeight - kBottom, "#eee");
    out += text(x.place(tick), kHeight - kBottom + 14, "middle", fmt::format("{:.3g}", tick));
  }
  for (const double tick : y.ticks()) {
    out += line(kLeft, y.place(tick), kWidth - kRight, y.place(tick), "#eee");
    out += text(kLeft - 6, y.place(tick) + 4, "end", fmt::format("{:.3g}", tick));
  }
  out += text((kLeft + kWidth - kRight) / 2, kHeight - 12, "middle", plot.x_name);
  out += text(8, kTop - 4, "start", plot.y_name);
  std::size_t number = 0;
  for (const auto& curve : plot.curves) {
    const char* colour = kColours[number % std::size(kColours)];
    out += drawn(curve, x, y, colour);
    if (plot.legend) {
      const double at = kTop + 14 * static_cast<double>(number);
      out += line(kWidth - kRight + 8, at, kWidth - kRight + 22, at, colour);
      out += text(kWidth - kRight + 26, at + 4, "start", curve.name);
    }
    ++number;
  }
  return out + "</svg>\n";
}

}  // namespace thornwick::experiments
