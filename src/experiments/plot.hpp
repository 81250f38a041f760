// Line charts as SVG text, without scripts or fonts from elsewhere.
#pragma once

#include <string>
#include <vector>

namespace thornwick::experiments {

struct PlotPoint {
  double x = 0;
  double y = 0;
  double half_width = 0;  // of an interval that is drawn around y; 0 or infinite: none
};

struct Curve {
  std::string name;
  std::vector<PlotPoint> points;
};

// On a logarithmic scale only values above 0 are drawn.
enum class Scale { linear, logarithmic };
enum class Legend { shown, hidden };

struct Plot {
  std::string title;
  std::string x_name;
  std::string y_name;
  Scale x_scale = Scale::linear;
  Scale y_scale = Scale::linear;
  std::vector<Curve> curves;
  Legend legend = Legend::shown;
};

// The text with the characters that HTML and SVG give a meaning as entities.
std::string escape_html(const std::string& text);
// One <svg> element. Points that are not finite are left out.
std::string draw_svg(const Plot& plot);

}  // namespace thornwick::experiments
